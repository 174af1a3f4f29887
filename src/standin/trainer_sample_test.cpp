/// \file
/// Tests the sample checks and the log of the trainer.

#include "trainer_sample.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "engine_text.h"
#include "trainer_labels.h"
#include "trainer_log.h"

namespace rillwall::standin {

namespace {

constexpr int64_t kTokens = 12;

GroupExpectation Expected() {
  GroupExpectation expected;
  expected.mPrompt = WithLength("prompt", kTokens);
  expected.mGroupSize = 2;
  expected.mMaxTokens = 100;
  expected.mNewestVersion = 5;
  expected.mStatedVersion = 5;
  expected.mMaxStaleness = 2;
  return expected;
}

DeliveredGroup ValidGroup() {
  DeliveredGroup group;
  for (size_t index = 0; index < 2; ++index) {
    DeliveredSample sample;
    sample.mIndex = index;
    sample.mText =
        AnswerText::ForSeed(Expected().mPrompt, static_cast<int64_t>(index))
            .Range(0, kTokens);
    sample.mLabel = {{4, 0, 5}, {5, 5, kTokens}};
    sample.mFinish = "stop";
    group.mSamples.push_back(sample);
  }
  return group;
}

/// \return how often CheckGroup() reports a fault
uint64_t CountFault(const DeliveredGroup& aGroup, SampleFault aFault) {
  FaultCounts faults;
  CheckGroup(aGroup, Expected(), faults);
  return faults[aFault];
}

}  // namespace

class TrainerSampleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrainerSampleTest);
  CPPUNIT_TEST(ValidGroupHasNoFault);
  CPPUNIT_TEST(WrongTextIsDetected);
  CPPUNIT_TEST(BrokenLabelIsDetected);
  CPPUNIT_TEST(StaleAndFutureVersionsAreDetected);
  CPPUNIT_TEST(WrongIndicesAreDetected);
  CPPUNIT_TEST(FalseLabelIsDetected);
  CPPUNIT_TEST(TruncatedLogLineIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValidGroupHasNoFault() {
    FaultCounts faults;
    CheckGroup(ValidGroup(), Expected(), faults);
    CPPUNIT_ASSERT(faults.empty());
  }

  void WrongTextIsDetected() {
    DeliveredGroup group = ValidGroup();
    group.mSamples[0].mText.resize(kTokenBytes * (kTokens - 1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         CountFault(group, SampleFault::WrongText));
    group = ValidGroup();
    group.mSamples[1].mText[25] ^= 1;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         CountFault(group, SampleFault::WrongText));
    group = ValidGroup();
    group.mSamples[1].mText = group.mSamples[0].mText;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, CountFault(group, SampleFault::SameText));
  }

  void BrokenLabelIsDetected() {
    DeliveredGroup group = ValidGroup();
    group.mSamples[0].mLabel[1].mBegin = 6;
    group.mSamples[1].mLabel[1].mEnd = kTokens - 1;
    CPPUNIT_ASSERT_EQUAL(uint64_t{2},
                         CountFault(group, SampleFault::BrokenLabel));
  }

  void StaleAndFutureVersionsAreDetected() {
    DeliveredGroup group = ValidGroup();
    group.mSamples[0].mLabel[0].mVersion = 2;
    group.mSamples[1].mLabel[1].mVersion = 6;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, CountFault(group, SampleFault::Stale));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         CountFault(group, SampleFault::FutureVersion));
  }

  void WrongIndicesAreDetected() {
    DeliveredGroup group = ValidGroup();
    group.mSamples[1].mIndex = 0;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         CountFault(group, SampleFault::WrongGroup));
  }

  void FalseLabelIsDetected() {
    EngineJournals journals;
    // One engine produced tokens up to 8; another resumed the stream from 6.
    journals.mProduced["id"] = {{4, 0, 5}, {5, 5, 8}, {5, 6, kTokens}};
    SampleLabel label{"id", {{4, 0, 5}, {5, 5, kTokens}}};
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         CompareLabels(journals, {label}, 0).mTrue);
    label.mLabel = {{4, 0, 6}, {5, 6, kTokens}};
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         CompareLabels(journals, {label}, 0).mFalse);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         CompareLabels(journals, {label}, 1).mUnknown);
  }

  void TruncatedLogLineIsIgnored() {
    std::string path = "/tmp/rillwall-trainer-log-XXXXXX";
    ::close(::mkstemp(path.data()));
    PullRecord record;
    record.mStep = 3;
    record.mReceipt = "first";
    record.mGroups = {1, 4};
    record.mStaleness = {{0, 16}};
    {
      TrainerLog log;
      CPPUNIT_ASSERT(log.Open(path).has_value());
      log.WriteVersion(7);
      log.WritePull(record);
    }
    std::ofstream(path, std::ios::app) << R"({"step":3,"receipt":"sec)";
    TrainerLog log;
    auto progress = log.Open(path);
    CPPUNIT_ASSERT(progress.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), progress->mSteps[3].mReceipt);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, progress->mSteps[3].mGroups.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{16}, progress->mSamples);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, progress->mNewestVersion);
    log.WriteTrained(3);
    TrainerLog later;
    CPPUNIT_ASSERT(later.Open(path)->mSteps[3].mTrained);
    std::remove(path.c_str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrainerSampleTest);

}  // namespace rillwall::standin
