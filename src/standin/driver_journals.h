/// \file
/// Reading the engines' journals: what was really produced.

#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "rillwall/http.h"
#include "rillwall/step.h"

namespace rillwall::standin {

/// What all engines together produced.
struct EngineJournals {
  /// Spans by AnswerText::Id().
  std::unordered_map<std::string, std::vector<VersionSpan>> mProduced;
  uint64_t mLost = 0;  ///< journals that could not be read
};

asio::awaitable<EngineJournals> ReadJournals(
    HttpClient& aClient, const std::vector<Endpoint>& aEngines);

/// \return whether spans of one version cover [aSpan.mBegin, aSpan.mEnd)
bool Covers(std::vector<VersionSpan> aProduced, const VersionSpan& aSpan);

}  // namespace rillwall::standin
