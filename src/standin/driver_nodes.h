/// \file
/// How drivers reach rillwall's nodes: any of them, as behind a balancer.

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "rillwall/http.h"

namespace rillwall::standin {

/// How often calls had to be repeated.
struct RepeatCounts {
  uint64_t mLost = 0;     ///< connection or time lost
  uint64_t mRefused = 0;  ///< 429 and 5xx
  bool operator==(const RepeatCounts&) const = default;
};

/// An answer, and whether an earlier try may have taken effect already.
struct NodeAnswer {
  HttpResponse mResponse;
  bool mRepeated = false;
};

/// The nodes of a fleet. Single-threaded.
class NodeSet {
 public:
  /// \param aToken credential; empty for none
  /// \param aPatience how long one call is repeated
  NodeSet(HttpClient& aClient, std::vector<Endpoint> aNodes, std::string aToken,
          Millis aPatience, uint64_t aSeed);

  /// \return endpoints from "ip:port" texts, or BadRequest
  static Result<std::vector<Endpoint>> Parse(
      const std::vector<std::string>& aTexts);

  /// \return one node, each as likely as the others
  const Endpoint& Pick();
  size_t Size() const { return mNodes.size(); }
  const Endpoint& At(size_t aIndex) const { return mNodes[aIndex]; }
  /// Adds the credential.
  void Authorize(HttpRequest& aRequest) const;

  /// Asks nodes until one answers with less than 500 and not 429, and comes
  /// back when a refusal says so.
  asio::awaitable<Result<NodeAnswer>> Ask(HttpRequest aRequest,
                                          Millis aTimeout);
  const RepeatCounts& Repeats() const { return mRepeats; }

 private:
  HttpClient& mClient;
  std::vector<Endpoint> mNodes;
  std::string mToken;
  Millis mPatience;
  std::mt19937_64 mRandom;
  RepeatCounts mRepeats;
};

/// \return how long an answer asks to wait; at most a few seconds
Millis RetryAfterOf(const HttpResponse& aResponse);
/// \return a request with a JSON body
HttpRequest JsonRequest(std::string aMethod, std::string aTarget,
                        std::string aBody);

/// \return the value below which a share of the values lies; 0 for none
int64_t Quantile(std::vector<int64_t> aValues, double aShare);

}  // namespace rillwall::standin
