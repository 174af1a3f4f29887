/// \file
/// Tests of the duty of reporting usage: what is reported, once, by whom.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/usage_reporter.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

constexpr Millis kWindow{5000};
constexpr Millis kLate{10000};
/// Window 100 begins there.
constexpr int64_t kBegin = 500000;
const NodeEntry kEntry{"10.0.0.1:1", true};

/// The platform, as far as it takes reports.
class FakePlatform final : public UsagePort {
 public:
  asio::awaitable<std::optional<Error>> Report(UsageReport aReport,
                                               FencingToken aClaim) override {
    mReports.push_back(aReport);
    mClaims.push_back(aClaim);
    if (mLost > 0) {
      --mLost;
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
  int mLost = 0;  ///< answers of the next reports
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
    mDuty.SetReportDelay(kLate);
    Launch(mTest.mIo, "lead", mLead.Run());
    Launch(mTest.mIo, "usage", mDuty.Run());
  }
  void Tell(const std::string& aRun, const WindowCounts& aCounts) {
    mDuty.Take(kEntry, EncodeHostUsage({aRun, aCounts}));
  }

  TestNode mTest;
  LeadClaim mLead{mTest.mNode, [] {}};
  FakePlatform mPlatform;
  UsageReporter mDuty{mTest.mNode, mLead, mPlatform};
};

}  // namespace

class UsageReporterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageReporterTest);
  CPPUNIT_TEST(WindowIsReportedOnceUnderTheClaim);
  CPPUNIT_TEST(NothingIsReportedBeforeHostsHaveTold);
  CPPUNIT_TEST(SilentHostIsNotWaitedForTooLong);
  CPPUNIT_TEST(LostAnswerRepeatsTheSameReport);
  CPPUNIT_TEST(NextHolderSendsWhatWasFixed);
  CPPUNIT_TEST(StoreThatIsAwayDelaysAReport);
  CPPUNIT_TEST(BrokenTellingIsIgnored);
  CPPUNIT_TEST(NoWindowsNoReports);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  int64_t mTimeOfDay = kBegin + 1000;

  /// Passes the time of day at which windows end, for a host that has just
  /// asked.
  void PassWindows(int64_t aCount) { mTimeOfDay += aCount * kWindow.Count(); }

 public:
  ~UsageReporterTest() override { mWorld.mIo.Close(); }

 private:
  void WindowIsReportedOnceUnderTheClaim() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.Tell("h1", {{100, {{"a", 2}}}});
    one.Tell("h2", {{100, {{"a", 1}, {"b", 4}}}});
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

  void NothingIsReportedBeforeHostsHaveTold() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.Tell("h1", {{100, {{"a", 2}}}});
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    // Its window has just ended, and no host has asked since.
    mTimeOfDay = kBegin + kWindow.Count() + 2000;
    one.mTest.RunFor(Millis(400));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, one.mPlatform.CountOf(100));
  }

  void SilentHostIsNotWaitedForTooLong() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.Tell("h1", {{100, {{"a", 2}}}});
    mTimeOfDay = kBegin + kWindow.Count() + kLate.Count() * 7 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) == 1; });
  }

  void LostAnswerRepeatsTheSameReport() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.mPlatform.mLost = 3;
    one.Tell("h1", {{100, {{"a", 2}}}});
    mTimeOfDay = kBegin + kWindow.Count() + kLate.Count() * 8 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) == 1; });
    // A late teller changes nothing any more.
    one.Tell("h2", {{100, {{"a", 7}}}});
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) >= 2; });
    for (const UsageReport& report : one.mPlatform.mReports) {
      const AccountCounts expected{{"a", 2}};
      CPPUNIT_ASSERT(report.mWindow != 100 || expected == report.mCounts);
    }
  }

  /// The holder dies in the middle of a report.
  void NextHolderSendsWhatWasFixed() {
    {
      Candidate one(mWorld, "one", mTimeOfDay);
      one.mPlatform.mLost = 1000;
      one.Tell("h1", {{100, {{"a", 2}}}});
      mTimeOfDay = kBegin + kWindow.Count() + kLate.Count() * 8 / 10;
      one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) > 0; });
    }
    mWorld.mStore.Lapse(101);
    Candidate two(mWorld, "two", mTimeOfDay);
    two.Tell("h1", {{100, {{"a", 2}, {"late", 1}}}});
    two.mTest.RunUntil([&] { return two.mPlatform.CountOf(100) > 0; });
    const AccountCounts expected{{"a", 2}};
    for (const UsageReport& report : two.mPlatform.mReports) {
      CPPUNIT_ASSERT(report.mWindow != 100 || expected == report.mCounts);
    }
  }

  void StoreThatIsAwayDelaysAReport() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    one.mTest.RunFor(Millis(300));
    mWorld.mStore.mFaults = {StoreFault::LostDropped, StoreFault::LostApplied};
    one.Tell("h1", {{100, {{"a", 2}}}});
    mTimeOfDay = kBegin + kWindow.Count() + kLate.Count() * 8 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) > 0; });
    const AccountCounts expected{{"a", 2}};
    CPPUNIT_ASSERT(expected == one.mPlatform.mReports.back().mCounts ||
                   one.mPlatform.mReports.back().mWindow != 100);
  }

  void BrokenTellingIsIgnored() {
    Candidate one(mWorld, "one", mTimeOfDay);
    one.mDuty.Take(kEntry, "no JSON");
    one.mDuty.Take(kEntry, R"({"run":"r","windows":[{"window":100}]})");
    mTimeOfDay = kBegin + kWindow.Count() + kLate.Count() * 8 / 10;
    one.mTest.RunUntil([&] { return one.mPlatform.CountOf(100) > 0; });
    for (const UsageReport& report : one.mPlatform.mReports) {
      CPPUNIT_ASSERT(report.mCounts.empty());
    }
  }

  void NoWindowsNoReports() {
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
