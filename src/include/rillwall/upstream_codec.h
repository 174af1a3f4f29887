/// \file
/// What upstreams and the host list say, as typed values (docs/PORTS.md).

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// One chunk of an engine's streamed answer.
struct ModelChunk {
  std::string mId;  ///< the request that the engine says it answers
  std::string mText;
  int64_t mTokens = 0;
  int64_t mVersion = 0;  ///< of the weights that made these tokens
  std::string mFinish;   ///< "stop" or "length" in the last one, else empty
  bool operator==(const ModelChunk&) const = default;
};

/// A completion asked of an engine.
struct EngineCompletion {
  std::string mModel;
  std::string mPrompt;
  int64_t mMaxTokens = 256;
  int64_t mSeed = 0;
  int mPriority = 0;  ///< 0 goes first, 9 last
  std::string mRequestId;
  std::string mResumeText;  ///< what was received from another engine
  int64_t mResumeTokens = 0;
};

/// An order to load a weight version.
struct LoadOrder {
  int64_t mVersion = 0;
  std::string mWeights;  ///< where the engine reads them
  int64_t mBytes = 0;
  uint64_t mFence = 0;  ///< fencing number
};

std::string EncodeCompletion(const EngineCompletion& aCompletion);
std::string EncodeLoadOrder(const LoadOrder& aOrder);
Result<ModelChunk> ParseChunk(std::string_view aJson);
/// \param aNow the instant of receipt
Result<LoadReport> ParseLoadReport(std::string_view aJson, Millis aNow);
Result<std::vector<Upstream>> ParseHostList(std::string_view aJson);

}  // namespace rillwall
