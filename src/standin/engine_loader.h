/// \file
/// Reads weights from the weight store by byte ranges.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "rillwall/http.h"

namespace rillwall::standin {

/// Location and size of a weight file.
struct WeightSource {
  Endpoint mStore;
  std::string mPath;
  int64_t mBytes = 0;

  /// \param aLocation "http://ip:port/path", or "/path" at aDefaultStore
  /// \return the source, or BadRequest
  static Result<WeightSource> Parse(std::string_view aLocation, int64_t aBytes,
                                    const std::string& aDefaultStore);
};

/// Reads the whole source and discards the bytes. Failed ranges are retried.
/// \param aIsCurrent called before each range; once it returns false, the read
/// ends with Superseded
asio::awaitable<Result<void>> ReadWeights(HttpClient& aClient,
                                          WeightSource aSource,
                                          std::function<bool()> aIsCurrent);

}  // namespace rillwall::standin
