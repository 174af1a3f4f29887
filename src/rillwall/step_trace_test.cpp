/// \file
/// Tests of StepTrace with logs whose critical path is known.

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "step_trace.h"

namespace rillwall {

namespace {

constexpr int64_t kStart = 1000000;

/// \return a log line with its time in ms after kStart
std::string Line(int64_t aTime, const std::string& aFields) {
  return "{\"time_ms\":" + std::to_string(kStart + aTime) + "," + aFields +
         "}\n";
}

std::string Accepted(const std::string& aId) {
  return Line(0, "\"event\":\"step-accepted\",\"id\":\"" + aId +
                     "\",\"step\":3,\"model\":\"m\",\"store_ms\":12,"
                     "\"due_in_ms\":7500");
}

std::string Run(int64_t aEnd, const std::string& aItem, const std::string& aHow,
                int64_t aTook, int64_t aFrom, int64_t aEvents) {
  return Line(aEnd, "\"event\":\"item-run\",\"id\":\"" + aItem +
                        "\",\"step\":\"s\",\"end\":\"" + aHow +
                        "\",\"took_ms\":" + std::to_string(aTook) +
                        ",\"from_event\":" + std::to_string(aFrom) +
                        ",\"events\":" + std::to_string(aEvents));
}

std::string Page(int64_t aTime, bool aReached) {
  return Line(aTime, "\"event\":\"page-listed\",\"id\":\"s\",\"reached\":" +
                         std::string(aReached ? "true" : "false") +
                         ",\"store_ms\":10");
}

std::string Ended(int64_t aTime) {
  return Line(aTime, "\"event\":\"step-ended\",\"id\":\"s\"");
}

/// Log of a step. The weights arrive after 900 ms. The item on the critical
/// path waits another 100 ms for a slot and runs on a replica that takes 60 ms
/// per event instead of 40 ms. There it breaks off and loses two events; 50 ms
/// later it continues on a replica that takes 40 ms per event.
std::string KnownRun() {
  return Accepted("s") + Run(1700, "short", "whole", 800, 0, 20) +
         Run(2200, "long", "broken", 1200, 0, 20) +
         Run(3050, "long", "whole", 800, 18, 38) + Page(1750, false) +
         Page(3120, true) + Page(3500, true) + Ended(3400);
}

}  // namespace

class StepTraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepTraceTest);
  CPPUNIT_TEST(SplitsAKnownRunIntoItsParts);
  CPPUNIT_TEST(PartsAddUpToTheTotal);
  CPPUNIT_TEST(TruncatedLineIsReportedAndTheRestIsRead);
  CPPUNIT_TEST(StepWithoutItsOwnersLogIsReported);
  CPPUNIT_TEST(TwoRunsInOneLogAreReported);
  CPPUNIT_TEST(ClockDifferenceIsReported);
  CPPUNIT_TEST(UnreachedStepIsOmitted);
  CPPUNIT_TEST_SUITE_END();

  StepTrace mTrace;

  void Read(const std::string& aText, const std::string& aName = "n1.log") {
    std::istringstream log(aText);
    mTrace.Read(log, aName);
  }
  bool Warns(const std::string& aWhat) const {
    const std::vector<std::string> gaps = mTrace.Warnings();
    return std::any_of(gaps.begin(), gaps.end(), [&](const auto& aGap) {
      return aGap.find(aWhat) != std::string::npos;
    });
  }

  void SplitsAKnownRunIntoItsParts() {
    Read(KnownRun());
    const std::vector<StepPath> paths = mTrace.Paths();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, paths.size());
    StepPath expected;
    expected.mId = "s";
    expected.mModel = "m";
    expected.mStep = 3;
    expected.mAcceptedAt = kStart;
    expected.mStore = 12;
    expected.mItem = "long";
    expected.mEvents = 38;
    expected.mRuns = 2;
    expected.mWeights = 900;
    expected.mSlot = 100;
    expected.mBound = 38 * 40;
    expected.mSlow = 2000 - 40 * 40;
    expected.mMoves = 50 + 2 * 40;
    expected.mScore = 60;
    expected.mListing = 10;
    expected.mRead = 280;
    expected.mLate = 3120 - 7500;
    CPPUNIT_ASSERT(expected == paths[0]);
    CPPUNIT_ASSERT(mTrace.Warnings().empty());
  }

  void PartsAddUpToTheTotal() {
    Read(KnownRun());
    CPPUNIT_ASSERT_EQUAL(int64_t{3120}, mTrace.Paths()[0].Reached());
  }

  void TruncatedLineIsReportedAndTheRestIsRead() {
    Read(KnownRun() + "{\"time_ms\":1,\"event\":\"item-r\n" + "noise\n");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTrace.Paths().size());
    CPPUNIT_ASSERT(Warns("1 lines can't be read"));
  }

  void StepWithoutItsOwnersLogIsReported() {
    Read(Run(1000, "i", "whole", 900, 0, 20));
    CPPUNIT_ASSERT(mTrace.Paths().empty());
    CPPUNIT_ASSERT(Warns("logs are missing"));
  }

  void TwoRunsInOneLogAreReported() {
    Read(Line(200000, "\"event\":\"start\"") + KnownRun());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTrace.Paths().size());
    CPPUNIT_ASSERT(Warns("holds two runs"));
  }

  void ClockDifferenceIsReported() {
    Read(KnownRun());
    Read(Run(-4000, "other", "whole", 800, 0, 20), "n2.log");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTrace.Paths().size());
    CPPUNIT_ASSERT(Warns("clocks differ"));
  }

  void UnreachedStepIsOmitted() {
    Read(Accepted("s") + Run(1700, "short", "whole", 800, 0, 20) +
         Page(1750, false));
    CPPUNIT_ASSERT(mTrace.Paths().empty());
    CPPUNIT_ASSERT(Warns("did not reach"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepTraceTest);

}  // namespace rillwall
