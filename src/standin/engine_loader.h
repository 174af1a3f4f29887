/// \file
/// Reading weights from the weight store, range by range.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "rillwall/http.h"

namespace rillwall::standin {

/// Weights to read.
struct WeightSource {
  Endpoint mStore;
  std::string mPath;
  int64_t mBytes = 0;

  /// \param aLocation "http://ip:port/path", or "/path" at aDefaultStore
  static Result<WeightSource> Parse(std::string_view aLocation, int64_t aBytes,
                                    const std::string& aDefaultStore);
};

/// Reads the whole source and drops the bytes.
/// \param aWanted asked between ranges; the read ends as Superseded once false
asio::awaitable<Result<void>> ReadWeights(HttpClient& aClient,
                                          WeightSource aSource,
                                          std::function<bool()> aWanted);

}  // namespace rillwall::standin
