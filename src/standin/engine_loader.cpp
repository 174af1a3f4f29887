#include "engine_loader.h"

#include <algorithm>

#include "control.h"

namespace rillwall::standin {

namespace {

constexpr int64_t kRangeBytes = 4 * 1024 * 1024;
constexpr int kPartialContent = 206;
constexpr int kMaxFailures = 8;
constexpr Millis kRangeTimeout{30000};
constexpr Millis kRetryDelay{200};
constexpr std::string_view kScheme = "http://";

asio::awaitable<Result<int64_t>> ReadRange(HttpClient& aClient,
                                           const WeightSource& aSource,
                                           int64_t aBegin) {
  const int64_t last = std::min(aBegin + kRangeBytes, aSource.mBytes) - 1;
  HttpRequest request;
  request.mTarget = aSource.mPath;
  request.mHeaders.push_back({"Range", "bytes=" + std::to_string(aBegin) + "-" +
                                           std::to_string(last)});
  const auto answer = co_await aClient.Send(aSource.mStore, request,
                                            kRangeTimeout, kRangeBytes);
  if (!answer.has_value()) {
    co_return answer.error();
  }
  const auto size = static_cast<int64_t>(answer.value().mBody.size());
  if (answer.value().mStatus != kPartialContent || size == 0) {
    co_return Error(ErrorKind::UpstreamFailed,
                    "The weight store answered " +
                        std::to_string(answer.value().mStatus) + ".");
  }
  co_return size;
}

}  // namespace

Result<WeightSource> WeightSource::Parse(std::string_view aLocation,
                                         int64_t aBytes,
                                         const std::string& aDefaultStore) {
  if (aBytes < 0 || aLocation.empty()) {
    return Error(ErrorKind::BadRequest, "An order needs weights and bytes.");
  }
  std::string location(aLocation);
  if (location.front() == '/') {
    location = std::string(kScheme) + aDefaultStore + location;
  }
  const size_t host = location.starts_with(kScheme) ? kScheme.size() : 0;
  const size_t path = location.find('/', host);
  if (path == std::string::npos) {
    return Error(ErrorKind::BadRequest, location + " has no path.");
  }
  const auto store = Endpoint::Parse(location.substr(host, path - host));
  if (!store.has_value()) {
    return store.error();
  }
  return WeightSource{store.value(), location.substr(path), aBytes};
}

asio::awaitable<Result<void>> ReadWeights(HttpClient& aClient,
                                          WeightSource aSource,
                                          std::function<bool()> aIsCurrent) {
  int64_t read = 0;
  int failures = 0;
  while (read < aSource.mBytes) {
    if (!aIsCurrent()) {
      co_return Error(ErrorKind::Superseded,
                      "A newer order replaced this load.");
    }
    const auto part = co_await ReadRange(aClient, aSource, read);
    if (part.has_value()) {
      read += part.value();
      failures = 0;
      continue;
    }
    if (++failures == kMaxFailures) {
      co_return part.error();
    }
    co_await Sleep(kRetryDelay);
  }
  co_return Result<void>();
}

}  // namespace rillwall::standin
