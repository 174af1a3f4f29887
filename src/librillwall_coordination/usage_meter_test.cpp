/// \file
/// Tests of counting usage by window, and of what reaches the lead when hosts
/// and leads come and go.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

#include "rillwall/usage_meter.h"

namespace rillwall {

namespace {

constexpr Millis kWindow{5000};
/// Window 100 begins there.
constexpr int64_t kBegin = 500000;

UsageMeter Meter() {
  UsageMeter meter;
  meter.SetWindow(kWindow);
  return meter;
}

}  // namespace

class UsageMeterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageMeterTest);
  CPPUNIT_TEST(CountsByAccountAndWindow);
  CPPUNIT_TEST(CountsNothingWithoutWindows);
  CPPUNIT_TEST(RequestsWithoutAnAccountStandOutside);
  CPPUNIT_TEST(WhatWasTakenIsNotToldAgain);
  CPPUNIT_TEST(WhatGotNoAnswerIsToldAgain);
  CPPUNIT_TEST(CountedWhileAskingIsToldNext);
  CPPUNIT_TEST(NewLeadIsToldEverythingKept);
  CPPUNIT_TEST(OldWindowsAreForgotten);
  CPPUNIT_TEST(TellingTwiceChangesNothing);
  CPPUNIT_TEST(RestartedHostCountsBesideItsFormerSelf);
  CPPUNIT_TEST(SilentHostIsWaitedForUntilItIsGone);
  CPPUNIT_TEST(EachRequestIsReportedOnceWhoeverLeads);
  CPPUNIT_TEST_SUITE_END();

  void CountsByAccountAndWindow() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    meter.Count("a", kBegin + 4999);
    meter.Count("b", kBegin + 1);
    meter.Count("a", kBegin + 5000);
    const WindowCounts expected{{100, {{"a", 2}, {"b", 1}}}, {101, {{"a", 1}}}};
    CPPUNIT_ASSERT(expected == meter.UnreportedCounts("lead"));
    CPPUNIT_ASSERT_EQUAL(kBegin + 5000, meter.EndOf(100));
  }

  void CountsNothingWithoutWindows() {
    UsageMeter meter;
    meter.Count("a", kBegin);
    CPPUNIT_ASSERT(meter.UnreportedCounts("lead").empty());
    CPPUNIT_ASSERT(meter.AllReported());
  }

  void RequestsWithoutAnAccountStandOutside() {
    UsageMeter meter = Meter();
    meter.Count("", kBegin);
    CPPUNIT_ASSERT(meter.UnreportedCounts("lead").empty());
  }

  void WhatWasTakenIsNotToldAgain() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    CPPUNIT_ASSERT(!meter.AllReported());
    meter.UnreportedCounts("lead");
    meter.Told();
    CPPUNIT_ASSERT(meter.AllReported());
    CPPUNIT_ASSERT(meter.UnreportedCounts("lead").empty());
    meter.Count("b", kBegin);
    const WindowCounts whole{{100, {{"a", 1}, {"b", 1}}}};
    CPPUNIT_ASSERT(whole == meter.UnreportedCounts("lead"));
  }

  void WhatGotNoAnswerIsToldAgain() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    const WindowCounts first = meter.UnreportedCounts("lead");
    CPPUNIT_ASSERT(first == meter.UnreportedCounts("lead"));
  }

  void CountedWhileAskingIsToldNext() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    meter.UnreportedCounts("lead");
    meter.Count("a", kBegin);
    meter.Told();
    CPPUNIT_ASSERT(!meter.AllReported());
    const WindowCounts whole{{100, {{"a", 2}}}};
    CPPUNIT_ASSERT(whole == meter.UnreportedCounts("lead"));
  }

  void NewLeadIsToldEverythingKept() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    const WindowCounts all = meter.UnreportedCounts("lead");
    meter.Told();
    CPPUNIT_ASSERT(all == meter.UnreportedCounts("other lead"));
  }

  void OldWindowsAreForgotten() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    meter.Count("a", kBegin + 20 * kWindow.Count());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, meter.UnreportedCounts("lead").size());
  }

  void TellingTwiceChangesNothing() {
    UsageTotals book;
    const WindowCounts counts{{100, {{"a", 2}}}};
    book.Told("h1", counts);
    book.Told("h1", counts);
    book.Told("h2", {{100, {{"a", 1}, {"b", 4}}}});
    const AccountCounts expected{{"a", 3}, {"b", 4}};
    CPPUNIT_ASSERT(expected == book.Sum(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, book.ReporterCount(100));
    CPPUNIT_ASSERT(book.Sum(99).empty());
  }

  void RestartedHostCountsBesideItsFormerSelf() {
    UsageTotals book;
    book.Told("h1 first", {{100, {{"a", 2}}}});
    book.Told("h1 second", {{100, {{"a", 1}}}});
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, book.Sum(100).at("a"));
  }

  /// A host that is cut off for some seconds while a window ends.
  void SilentHostIsWaitedForUntilItIsGone() {
    UsageTotals book;
    book.RecordContact("h1", Millis(1000));
    book.RecordContact("h2", Millis(3000));
    CPPUNIT_ASSERT(!book.AllContactedSince(Millis(2000), Millis(3000)));
    book.RecordContact("h1", Millis(3500));
    CPPUNIT_ASSERT(book.AllContactedSince(Millis(2000), Millis(3500)));
    CPPUNIT_ASSERT(book.AllContactedSince(Millis(60000), Millis(90000)));
    book.Forget(100, Millis(90000));
    CPPUNIT_ASSERT(book.AllContactedSince(Millis(95000), Millis(95000)));
  }

  /// Any order of requests, questions, lost answers, restarts and changes of
  /// the lead: once all hosts have told, the lead knows each request of the
  /// processes that live, once, and none that was not made.
  void EachRequestIsReportedOnceWhoeverLeads() {
    constexpr size_t kHosts = 3;
    const bool held = rc::check(
        "each request once", [&](const std::vector<uint8_t>& aEvents) {
          std::vector<UsageMeter> hosts(kHosts, Meter());
          std::vector<int> starts(kHosts, 0);
          std::vector<int64_t> made(kHosts, 0);
          int64_t ended = 0;  // of processes that have ended, as told
          std::vector<int64_t> told(kHosts, 0);
          UsageTotals book;
          int lead = 0;
          const auto run = [&](size_t aHost) {
            return std::to_string(aHost) + "/" + std::to_string(starts[aHost]);
          };
          const auto ask = [&](size_t aHost, bool aAnswered) {
            book.Told(run(aHost),
                      hosts[aHost].UnreportedCounts(std::to_string(lead)));
            told[aHost] = made[aHost];
            if (aAnswered) {
              hosts[aHost].Told();
            }
          };
          for (const uint8_t event : aEvents) {
            const size_t host = event % kHosts;
            switch (event / kHosts % 5) {
              case 0:
              case 1:
                hosts[host].Count("a", kBegin);
                ++made[host];
                break;
              case 2:
                ask(host, event % 2 == 0);
                break;
              case 3:  // the host restarts
                ended += told[host];
                made[host] = told[host] = 0;
                hosts[host] = Meter();
                ++starts[host];
                break;
              case 4:  // another host leads, which has heard nothing yet
                ++lead;
                book = UsageTotals();
                ended = 0;
                told.assign(kHosts, 0);
                break;
            }
          }
          int64_t all = ended;
          for (size_t i = 0; i < kHosts; ++i) {
            ask(i, true);
            all += made[i];
          }
          const AccountCounts sum = book.Sum(100);
          const auto found = sum.find("a");
          RC_ASSERT(all == (found == sum.end() ? 0 : found->second));
        });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageMeterTest);

}  // namespace rillwall
