/// \file
/// Tests of usage reports: their content, that each is sent once, and the claim
/// that they are sent under.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/usage_reporter.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

constexpr Millis kWindow{5000};
constexpr Millis kReportDelay{10000};
/// Start of window 100, in ms.
constexpr int64_t kBegin = 500000;
const NodeEntry kEntry{"10.0.0.1:1", true};

/// A platform that records the reports it receives.
class FakePlatform final : public UsagePort {
 public:
  asio::awaitable<std::optional<Error>> Report(UsageReport aReport,
                                               FencingToken aClaim) override {
    mReports.push_back(aReport);
    mClaims.push_back(aClaim);
    if (mLostAnswers > 0) {
      --mLostAnswers;
      co_return Error(ErrorKind::Timeout, "no answer", RunState::Unknown);
    }
    co_return std::nullopt;
  }
  size_t CountOf(int64_t aWindow) const {
    return static_cast<size_t>(std::count_if(
        mReports.begin(), mReports.end(),
        [&](const UsageReport& aOne) { return aOne.mWindow == aWindow; }));
  }

  std::vector<UsageReport> mReports;
  std::vector<FencingToken> mClaims;
  int mLostAnswers = 0;  ///< number of next reports whose answers are lost
};

/// A host that may lead.
struct Candidate {
  Candidate(TestWorld& aWorld, const std::string& aName, int64_t& aTimeOfDay)
      : mTest(aWorld, aName + "-run") {
    NodeContext& node = mTest.mNode;
    node.mIdentity.mName = aName;
    node.mIdentity.mRun = aName + "-run";
    node.mBounds.mLease = Millis(50);
    node.mUsage.SetWindow(kWindow);
    node.mTimeOfDay = [&aTimeOfDay] { return aTimeOfDay; };
    mReporter.SetReportDelay(kReportDelay);
    Launch(mTest.mIo, "lead", mLead.Run());
    Launch(mTest.mIo, "usage", mReporter.Run());
  }
  void ReportCounts(const std::string& aRun, const WindowCounts& aCounts) {
    mReporter.RecordReport(kEntry, EncodeHostUsage({aRun, aCounts}));
  }

  TestNode mTest;
  LeadClaim mLead{mTest.mNode, [] {}};
  FakePlatform mPlatform;
  UsageReporter mReporter{mTest.mNode, mLead, mPlatform};
};

}  // namespace

class UsageReporterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageReporterTest);
  CPPUNIT_TEST(WindowIsReportedOnceUnderTheClaim);
  CPPUNIT_TEST(NothingIsReportedBeforeHostsReport);
  CPPUNIT_TEST(ReportIsFixedWithoutASilentHost);
  CPPUNIT_TEST(LostAnswerRepeatsTheSameReport);
  CPPUNIT_TEST(NextHolderSendsTheFixedReport);
  CPPUNIT_TEST(UnavailableStoreDelaysAReport);
  CPPUNIT_TEST(UndecodableCountsAreIgnored);
  CPPUNIT_TEST(NoReportsWithoutWindows);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  int64_t mTimeOfDay = kBegin + 1000;

  /// Advances the time of day by whole windows.
  void PassWindows(int64_t aCount) { mTimeOfDay += aCount * kWindow.Count(); }

 public:
  ~UsageReporterTest() override { mWorld.mIo.Close(); }

 private:
  void WindowIsReportedOnceUnderTheClaim() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.ReportCounts("h1", {{100, {{"a", 2}}}});
    one.ReportCounts("h2", {{100, {{"a", 1}, {"b", 4}}}});
    PassWindows(2);
    mTimeOfDay += 2000;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) > 0; });
    one.mTest.RunFor(Millis(400));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, one.mPlatform.CountOf(100));
    const auto report = std::find_if(
        one.mPlatform.mReports.begin(), one.mPlatform.mReports.end(),
        [](const UsageReport& aOne) { return aOne.mWindow == 100; });
    const AccountCounts expected{{"a", 3}, {"b", 4}};
    CPPUNIT_ASSERT(expected == report->mCounts);
    const FencingToken claim{"one", one.mLead.Fence()};
    CPPUNIT_ASSERT(claim == one.mPlatform.mClaims.front());
  }

  void NothingIsReportedBeforeHostsReport() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.ReportCounts("h1", {{100, {{"a", 2}}}});
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    // The window has just ended, and no host has asked since.
    mTimeOfDay = kBegin + kWindow.Count() + 2000;
    one.mTest.RunFor(Millis(400));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, one.mPlatform.CountOf(100));
  }

  void ReportIsFixedWithoutASilentHost() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.ReportCounts("h1", {{100, {{"a", 2}}}});
    mTimeOfDay = kBegin + kWindow.Count() + kReportDelay.Count() * 7 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) == 1; });
  }

  void LostAnswerRepeatsTheSameReport() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.mPlatform.mLostAnswers = 3;
    one.ReportCounts("h1", {{100, {{"a", 2}}}});
    mTimeOfDay = kBegin + kWindow.Count() + kReportDelay.Count() * 8 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) == 1; });
    // Counts that arrive after the report was fixed do not change it.
    one.ReportCounts("h2", {{100, {{"a", 7}}}});
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) >= 2; });
    for (const UsageReport& report : one.mPlatform.mReports) {
      const AccountCounts expected{{"a", 2}};
      CPPUNIT_ASSERT(report.mWindow != 100 || expected == report.mCounts);
    }
  }

  /// The holder ends in the middle of a report.
  void NextHolderSendsTheFixedReport() {
    {
      Candidate one(mWorld, "one", mTimeOfDay);
      one.mPlatform.mLostAnswers = 1000;
      one.ReportCounts("h1", {{100, {{"a", 2}}}});
      mTimeOfDay = kBegin + kWindow.Count() + kReportDelay.Count() * 8 / 10;
      one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) > 0; });
    }
    mWorld.mStore.Lapse(101);
    Candidate two(mWorld, "two", mTimeOfDay);
    two.ReportCounts("h1", {{100, {{"a", 2}, {"late", 1}}}});
    two.mTest.RunUntil([&] { return two.mPlatform.CountOf(100) > 0; });
    const AccountCounts expected{{"a", 2}};
    for (const UsageReport& report : two.mPlatform.mReports) {
      CPPUNIT_ASSERT(report.mWindow != 100 || expected == report.mCounts);
    }
  }

  void UnavailableStoreDelaysAReport() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    one.mTest.RunFor(Millis(300));
    mWorld.mStore.mFaults = {StoreFault::LostDropped, StoreFault::LostApplied};
    one.ReportCounts("h1", {{100, {{"a", 2}}}});
    mTimeOfDay = kBegin + kWindow.Count() + kReportDelay.Count() * 8 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) > 0; });
    const AccountCounts expected{{"a", 2}};
    CPPUNIT_ASSERT(expected == one.mPlatform.mReports.back().mCounts ||
                   one.mPlatform.mReports.back().mWindow != 100);
  }

  void UndecodableCountsAreIgnored() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.mReporter.RecordReport(kEntry, "no JSON");
    one.mReporter.RecordReport(kEntry,
                               R"({"run":"r","windows":[{"window":100}]})");
    mTimeOfDay = kBegin + kWindow.Count() + kReportDelay.Count() * 8 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) > 0; });
    for (const UsageReport& report : one.mPlatform.mReports) {
      CPPUNIT_ASSERT(report.mCounts.empty());
    }
  }

  void NoReportsWithoutWindows() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.mTest.mNode.mUsage.SetWindow(Millis(0));
    PassWindows(5);
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    one.mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT(one.mPlatform.mReports.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf(UsagePrefix()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageReporterTest);

}  // namespace rillwall
