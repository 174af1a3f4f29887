/// \file
/// Reads the journals of the engine stand-ins, which record the tokens that
/// were produced and the weight versions that produced them.

#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "rillwall/http.h"
#include "rillwall/step.h"

namespace rillwall::standin {

/// The merged journals of several engines.
struct EngineJournals {
  /// Spans of produced tokens by AnswerText::Id().
  std::unordered_map<std::string, std::vector<VersionSpan>> mProduced;
  uint64_t mUnreadable = 0;  ///< journals that could not be read
};

/// Reads the journals of all engines given, one after the other.
asio::awaitable<EngineJournals> ReadJournals(
    HttpClient& aClient, const std::vector<Endpoint>& aEngines);

/// \return whether the spans of aSpan.mVersion in aProduced cover
/// [aSpan.mBegin, aSpan.mEnd) without gaps
bool Covers(std::vector<VersionSpan> aProduced, const VersionSpan& aSpan);

}  // namespace rillwall::standin
