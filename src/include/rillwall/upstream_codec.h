/// \file
/// Codec of the messages exchanged with upstreams and of the host list
/// (docs/PORTS.md).

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// One chunk of an engine's streamed response.
struct ModelChunk {
  std::string mId;  ///< request id as stated by the engine
  std::string mText;
  int64_t mTokens = 0;   ///< number of tokens in mText
  int64_t mVersion = 0;  ///< weight version that generated these tokens
  std::string mFinish;   ///< "stop" or "length" in the last chunk, else empty
  bool operator==(const ModelChunk&) const = default;
};

/// A completion request to an engine.
struct EngineCompletion {
  std::string mModel;
  std::string mPrompt;
  int64_t mMaxTokens = 256;
  int64_t mSeed = 0;
  int mPriority = 0;  ///< 0 is served first, 9 last
  std::string mRequestId;
  std::string mResumeText;    ///< text already received from another engine
  int64_t mResumeTokens = 0;  ///< tokens in mResumeText; 0: start afresh
};

/// An order to load a weight version.
struct LoadOrder {
  int64_t mVersion = 0;
  std::string mWeights;  ///< location from which the engine loads them
  int64_t mBytes = 0;    ///< size of the weights
  uint64_t mFence = 0;   ///< fencing token
};

/// \return the request body as JSON text
std::string EncodeCompletion(const EngineCompletion& aCompletion);
std::string EncodeLoadOrder(const LoadOrder& aOrder);
/// Parsers of upstream messages. Malformed text is UpstreamFailed.
Result<ModelChunk> ParseChunk(std::string_view aJson);
/// \param aNow when the report was received
Result<LoadReport> ParseLoadReport(std::string_view aJson, Millis aNow);
Result<std::vector<Upstream>> ParseHostList(std::string_view aJson);

}  // namespace rillwall
