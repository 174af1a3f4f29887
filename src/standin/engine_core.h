/// \file
/// The engine stand-in's batch: slots, waiting queue, prefill and decoding.
///
/// Continuous batching: each tick admits waiting streams by priority, spends a
/// budget of prefill tokens and gives each decoding stream its share. The rate
/// of a stream falls with the batch. Sans-IO and single-threaded.

#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "engine_cache.h"
#include "engine_text.h"
#include "rillwall/millis.h"
#include "rillwall/step.h"

namespace rillwall::standin {

/// What an engine can do.
struct EngineSettings {
  int64_t mSlots = 32;            ///< streams batched at most
  int64_t mQueue = 64;            ///< streams waiting at most
  double mRate = 80;              ///< tokens per second of a lone stream
  double mBatchCost = 0.02;       ///< slowdown per further stream
  double mPrefillRate = 20000;    ///< prompt tokens per second
  int64_t mCacheTokens = 200000;  ///< memory for streams and prefixes
};

/// One completion as asked.
struct StreamRequest {
  std::string mRequestId;
  std::string mPrompt;
  int64_t mSeed = 0;
  int64_t mMaxTokens = 256;   ///< of the whole answer, with the resumed part
  int64_t mTargetTokens = 0;  ///< true length; 0: as the prompt says
  int64_t mResumeTokens = 0;
  int mPriority = 0;
};

enum class StreamState { Waiting, Prefill, Decode, Ended };

/// Tokens ready to be sent, all of one weight version.
struct StreamPart {
  int64_t mVersion = 0;
  int64_t mBegin = 0;
  int64_t mEnd = 0;
};

/// One stream in the engine.
struct EngineStream {
  StreamRequest mRequest;
  AnswerText mAnswer;
  std::vector<BlockHash> mBlocks;  ///< of the prompt
  int64_t mWholeLength = 0;        ///< tokens of the whole answer
  bool mShortened = false;         ///< by max_tokens
  StreamState mState = StreamState::Waiting;
  Millis mArrived;
  int64_t mPromptTokens = 0;
  int64_t mCachedTokens = 0;
  double mPrefillLeft = 0;
  double mCredit = 0;               ///< part of the next token
  int64_t mProduced = 0;            ///< token index reached
  int64_t mTaken = 0;               ///< token index handed out
  std::vector<VersionSpan> mSpans;  ///< what this engine produced
  std::string mEnding;              ///< how it ended; empty while it runs

  bool Complete() const { return mProduced >= mWholeLength; }
  /// \return "stop" or "length"
  const char* Finish() const { return mShortened ? "length" : "stop"; }
  int64_t MemoryTokens() const { return mPromptTokens + mProduced; }
};

using StreamHandle = std::shared_ptr<EngineStream>;

/// Totals of the batch now.
struct EngineTotals {
  int64_t mRunning = 0;
  int64_t mWaiting = 0;
  double mTokensPerSecond = 0;
  int64_t mMemoryUsed = 0;
  Millis mQueueAge;  ///< of the longest waiting stream
};

class EngineCore {
 public:
  EngineCore(EngineSettings aSettings, int64_t aVersion);

  /// \return the stream, or nothing if the queue is full
  StreamHandle Submit(StreamRequest aRequest, Millis aNow);
  /// Moves the batch on.
  /// \param aSpan time to spend
  /// \param aSpeed factor of all rates
  void Tick(Millis aNow, Millis aSpan, double aSpeed);
  /// Hands out what a stream produced since the last call, one version at a
  /// time.
  /// \return whether there was something
  bool Take(EngineStream& aStream, StreamPart& aPart);
  /// Removes a stream.
  /// \param aEnding what the journal says of it
  void End(const StreamHandle& aStream, std::string aEnding);

  /// Changes the weights; cached prefixes of the old ones are of no use.
  void Swap(int64_t aVersion, Millis aNow);
  /// \return tokens of a prompt that are cached after adding these blocks
  int64_t Import(const std::vector<BlockHash>& aBlocks, Millis aNow);

  int64_t Version() const { return mVersion; }
  const EngineSettings& Settings() const { return mSettings; }
  const PrefixCache& Cache() const { return mCache; }
  const std::list<StreamHandle>& Streams() const { return mStreams; }
  EngineTotals Totals(Millis aNow) const;

 private:
  void Admit(Millis aNow);
  EngineStream* NextWaiting() const;
  void Prefill(double aTokens, Millis aNow);
  void Decode(double aSeconds, double aSpeed);
  void Produce(EngineStream& aStream, int64_t aTokens);
  int64_t Count(StreamState aState) const;
  double StreamRate() const;
  int64_t StreamMemory() const;

  EngineSettings mSettings;
  int64_t mVersion;
  PrefixCache mCache;
  std::list<StreamHandle> mStreams;  ///< in order of arrival
  double mMeasuredRate = 0;          ///< of all streams, smoothed
};

}  // namespace rillwall::standin
