/// \file
/// The key-value service by etcd v3's JSON calls over HTTP.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rillwall/http.h"
#include "rillwall/kv_port.h"

namespace rillwall {

/// Where the service is and how long to wait for it.
struct KvSettings {
  std::vector<Endpoint> mEndpoints;  ///< one is used until it fails
  Millis mTimeout{2000};             ///< for each call
  /// A watch that stays silent for so long is ended, as its service may be
  /// gone without a trace; the watcher starts another from where it was.
  Millis mWatchIdleTimeout{60000};
};

/// Thread-safe. Calls never retry: a call that fails makes the next one go to
/// the next endpoint. A write that may have been taken ends as KvUncertain, one
/// that surely was not as KvUnavailable. A leased write grants its lease first,
/// which is one call more.
class KvClient final : public KvPort {
 public:
  /// \param aClient must outlive this
  KvClient(HttpClient& aClient, KvSettings aSettings);
  ~KvClient() override;

  asio::awaitable<Result<KvRange>> Range(std::string aKey,
                                         bool aPrefix) override;
  asio::awaitable<Result<int64_t>> Put(std::string aKey, std::string aValue,
                                       int64_t aLeaseSeconds) override;
  asio::awaitable<Result<KvSwap>> CompareAndSwap(
      std::string aKey, int64_t aModRevision, std::string aValue,
      int64_t aLeaseSeconds) override;
  asio::awaitable<Result<KvSwap>> CompareAndDelete(
      std::string aKey, int64_t aModRevision) override;
  /// Ends with Stale if the service no longer holds aFromRevision: the watcher
  /// then reads the prefix anew. Ends with Timeout if nothing was heard for
  /// mWatchIdleTimeout, and with KvUnavailable if the stream was lost.
  asio::awaitable<Error> Watch(
      std::string aPrefix, int64_t aFromRevision,
      std::function<void(const std::vector<KvEvent>&)> aOnEvents) override;
  KvCounts Counts() const override;

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
