#include "rillwall/kv_client.h"

#include <atomic>

#include "kv_codec.h"
#include "rillwall/json.h"

namespace rillwall {

namespace {

constexpr size_t kMaxValueBytes = 1024 * 1024;
/// Largest answer, in bytes, which holds all keys of a prefix.
constexpr size_t kMaxAnswer = 16 * 1024 * 1024;
/// A line of a watch contains the changes of one revision.
constexpr size_t kMaxWatchLineBytes = kMaxAnswer;
/// The gateway's gRPC status code UNAVAILABLE, sent for calls that may or may
/// not have been applied.
constexpr int64_t kGrpcUnavailable = 14;

enum class CallKind { Read, Write };

Error Unavailable(const std::string& aDetail) {
  return {ErrorKind::KvUnavailable, aDetail};
}

Error Uncertain(const std::string& aDetail) {
  return {ErrorKind::KvUncertain, aDetail};
}

/// \return whether a write that got a 503 response may have been applied: if
/// the response comes from the store behind the gateway, as "request timed out"
/// does, unless the store had no leader
bool MayHaveBeenApplied(const std::string& aBody) {
  const Result<json::object> body = ParseJsonObject(aBody);
  if (!body) {
    return false;
  }
  JsonReader reader(*body);
  const bool unavailable = reader.Int("code", 0) == kGrpcUnavailable;
  const std::string message = reader.String("message", "");
  return unavailable && message.find("no leader") == std::string::npos;
}

/// \return the error of a call whose response has another status than 200
Error StatusError(CallKind aKind, const HttpResponse& aResponse) {
  const std::string detail = "The key-value service responded with status " +
                             std::to_string(aResponse.mStatus) + ": " +
                             aResponse.mBody.substr(0, 200) + ".";
  if (aResponse.mStatus == 400) {
    return {ErrorKind::BadRequest, detail};
  }
  const bool mayHaveBeenApplied = aResponse.mStatus == 503
                                      ? MayHaveBeenApplied(aResponse.mBody)
                                      : aResponse.mStatus >= 500;
  return aKind == CallKind::Write && mayHaveBeenApplied ? Uncertain(detail)
                                                        : Unavailable(detail);
}

/// \return the error of a call that got no valid response
Error LostResponseError(CallKind aKind, const Error& aError) {
  const bool mayHaveBeenApplied =
      aKind == CallKind::Write && aError.Run() != RunState::NotRun;
  return mayHaveBeenApplied ? Uncertain(aError.Detail())
                            : Unavailable(aError.Detail());
}

HttpRequest Post(const char* aTarget, std::string aBody) {
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mHeaders.push_back({"Content-Type", "application/json"});
  request.mBody = std::move(aBody);
  return request;
}

}  // namespace

struct KvClient::Impl {
  Impl(HttpClient& aClient, KvSettings aSettings)
      : mClient(aClient), mSettings(std::move(aSettings)) {}

  /// Posts a request to the current endpoint and decodes the response with
  /// aDecode.
  template <class Value>
  asio::awaitable<Result<Value>> Call(
      CallKind aKind, const char* aTarget, std::string aBody,
      Result<Value> (*aDecode)(std::string_view));
  /// Grants a lease if aSeconds is positive.
  /// \return the lease's ID, or 0 if none was requested
  asio::awaitable<Result<int64_t>> GrantLease(int64_t aSeconds);
  asio::awaitable<Result<KvSwap>> Swap(kv::SwapRequest aRequest,
                                       int64_t aLeaseSeconds);
  asio::awaitable<Error> Watch(
      HttpStream& aStream,
      const std::function<void(const std::vector<KvEvent>&)>& aOnEvents);
  /// Delivers the events of all complete lines and removes the lines from
  /// aText.
  /// \return the error that ends the watch, if any
  std::optional<Error> DeliverEvents(
      std::string& aText,
      const std::function<void(const std::vector<KvEvent>&)>& aOnEvents);
  /// Counts the error and switches later calls to the next endpoint, unless the
  /// error is BadRequest, Stale or the idle timeout of a watch.
  /// \param aEndpoint index of the endpoint that was used
  /// \return aError
  Error RotateEndpoint(size_t aEndpoint, Error aError);

  HttpClient& mClient;
  const KvSettings mSettings;
  std::atomic<size_t> mEndpoint{0};
  std::atomic<uint64_t> mReads{0};
  std::atomic<uint64_t> mWrites{0};
  std::atomic<uint64_t> mWatches{0};
  std::atomic<uint64_t> mErrors{0};
};

Error KvClient::Impl::RotateEndpoint(size_t aEndpoint, Error aError) {
  const bool keepEndpoint = aError.Kind() == ErrorKind::BadRequest ||
                            aError.Kind() == ErrorKind::Stale ||
                            aError.Kind() == ErrorKind::Timeout;
  if (!keepEndpoint) {
    mErrors.fetch_add(1);
    const size_t next = (aEndpoint + 1) % mSettings.mEndpoints.size();
    mEndpoint.compare_exchange_strong(aEndpoint, next);
  }
  return aError;
}

template <class Value>
asio::awaitable<Result<Value>> KvClient::Impl::Call(
    CallKind aKind, const char* aTarget, std::string aBody,
    Result<Value> (*aDecode)(std::string_view)) {
  (aKind == CallKind::Read ? mReads : mWrites).fetch_add(1);
  if (mSettings.mEndpoints.empty()) {
    mErrors.fetch_add(1);
    co_return Unavailable("No endpoint of the key-value service is set.");
  }
  const size_t endpoint = mEndpoint.load();
  HttpRequest request = Post(aTarget, std::move(aBody));
  const Result<HttpResponse> response =
      co_await mClient.Send(mSettings.mEndpoints[endpoint], std::move(request),
                            mSettings.mTimeout, kMaxAnswer);
  if (!response) {
    co_return RotateEndpoint(endpoint,
                             LostResponseError(aKind, response.error()));
  }
  if (response->mStatus != 200) {
    co_return RotateEndpoint(endpoint, StatusError(aKind, *response));
  }
  Result<Value> value = aDecode(response->mBody);
  if (!value) {
    const Error error = value.error().WithRunState(RunState::Unknown);
    co_return RotateEndpoint(endpoint, LostResponseError(aKind, error));
  }
  co_return value;
}

asio::awaitable<Result<int64_t>> KvClient::Impl::GrantLease(int64_t aSeconds) {
  if (aSeconds <= 0) {
    co_return 0;
  }
  std::string body = kv::GrantBody(aSeconds);
  Result<int64_t> lease = co_await Call<int64_t>(
      CallKind::Write, "/v3/lease/grant", std::move(body), &kv::ReadLease);
  if (!lease && lease.error().Kind() == ErrorKind::KvUncertain) {
    // The store may have granted the lease. As no key is attached to it, it
    // expires without effect, so the caller's value was certainly not written.
    co_return Unavailable(lease.error().Detail());
  }
  co_return lease;
}

asio::awaitable<Result<KvSwap>> KvClient::Impl::Swap(kv::SwapRequest aRequest,
                                                     int64_t aLeaseSeconds) {
  if (aRequest.mValue && aRequest.mValue->size() > kMaxValueBytes) {
    co_return Error(ErrorKind::TooLarge,
                    "The value of '" + aRequest.mKey + "' is over 1 MB.");
  }
  const Result<int64_t> lease = co_await GrantLease(aLeaseSeconds);
  if (!lease) {
    co_return lease.error();
  }
  aRequest.mLease = *lease;
  std::string body = kv::SwapBody(aRequest);
  co_return co_await Call<KvSwap>(CallKind::Write, "/v3/kv/txn",
                                  std::move(body), &kv::ReadSwap);
}

std::optional<Error> KvClient::Impl::DeliverEvents(
    std::string& aText,
    const std::function<void(const std::vector<KvEvent>&)>& aOnEvents) {
  size_t begin = 0;
  size_t end = aText.find('\n');
  while (end != std::string::npos) {
    const auto line = std::string_view(aText).substr(begin, end - begin);
    const Result<std::vector<KvEvent>> events = kv::ReadWatchLine(line);
    if (!events) {
      return events.error();
    }
    if (!events->empty()) {
      aOnEvents(*events);
    }
    begin = end + 1;
    end = aText.find('\n', begin);
  }
  aText.erase(0, begin);
  if (aText.size() > kMaxWatchLineBytes) {
    return Unavailable("The key-value service sent a watch line over 16 MB.");
  }
  return std::nullopt;
}

asio::awaitable<Error> KvClient::Impl::Watch(
    HttpStream& aStream,
    const std::function<void(const std::vector<KvEvent>&)>& aOnEvents) {
  std::string text;
  while (true) {
    const Result<std::string> part =
        co_await aStream.Read(mSettings.mWatchIdleTimeout);
    if (!part && part.error().Kind() == ErrorKind::Timeout) {
      co_return Error(ErrorKind::Timeout,
                      "The watch received nothing within its idle timeout.");
    }
    if (!part) {
      co_return Unavailable(part.error().Detail());
    }
    if (part->empty()) {
      co_return Unavailable("The key-value service ended the watch.");
    }
    text += *part;
    const std::optional<Error> end = DeliverEvents(text, aOnEvents);
    if (end) {
      co_return *end;
    }
  }
}

KvClient::KvClient(HttpClient& aClient, KvSettings aSettings)
    : mImpl(std::make_shared<Impl>(aClient, std::move(aSettings))) {}

KvClient::~KvClient() = default;

asio::awaitable<Result<KvRange>> KvClient::Range(std::string aKey,
                                                 bool aPrefix) {
  const std::shared_ptr<Impl> impl = mImpl;
  std::string body = kv::RangeBody(aKey, aPrefix);
  co_return co_await impl->Call<KvRange>(CallKind::Read, "/v3/kv/range",
                                         std::move(body), &kv::ReadRange);
}

asio::awaitable<Result<int64_t>> KvClient::Put(std::string aKey,
                                               std::string aValue,
                                               int64_t aLeaseSeconds) {
  const std::shared_ptr<Impl> impl = mImpl;
  if (aValue.size() > kMaxValueBytes) {
    co_return Error(ErrorKind::TooLarge,
                    "The value of '" + aKey + "' is over 1 MB.");
  }
  const Result<int64_t> lease = co_await impl->GrantLease(aLeaseSeconds);
  if (!lease) {
    co_return lease.error();
  }
  std::string body = kv::PutBody(aKey, aValue, *lease);
  co_return co_await impl->Call<int64_t>(CallKind::Write, "/v3/kv/put",
                                         std::move(body), &kv::ReadRevision);
}

asio::awaitable<Result<KvSwap>> KvClient::CompareAndSwap(
    std::string aKey, int64_t aModRevision, std::string aValue,
    int64_t aLeaseSeconds) {
  const std::shared_ptr<Impl> impl = mImpl;
  kv::SwapRequest request;
  request.mKey = std::move(aKey);
  request.mModRevision = aModRevision;
  request.mValue = std::move(aValue);
  co_return co_await impl->Swap(std::move(request), aLeaseSeconds);
}

asio::awaitable<Result<KvSwap>> KvClient::CompareAndDelete(
    std::string aKey, int64_t aModRevision) {
  const std::shared_ptr<Impl> impl = mImpl;
  kv::SwapRequest request;
  request.mKey = std::move(aKey);
  request.mModRevision = aModRevision;
  co_return co_await impl->Swap(std::move(request), 0);
}

asio::awaitable<Error> KvClient::Watch(
    std::string aPrefix, int64_t aFromRevision,
    std::function<void(const std::vector<KvEvent>&)> aOnEvents) {
  const std::shared_ptr<Impl> impl = mImpl;
  impl->mWatches.fetch_add(1);
  if (impl->mSettings.mEndpoints.empty()) {
    co_return Unavailable("No endpoint of the key-value service is set.");
  }
  const size_t endpoint = impl->mEndpoint.load();
  HttpRequest request =
      Post("/v3/watch", kv::WatchBody(aPrefix, aFromRevision));
  Result<std::unique_ptr<HttpStream>> stream =
      co_await impl->mClient.Open(impl->mSettings.mEndpoints[endpoint],
                                  std::move(request), impl->mSettings.mTimeout);
  if (!stream) {
    const Error error = LostResponseError(CallKind::Read, stream.error());
    co_return impl->RotateEndpoint(endpoint, error);
  }
  if ((*stream)->Head().mStatus != 200) {
    const Error error = StatusError(CallKind::Read, (*stream)->Head());
    co_return impl->RotateEndpoint(endpoint, error);
  }
  const Error end = co_await impl->Watch(**stream, aOnEvents);
  co_return impl->RotateEndpoint(endpoint, end);
}

KvCounts KvClient::Counts() const {
  KvCounts counts;
  counts.mReads = mImpl->mReads.load();
  counts.mWrites = mImpl->mWrites.load();
  counts.mWatches = mImpl->mWatches.load();
  counts.mErrors = mImpl->mErrors.load();
  return counts;
}

}  // namespace rillwall
