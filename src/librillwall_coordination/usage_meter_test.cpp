/// \file
/// Tests of usage counts by window, and of what reaches the lead when hosts and
/// leads restart or change.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

#include "rillwall/usage_meter.h"

namespace rillwall {

namespace {

constexpr Millis kWindow{5000};
/// Start of window 100.
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
  CPPUNIT_TEST(RequestsWithoutAnAccountAreNotCounted);
  CPPUNIT_TEST(AcknowledgedCountsAreNotReportedAgain);
  CPPUNIT_TEST(UnacknowledgedCountsAreReportedAgain);
  CPPUNIT_TEST(CountsDuringAReportAreReportedNext);
  CPPUNIT_TEST(NewLeadGetsAllRetainedCounts);
  CPPUNIT_TEST(OldWindowsAreForgotten);
  CPPUNIT_TEST(RepeatedReportsAreIdempotent);
  CPPUNIT_TEST(RestartedHostIsCountedAsANewProcess);
  CPPUNIT_TEST(SilentHostIsAwaitedUntilItTimesOut);
  CPPUNIT_TEST(EachRequestIsReportedOnceAcrossLeads);
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

  void RequestsWithoutAnAccountAreNotCounted() {
    UsageMeter meter = Meter();
    meter.Count("", kBegin);
    CPPUNIT_ASSERT(meter.UnreportedCounts("lead").empty());
  }

  void AcknowledgedCountsAreNotReportedAgain() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    CPPUNIT_ASSERT(!meter.AllReported());
    meter.UnreportedCounts("lead");
    meter.RecordAcknowledgement();
    CPPUNIT_ASSERT(meter.AllReported());
    CPPUNIT_ASSERT(meter.UnreportedCounts("lead").empty());
    meter.Count("b", kBegin);
    const WindowCounts whole{{100, {{"a", 1}, {"b", 1}}}};
    CPPUNIT_ASSERT(whole == meter.UnreportedCounts("lead"));
  }

  void UnacknowledgedCountsAreReportedAgain() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    const WindowCounts first = meter.UnreportedCounts("lead");
    CPPUNIT_ASSERT(first == meter.UnreportedCounts("lead"));
  }

  void CountsDuringAReportAreReportedNext() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    meter.UnreportedCounts("lead");
    meter.Count("a", kBegin);
    meter.RecordAcknowledgement();
    CPPUNIT_ASSERT(!meter.AllReported());
    const WindowCounts whole{{100, {{"a", 2}}}};
    CPPUNIT_ASSERT(whole == meter.UnreportedCounts("lead"));
  }

  void NewLeadGetsAllRetainedCounts() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    const WindowCounts all = meter.UnreportedCounts("lead");
    meter.RecordAcknowledgement();
    CPPUNIT_ASSERT(all == meter.UnreportedCounts("other lead"));
  }

  void OldWindowsAreForgotten() {
    UsageMeter meter = Meter();
    meter.Count("a", kBegin);
    meter.Count("a", kBegin + 20 * kWindow.Count());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, meter.UnreportedCounts("lead").size());
  }

  void RepeatedReportsAreIdempotent() {
    UsageTotals totals;
    const WindowCounts counts{{100, {{"a", 2}}}};
    totals.RecordCounts("h1", counts);
    totals.RecordCounts("h1", counts);
    totals.RecordCounts("h2", {{100, {{"a", 1}, {"b", 4}}}});
    const AccountCounts expected{{"a", 3}, {"b", 4}};
    CPPUNIT_ASSERT(expected == totals.Sum(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, totals.ReporterCount(100));
    CPPUNIT_ASSERT(totals.Sum(99).empty());
  }

  void RestartedHostIsCountedAsANewProcess() {
    UsageTotals totals;
    totals.RecordCounts("h1 first", {{100, {{"a", 2}}}});
    totals.RecordCounts("h1 second", {{100, {{"a", 1}}}});
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, totals.Sum(100).at("a"));
  }

  /// A host is disconnected for some seconds while a window ends.
  void SilentHostIsAwaitedUntilItTimesOut() {
    UsageTotals totals;
    totals.RecordContact("h1", Millis(1000));
    totals.RecordContact("h2", Millis(3000));
    CPPUNIT_ASSERT(!totals.AllContactedSince(Millis(2000), Millis(3000)));
    totals.RecordContact("h1", Millis(3500));
    CPPUNIT_ASSERT(totals.AllContactedSince(Millis(2000), Millis(3500)));
    CPPUNIT_ASSERT(totals.AllContactedSince(Millis(60000), Millis(90000)));
    totals.Forget(100, Millis(90000));
    CPPUNIT_ASSERT(totals.AllContactedSince(Millis(95000), Millis(95000)));
  }

  /// Random sequences of client requests, view requests, lost answers,
  /// restarts and changes of the lead. After a last report of all hosts, the
  /// lead must have counted each request of the live processes exactly once,
  /// and no others.
  void EachRequestIsReportedOnceAcrossLeads() {
    constexpr size_t kHosts = 3;
    const bool held = rc::check(
        "each request once", [&](const std::vector<uint8_t>& aEvents) {
          std::vector<UsageMeter> hosts(kHosts, Meter());
          std::vector<int> starts(kHosts, 0);
          std::vector<int64_t> made(kHosts, 0);
          int64_t ended = 0;  // reported by processes that have ended
          std::vector<int64_t> reported(kHosts, 0);
          UsageTotals totals;
          int lead = 0;
          const auto run = [&](size_t aHost) {
            return std::to_string(aHost) + "/" + std::to_string(starts[aHost]);
          };
          const auto ask = [&](size_t aHost, bool aAnswered) {
            totals.RecordCounts(run(aHost), hosts[aHost].UnreportedCounts(
                                                std::to_string(lead)));
            reported[aHost] = made[aHost];
            if (aAnswered) {
              hosts[aHost].RecordAcknowledgement();
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
                ended += reported[host];
                made[host] = reported[host] = 0;
                hosts[host] = Meter();
                ++starts[host];
                break;
              case 4:  // another host becomes the lead and has no counts yet
                ++lead;
                totals = UsageTotals();
                ended = 0;
                reported.assign(kHosts, 0);
                break;
            }
          }
          int64_t all = ended;
          for (size_t i = 0; i < kHosts; ++i) {
            ask(i, true);
            all += made[i];
          }
          const AccountCounts sum = totals.Sum(100);
          const auto found = sum.find("a");
          RC_ASSERT(all == (found == sum.end() ? 0 : found->second));
        });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageMeterTest);

}  // namespace rillwall
