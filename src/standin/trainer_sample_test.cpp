/// \file
/// Tests of what a trainer finds wrong in samples, and of its log.

#include "trainer_sample.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "engine_text.h"
#include "trainer_log.h"
#include "trainer_truth.h"

namespace rillwall::standin {

namespace {

constexpr int64_t kTokens = 12;

GroupExpectation Wanted() {
  GroupExpectation wanted;
  wanted.mPrompt = WithLength("prompt", kTokens);
  wanted.mGroupSize = 2;
  wanted.mMaxTokens = 100;
  wanted.mNewest = 5;
  wanted.mStated = 5;
  wanted.mMaxStaleness = 2;
  return wanted;
}

DeliveredGroup GoodGroup() {
  DeliveredGroup group;
  for (size_t index = 0; index < 2; ++index) {
    DeliveredSample sample;
    sample.mIndex = index;
    sample.mText =
        AnswerText::ForSeed(Wanted().mPrompt, static_cast<int64_t>(index))
            .Range(0, kTokens);
    sample.mLabel = {{4, 0, 5}, {5, 5, kTokens}};
    sample.mFinish = "stop";
    group.mSamples.push_back(sample);
  }
  return group;
}

/// \return how often a fault is found
uint64_t Found(const DeliveredGroup& aGroup, SampleFault aFault) {
  FaultCounts faults;
  CheckGroup(aGroup, Wanted(), faults);
  return faults[aFault];
}

}  // namespace

class TrainerSampleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrainerSampleTest);
  CPPUNIT_TEST(GoodGroupHasNoFault);
  CPPUNIT_TEST(WrongTextIsFound);
  CPPUNIT_TEST(BrokenLabelIsFound);
  CPPUNIT_TEST(StaleAndFutureAreFound);
  CPPUNIT_TEST(WrongIndicesAreFound);
  CPPUNIT_TEST(FalseLabelIsFound);
  CPPUNIT_TEST(LogOutlivesHalfALine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GoodGroupHasNoFault() {
    FaultCounts faults;
    CheckGroup(GoodGroup(), Wanted(), faults);
    CPPUNIT_ASSERT(faults.empty());
  }

  void WrongTextIsFound() {
    DeliveredGroup group = GoodGroup();
    group.mSamples[0].mText.resize(kTokenBytes * (kTokens - 1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Found(group, SampleFault::WrongText));
    group = GoodGroup();
    group.mSamples[1].mText[25] ^= 1;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Found(group, SampleFault::WrongText));
    group = GoodGroup();
    group.mSamples[1].mText = group.mSamples[0].mText;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Found(group, SampleFault::SameText));
  }

  void BrokenLabelIsFound() {
    DeliveredGroup group = GoodGroup();
    group.mSamples[0].mLabel[1].mBegin = 6;
    group.mSamples[1].mLabel[1].mEnd = kTokens - 1;
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Found(group, SampleFault::BrokenLabel));
  }

  void StaleAndFutureAreFound() {
    DeliveredGroup group = GoodGroup();
    group.mSamples[0].mLabel[0].mVersion = 2;
    group.mSamples[1].mLabel[1].mVersion = 6;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Found(group, SampleFault::Stale));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Found(group, SampleFault::FutureVersion));
  }

  void WrongIndicesAreFound() {
    DeliveredGroup group = GoodGroup();
    group.mSamples[1].mIndex = 0;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Found(group, SampleFault::WrongGroup));
  }

  void FalseLabelIsFound() {
    EngineJournals journals;
    // A stream that was cut at 8 and resumed from 6 elsewhere.
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

  void LogOutlivesHalfALine() {
    std::string path = "/tmp/rillwall-trainer-log-XXXXXX";
    ::close(::mkstemp(path.data()));
    AnswerRecord record;
    record.mStep = 3;
    record.mReceipt = "first";
    record.mGroups = {1, 4};
    record.mStaleness = {{0, 16}};
    {
      TrainerLog log;
      CPPUNIT_ASSERT(log.Open(path).has_value());
      log.WriteVersion(7);
      log.WriteAnswer(record);
    }
    std::ofstream(path, std::ios::app) << R"({"step":3,"receipt":"sec)";
    TrainerLog log;
    auto progress = log.Open(path);
    CPPUNIT_ASSERT(progress.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), progress->mSteps[3].mReceipt);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, progress->mSteps[3].mGroups.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{16}, progress->mSamples);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, progress->mNewest);
    log.WriteTrained(3);
    TrainerLog later;
    CPPUNIT_ASSERT(later.Open(path)->mSteps[3].mTrained);
    std::remove(path.c_str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrainerSampleTest);

}  // namespace rillwall::standin
