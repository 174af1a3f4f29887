/// \file
/// Charges that run at most once: sent, repeated, and held against the plain
/// service's journal.

#pragma once

#include <map>
#include <random>
#include <string>

#include "callers_figures.h"
#include "driver_nodes.h"

namespace rillwall::standin {

/// What the calls with one key were told.
struct ChargeClaim {
  std::string mAnswer;  ///< body of the confirmed run
  bool mConfirmed = false;
  bool mUnknown = false;  ///< some call may have run
};

class ChargeCaller {
 public:
  ChargeCaller(HttpClient& aClient, NodeSet& aNodes, std::string aService,
               uint64_t aSeed, ChargeFigures& aFigures);

  /// Makes one charge, some of them repeated in some way.
  asio::awaitable<void> Charge();
  /// Compares all claims with the journal of the plain service.
  asio::awaitable<void> CompareWithJournal(Endpoint aService);

 private:
  /// One call with a key.
  struct Call {
    std::string mKey;
    std::string mAccount;
    int64_t mAmount = 0;
  };
  /// How one call ended.
  enum class Ending { Confirmed, NotRun, Unknown, Settled };

  Call NewCall();
  /// Repeats a call through the nodes until its outcome is settled.
  asio::awaitable<void> Settle(Call aCall);
  asio::awaitable<Ending> Send(Call aCall, Endpoint aNode, Millis& aPause);
  Ending Judge(const Call& aCall, const HttpResponse& aResponse);
  asio::awaitable<void> SendTwin(Call aCall);
  asio::awaitable<void> SendOther(Call aCall);
  void Compare(const std::map<std::string, uint64_t>& aRuns);

  HttpClient& mClient;
  NodeSet& mNodes;
  std::string mService;
  uint64_t mSeed;
  std::mt19937_64 mRandom;
  ChargeFigures& mFigures;
  std::map<std::string, ChargeClaim> mClaims;
};

}  // namespace rillwall::standin
