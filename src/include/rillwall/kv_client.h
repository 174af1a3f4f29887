/// \file
/// Client of the key-value service over the JSON/HTTP gateway of etcd v3.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rillwall/http.h"
#include "rillwall/kv_port.h"

namespace rillwall {

/// Endpoints and timeouts of the key-value service.
struct KvSettings {
  std::vector<Endpoint> mEndpoints;  ///< each is used until it fails
  Millis mTimeout{2000};             ///< of each call
  /// A watch that receives nothing for this long ends with Timeout, because
  /// its service may have disappeared without closing the connection. The
  /// watcher then starts another watch from the last revision it has seen.
  Millis mWatchIdleTimeout{60000};
};

/// Implements KvPort by calls to etcd. Thread-safe.
///
/// Calls are never retried; after a failed call, the next call uses the next
/// endpoint. A write that may have been applied fails with KvUncertain, and one
/// that certainly was not with KvUnavailable. A write with a lease grants the
/// lease by an additional call before it.
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
  /// \return Stale if the service has compacted aFromRevision, so that the
  /// watcher must read the prefix again; Timeout if nothing was received for
  /// mWatchIdleTimeout; KvUnavailable if the stream was lost
  asio::awaitable<Error> Watch(
      std::string aPrefix, int64_t aFromRevision,
      std::function<void(const std::vector<KvEvent>&)> aOnEvents) override;
  KvCounts Counts() const override;

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
