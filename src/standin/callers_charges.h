/// \file
/// Caller of non-idempotent charges. It sends charges with an idempotency key,
/// retries some of them, and compares the responses with the journal of the
/// service stand-in to check that each key ran at most once.

#pragma once

#include <map>
#include <random>
#include <string>

#include "callers_stats.h"
#include "driver_nodes.h"

namespace rillwall::standin {

/// The responses received so far for one idempotency key.
struct ChargeClaim {
  std::string mAnswer;      ///< body of the latest successful response
  bool mConfirmed = false;  ///< a response said that the charge ran
  bool mUnknown = false;    ///< a call may have run
};

/// Sends charges through the nodes and records what their responses claim.
/// Single-threaded.
class ChargeCaller {
 public:
  ChargeCaller(HttpClient& aClient, NodeSet& aNodes, std::string aService,
               uint64_t aSeed, ChargeStats& aStats);

  /// Sends one charge with a new key. A random share of the charges is sent
  /// again after the response, sent twice concurrently, or sent again with a
  /// different body under the same key.
  asio::awaitable<void> Charge();
  /// Compares the responses of all keys with the journal of the service.
  /// \param aService address of the service stand-in
  asio::awaitable<void> CompareWithJournal(Endpoint aService);

 private:
  /// A charge with its idempotency key.
  struct Call {
    std::string mKey;
    std::string mAccount;
    int64_t mAmount = 0;
  };
  /// How one call ended. Confirmed: a response said that it ran. NotRun: it
  /// certainly did not run. Unknown: it may have run, and a retry may tell.
  /// Final: it ran or may have run, and a retry cannot tell more.
  enum class SendOutcome { Confirmed, NotRun, Unknown, Final };

  Call NewCall();
  /// Sends a charge through random nodes until it is confirmed or its outcome
  /// is final, at most kMaxAttempts times.
  asio::awaitable<void> SendUntilFinal(Call aCall);
  /// Sends a charge once.
  /// \param aRetryDelay set to the delay that the response asks for
  asio::awaitable<SendOutcome> Send(Call aCall, Endpoint aNode,
                                    Millis& aRetryDelay);
  /// Records what a response claims and checks that it belongs to the charge.
  SendOutcome EvaluateResponse(const Call& aCall,
                               const HttpResponse& aResponse);
  /// Sends a charge through two nodes at once, then until its outcome is final.
  asio::awaitable<void> SendConcurrently(Call aCall);
  /// Sends a confirmed key with another amount, which must be refused.
  asio::awaitable<void> SendDifferentBody(Call aCall);
  /// \param aRuns number of runs in the journal by key
  void Compare(const std::map<std::string, uint64_t>& aRuns);

  HttpClient& mClient;
  NodeSet& mNodes;
  std::string mService;
  uint64_t mSeed;
  std::mt19937_64 mRandom;
  ChargeStats& mStats;
  std::map<std::string, ChargeClaim> mClaims;
};

}  // namespace rillwall::standin
