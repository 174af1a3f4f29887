/// \file
/// Tests the engine stand-in: generated text, batch, priorities and cache.

#include "engine_core.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall::standin {

namespace {

constexpr Millis kTick{10};

StreamRequest Request(const std::string& aPrompt, int64_t aTokens,
                      int aPriority = 0) {
  StreamRequest request;
  request.mPrompt = aPrompt;
  request.mMaxTokens = 1000;
  request.mTargetTokens = aTokens;
  request.mPriority = aPriority;
  return request;
}

void Run(EngineCore& aCore, int64_t aMillis) {
  for (Millis at; at < Millis(aMillis); at += kTick) {
    aCore.Tick(at, kTick, 1);
  }
}

}  // namespace

class EngineCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineCoreTest);
  CPPUNIT_TEST(TextIsRecoveredFromItsFirstToken);
  CPPUNIT_TEST(TextOfAnotherPromptIsDetected);
  CPPUNIT_TEST(LengthIsReadFromPrompt);
  CPPUNIT_TEST(StreamRateFallsWithBatch);
  CPPUNIT_TEST(MoreUrgentStreamIsAdmittedFirst);
  CPPUNIT_TEST(FullQueueRejectsStream);
  CPPUNIT_TEST(WeightSwapStartsNewSpan);
  CPPUNIT_TEST(ResumedStreamStartsAtItsOffset);
  CPPUNIT_TEST(CachedPrefixShortensPrefill);
  CPPUNIT_TEST(CacheEvictsLastBlocksFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TextIsRecoveredFromItsFirstToken() {
    const AnswerText answer = AnswerText::ForSeed("prompt", 42);
    const auto recovered = AnswerText::FromText("prompt", answer.Range(0, 3));
    CPPUNIT_ASSERT(recovered.has_value());
    CPPUNIT_ASSERT(*recovered == answer);
    CPPUNIT_ASSERT(IsAnswerTo("prompt", answer.Range(0, 50)));
    CPPUNIT_ASSERT_EQUAL(answer.Range(0, 50),
                         answer.Range(0, 20) + answer.Range(20, 50));
  }

  void TextOfAnotherPromptIsDetected() {
    const AnswerText answer = AnswerText::ForSeed("prompt", 42);
    const AnswerText other = AnswerText::ForSeed("prompt", 43);
    CPPUNIT_ASSERT(!IsAnswerTo("another", answer.Range(0, 2)));
    CPPUNIT_ASSERT(
        !IsAnswerTo("prompt", answer.Range(0, 2) + other.Range(2, 4)));
    CPPUNIT_ASSERT(!IsAnswerTo("prompt", answer.Range(1, 4)));
  }

  void LengthIsReadFromPrompt() {
    CPPUNIT_ASSERT_EQUAL(int64_t{77}, AnswerLength(WithLength("a", 77)));
    CPPUNIT_ASSERT(AnswerLength("no length") > 0);
  }

  void StreamRateFallsWithBatch() {
    EngineSettings settings;
    settings.mRate = 100;
    settings.mBatchCost = 0.1;
    EngineCore singleCore(settings, 1);
    const StreamHandle single = singleCore.Submit(Request("p", 1000), Millis());
    Run(singleCore, 1000);
    EngineCore batch(settings, 1);
    StreamHandle shared;
    for (int stream = 0; stream < 10; ++stream) {
      shared = batch.Submit(Request("p", 1000), Millis());
    }
    Run(batch, 1000);
    CPPUNIT_ASSERT(single->mProduced > shared->mProduced * 3 / 2);
    CPPUNIT_ASSERT(shared->mProduced > 0);
  }

  void MoreUrgentStreamIsAdmittedFirst() {
    EngineSettings settings;
    settings.mSlots = 1;
    EngineCore core(settings, 1);
    const StreamHandle running = core.Submit(Request("p", 5), Millis());
    const StreamHandle late = core.Submit(Request("p", 5, 9), Millis());
    const StreamHandle urgent = core.Submit(Request("p", 5, 0), Millis());
    Run(core, 500);
    core.End(running, "stop");
    Run(core, 10);
    CPPUNIT_ASSERT(urgent->mState != StreamState::Waiting);
    CPPUNIT_ASSERT(late->mState == StreamState::Waiting);
  }

  void FullQueueRejectsStream() {
    EngineSettings settings;
    settings.mSlots = 1;
    settings.mQueue = 1;
    EngineCore core(settings, 1);
    CPPUNIT_ASSERT(core.Submit(Request("p", 5), Millis()));
    CPPUNIT_ASSERT(core.Submit(Request("p", 5), Millis()));
    CPPUNIT_ASSERT(!core.Submit(Request("p", 5), Millis()));
  }

  void WeightSwapStartsNewSpan() {
    EngineCore core(EngineSettings(), 1);
    const StreamHandle stream = core.Submit(Request("p", 60), Millis());
    Run(core, 300);
    const int64_t before = stream->mProduced;
    core.Swap(2, Millis());
    Run(core, 2000);
    const std::vector<VersionSpan> wanted{{1, 0, before}, {2, before, 60}};
    CPPUNIT_ASSERT(stream->mSpans == wanted);
    StreamPart part;
    CPPUNIT_ASSERT(core.TakeOutput(*stream, part));
    CPPUNIT_ASSERT_EQUAL(before, part.mEnd);
    CPPUNIT_ASSERT(core.TakeOutput(*stream, part));
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, part.mVersion);
    CPPUNIT_ASSERT(!core.TakeOutput(*stream, part));
  }

  void ResumedStreamStartsAtItsOffset() {
    EngineCore core(EngineSettings(), 1);
    StreamRequest request = Request("p", 60);
    request.mResumeTokens = 25;
    const StreamHandle stream = core.Submit(request, Millis());
    Run(core, 2000);
    StreamPart part;
    CPPUNIT_ASSERT(core.TakeOutput(*stream, part));
    CPPUNIT_ASSERT_EQUAL(int64_t{25}, part.mBegin);
    CPPUNIT_ASSERT_EQUAL(int64_t{60}, part.mEnd);
  }

  void CachedPrefixShortensPrefill() {
    EngineSettings settings;
    settings.mPrefillRate = 1000;
    EngineCore core(settings, 1);
    const std::string prompt(4000, 'x');
    const StreamHandle cold = core.Submit(Request(prompt, 9), Millis());
    Run(core, 500);
    CPPUNIT_ASSERT(cold->mState == StreamState::Prefill);
    Run(core, 1000);
    const StreamHandle warm = core.Submit(Request(prompt, 9), Millis());
    Run(core, 100);
    CPPUNIT_ASSERT(warm->mState == StreamState::Decode);
    CPPUNIT_ASSERT(warm->mCachedTokens >= 900);
  }

  void CacheEvictsLastBlocksFirst() {
    PrefixCache cache;
    std::string text;
    for (char letter = 'a'; letter < 'k'; ++letter) {
      text += std::string(64, letter);
    }
    const std::vector<BlockHash> blocks = HashBlocks(text);
    CPPUNIT_ASSERT_EQUAL(size_t{10}, blocks.size());
    cache.Store(blocks, 4 * kBlockTokens, Millis());
    CPPUNIT_ASSERT_EQUAL(4 * kBlockTokens, cache.Match(blocks));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineCoreTest);

}  // namespace rillwall::standin
