/// \file
/// Batch scheduler of the engine stand-in: slots, waiting queue, prefill and
/// decoding.
///
/// Simulates continuous batching: each tick admits waiting streams by priority,
/// spends a budget of prefill tokens and lets each decoding stream produce
/// tokens. The rate per stream falls as the batch grows. The code does no I/O
/// and is single-threaded.

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

/// Capacity and speed of an engine.
struct EngineSettings {
  int64_t mSlots = 32;            ///< maximum number of streams in the batch
  int64_t mQueue = 64;            ///< maximum number of waiting streams
  double mRate = 80;              ///< tokens per second of a single stream
  double mBatchCost = 0.02;       ///< relative slowdown per stream in the batch
  double mPrefillRate = 20000;    ///< prompt tokens per second
  int64_t mCacheTokens = 200000;  ///< memory for streams and cached prefixes
};

/// A completion request.
struct StreamRequest {
  std::string mRequestId;
  std::string mPrompt;
  int64_t mSeed = 0;
  int64_t mMaxTokens = 256;   ///< of the answer, including the resumed part
  int64_t mTargetTokens = 0;  ///< answer length; 0: stated by the prompt
  int64_t mResumeTokens = 0;  ///< tokens that the caller already has
  int mPriority = 0;          ///< lower values are more urgent
};

/// Life cycle of a stream in the engine.
enum class StreamState { Waiting, Prefill, Decode, Ended };

/// Tokens [mBegin, mEnd) ready to be sent, all of one weight version.
struct StreamPart {
  int64_t mVersion = 0;
  int64_t mBegin = 0;
  int64_t mEnd = 0;
};

/// A completion in the engine.
struct EngineStream {
  StreamRequest mRequest;
  AnswerText mAnswer;
  std::vector<BlockHash> mBlocks;  ///< of the prompt
  int64_t mTotalTokens = 0;        ///< tokens of the answer
  bool mTruncated = false;         ///< the answer ends at max_tokens
  StreamState mState = StreamState::Waiting;
  Millis mArrived;
  int64_t mPromptTokens = 0;
  int64_t mCachedTokens = 0;
  double mPrefillLeft = 0;
  double mFractionalTokens = 0;     ///< fraction of the next token produced
  int64_t mProduced = 0;            ///< end index of produced tokens
  int64_t mDeliveredTokens = 0;     ///< end index of tokens handed out
  std::vector<VersionSpan> mSpans;  ///< tokens produced by this engine
  std::string mEndReason;           ///< empty while the stream runs

  bool IsComplete() const { return mProduced >= mTotalTokens; }
  /// \return the finish reason of a complete stream: "stop" or "length"
  const char* Finish() const { return mTruncated ? "length" : "stop"; }
  int64_t MemoryTokens() const { return mPromptTokens + mProduced; }
};

using StreamHandle = std::shared_ptr<EngineStream>;

/// Present load of the engine.
struct EngineTotals {
  int64_t mRunning = 0;
  int64_t mWaiting = 0;
  double mTokensPerSecond = 0;  ///< of all streams
  int64_t mMemoryUsed = 0;      ///< tokens
  Millis mQueueAge;             ///< waiting time of the oldest waiting stream
};

/// The simulated engine: the batch, the queue, the cache and the weights.
class EngineCore {
 public:
  EngineCore(EngineSettings aSettings, int64_t aVersion);

  /// Queues a stream and admits it if a slot is free.
  /// \return the stream, or nullptr if slots and queue are full
  StreamHandle Submit(StreamRequest aRequest, Millis aNow);
  /// Advances the batch.
  /// \param aSpan simulated duration
  /// \param aSpeed factor applied to all rates
  void Tick(Millis aNow, Millis aSpan, double aSpeed);
  /// Takes the tokens that a stream produced since the last call, up to the end
  /// of one weight version.
  /// \param aPart set to these tokens
  /// \return whether there were any
  bool TakeOutput(EngineStream& aStream, StreamPart& aPart);
  /// Removes a stream from the engine.
  /// \param aEndReason finish reason for the journal
  void End(const StreamHandle& aStream, std::string aEndReason);

  /// Changes the weights and clears the cache, whose prefixes were computed
  /// with the old weights.
  void Swap(int64_t aVersion, Millis aNow);
  /// Adds the blocks of a prompt to the cache.
  /// \return the tokens of the prompt that are cached afterwards
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
  std::list<StreamHandle> mStreams;  ///< running and waiting, in arrival order
  double mMeasuredRate = 0;  ///< tokens per second of all streams, smoothed
};

}  // namespace rillwall::standin
