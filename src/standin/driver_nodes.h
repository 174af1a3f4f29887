/// \file
/// Client side of the drivers: sends requests to random rillwall nodes, as a
/// load balancer in front of them would.

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "rillwall/http.h"

namespace rillwall::standin {

/// Counts of retries by cause.
struct RetryCounts {
  uint64_t mLost = 0;     ///< connection lost or timed out
  uint64_t mRefused = 0;  ///< response with status 429 or 5xx
  bool operator==(const RetryCounts&) const = default;
};

/// A response, and whether an earlier attempt may have taken effect already.
struct NodeResponse {
  HttpResponse mResponse;
  bool mMayHaveRun = false;
};

/// The nodes of a cluster, with retries across them. Single-threaded.
class NodeSet {
 public:
  /// \param aToken bearer token; empty for none
  /// \param aRetryTimeout how long one request is retried
  NodeSet(HttpClient& aClient, std::vector<Endpoint> aNodes, std::string aToken,
          Millis aRetryTimeout, uint64_t aSeed);

  /// \return the endpoints, or BadRequest
  /// \param aTexts "ip:port" each
  static Result<std::vector<Endpoint>> Parse(
      const std::vector<std::string>& aTexts);

  /// \return a random node, chosen uniformly
  const Endpoint& Pick();
  size_t Size() const { return mNodes.size(); }
  const Endpoint& At(size_t aIndex) const { return mNodes[aIndex]; }
  /// Adds the Authorization header, if there is a token.
  void Authorize(HttpRequest& aRequest) const;

  /// Sends a request to random nodes until a response has a status below 500
  /// other than 429. Waits between attempts as the Retry-After headers ask.
  /// \param aTimeout of one attempt
  /// \return the response, or Timeout if the retry timeout has passed
  asio::awaitable<Result<NodeResponse>> Ask(HttpRequest aRequest,
                                            Millis aTimeout);
  const RetryCounts& Retries() const { return mRetries; }

 private:
  HttpClient& mClient;
  std::vector<Endpoint> mNodes;
  std::string mToken;
  Millis mRetryTimeout;
  std::mt19937_64 mRandom;
  RetryCounts mRetries;
};

/// \return the delay that Retry-After-Ms or Retry-After asks for, limited to
/// kMaxRetryAfter; a short default if there is no such header
Millis RetryAfterOf(const HttpResponse& aResponse);
/// \return a request with a JSON body
HttpRequest JsonRequest(std::string aMethod, std::string aTarget,
                        std::string aBody);

/// \return the quantile of the values, without interpolation; 0 if there are
/// none
/// \param aShare from 0 to 1
int64_t Quantile(std::vector<int64_t> aValues, double aShare);

}  // namespace rillwall::standin
