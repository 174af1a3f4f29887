#include "engine_core.h"

#include <algorithm>

namespace rillwall::standin {

namespace {

/// Weight of a tick in the exponentially smoothed rate.
constexpr double kRateSmoothing = 0.05;
constexpr double kMillisPerSecond = 1000.0;

int64_t PromptTokens(const StreamRequest& aRequest) {
  return static_cast<int64_t>(aRequest.mPrompt.size() / kPromptBytesPerToken) +
         1;
}

}  // namespace

EngineCore::EngineCore(EngineSettings aSettings, int64_t aVersion)
    : mSettings(aSettings), mVersion(aVersion) {}

StreamHandle EngineCore::Submit(StreamRequest aRequest, Millis aNow) {
  const bool slotFree =
      Count(StreamState::Prefill) + Count(StreamState::Decode) <
      mSettings.mSlots;
  if (!slotFree && Count(StreamState::Waiting) >= mSettings.mQueue) {
    return nullptr;
  }
  const AnswerText answer =
      AnswerText::ForSeed(aRequest.mPrompt, aRequest.mSeed);
  auto stream =
      std::make_shared<EngineStream>(EngineStream{std::move(aRequest), answer});
  const StreamRequest& request = stream->mRequest;
  const int64_t length = request.mTargetTokens > 0
                             ? request.mTargetTokens
                             : AnswerLength(request.mPrompt);
  stream->mTruncated = length > request.mMaxTokens;
  stream->mTotalTokens = std::min(length, request.mMaxTokens);
  stream->mBlocks = HashBlocks(request.mPrompt);
  stream->mPromptTokens = PromptTokens(request);
  stream->mProduced = std::min(request.mResumeTokens, stream->mTotalTokens);
  stream->mDeliveredTokens = stream->mProduced;
  stream->mArrived = aNow;
  mStreams.push_back(stream);
  Admit(aNow);
  return stream;
}

void EngineCore::Tick(Millis aNow, Millis aSpan, double aSpeed) {
  const double seconds = static_cast<double>(aSpan.Count()) / kMillisPerSecond;
  Admit(aNow);
  Prefill(mSettings.mPrefillRate * aSpeed * seconds, aNow);
  Decode(seconds, aSpeed);
}

EngineStream* EngineCore::NextWaiting() const {
  EngineStream* best = nullptr;
  for (const StreamHandle& stream : mStreams) {
    const bool waiting = stream->mState == StreamState::Waiting;
    if (waiting &&
        (!best || stream->mRequest.mPriority < best->mRequest.mPriority)) {
      best = stream.get();
    }
  }
  return best;
}

void EngineCore::Admit(Millis aNow) {
  int64_t running = Count(StreamState::Prefill) + Count(StreamState::Decode);
  while (running < mSettings.mSlots) {
    EngineStream* next = NextWaiting();
    if (!next) {
      return;
    }
    const int64_t memory = StreamMemory() + next->MemoryTokens();
    if (running > 0 && memory > mSettings.mCacheTokens) {
      return;
    }
    next->mState = StreamState::Prefill;
    next->mCachedTokens = mCache.Match(next->mBlocks);
    next->mPrefillLeft = static_cast<double>(
        std::max<int64_t>(1, next->MemoryTokens() - next->mCachedTokens));
    mCache.Shrink(mSettings.mCacheTokens - memory, aNow);
    ++running;
  }
}

void EngineCore::Prefill(double aTokens, Millis aNow) {
  for (const StreamHandle& stream : mStreams) {
    if (stream->mState != StreamState::Prefill || aTokens <= 0) {
      continue;
    }
    const double spent = std::min(aTokens, stream->mPrefillLeft);
    aTokens -= spent;
    stream->mPrefillLeft -= spent;
    if (stream->mPrefillLeft <= 0) {
      stream->mState = StreamState::Decode;
      mCache.Store(stream->mBlocks, mSettings.mCacheTokens - StreamMemory(),
                   aNow);
    }
  }
}

double EngineCore::StreamRate() const {
  const auto batch = static_cast<double>(Count(StreamState::Decode));
  return mSettings.mRate / (1.0 + batch * mSettings.mBatchCost);
}

void EngineCore::Decode(double aSeconds, double aSpeed) {
  const double share = StreamRate() * aSpeed * aSeconds;
  int64_t total = 0;
  for (const StreamHandle& stream : mStreams) {
    if (stream->mState != StreamState::Decode || stream->IsComplete()) {
      continue;
    }
    stream->mFractionalTokens += share;
    const auto whole = static_cast<int64_t>(stream->mFractionalTokens);
    const int64_t tokens =
        std::min(whole, stream->mTotalTokens - stream->mProduced);
    stream->mFractionalTokens -= static_cast<double>(whole);
    Produce(*stream, tokens);
    total += tokens;
  }
  if (aSeconds > 0) {
    const double rate = static_cast<double>(total) / aSeconds;
    mMeasuredRate += kRateSmoothing * (rate - mMeasuredRate);
  }
}

void EngineCore::Produce(EngineStream& aStream, int64_t aTokens) {
  if (aTokens <= 0) {
    return;
  }
  const int64_t end = aStream.mProduced + aTokens;
  std::vector<VersionSpan>& spans = aStream.mSpans;
  if (spans.empty() || spans.back().mVersion != mVersion) {
    spans.push_back({mVersion, aStream.mProduced, end});
  } else {
    spans.back().mEnd = end;
  }
  aStream.mProduced = end;
}

bool EngineCore::TakeOutput(EngineStream& aStream, StreamPart& aPart) {
  for (const VersionSpan& span : aStream.mSpans) {
    if (span.mEnd > aStream.mDeliveredTokens) {
      aPart = {span.mVersion, aStream.mDeliveredTokens, span.mEnd};
      aStream.mDeliveredTokens = span.mEnd;
      return true;
    }
  }
  return false;
}

void EngineCore::End(const StreamHandle& aStream, std::string aEndReason) {
  aStream->mState = StreamState::Ended;
  aStream->mEndReason = std::move(aEndReason);
  mStreams.remove(aStream);
}

void EngineCore::Swap(int64_t aVersion, Millis aNow) {
  mVersion = aVersion;
  mCache.Shrink(0, aNow);
}

int64_t EngineCore::Import(const std::vector<BlockHash>& aBlocks, Millis aNow) {
  mCache.Store(aBlocks, mSettings.mCacheTokens - StreamMemory(), aNow);
  return mCache.Match(aBlocks);
}

int64_t EngineCore::Count(StreamState aState) const {
  return std::count_if(mStreams.begin(), mStreams.end(),
                       [aState](const StreamHandle& aStream) {
                         return aStream->mState == aState;
                       });
}

int64_t EngineCore::StreamMemory() const {
  int64_t tokens = 0;
  for (const StreamHandle& stream : mStreams) {
    if (stream->mState != StreamState::Waiting) {
      tokens += stream->MemoryTokens();
    }
  }
  return tokens;
}

EngineTotals EngineCore::Totals(Millis aNow) const {
  EngineTotals totals;
  totals.mWaiting = Count(StreamState::Waiting);
  totals.mRunning = static_cast<int64_t>(mStreams.size()) - totals.mWaiting;
  totals.mTokensPerSecond = mMeasuredRate;
  totals.mMemoryUsed = StreamMemory() + mCache.Tokens();
  for (const StreamHandle& stream : mStreams) {
    if (stream->mState == StreamState::Waiting) {
      totals.mQueueAge = aNow - stream->mArrived;
      break;
    }
  }
  return totals;
}

}  // namespace rillwall::standin
