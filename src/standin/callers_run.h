/// \file
/// Load generator of interactive callers: streamed completions, reads and
/// charges. Calls are started at fixed average rates (open loop), independently
/// of how fast responses arrive.

#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "callers_charges.h"
#include "callers_stats.h"
#include "driver_nodes.h"
#include "input_lines.h"

namespace rillwall::standin {

/// Command-line options of the callers.
struct CallersOptions {
  std::vector<std::string> mNodes;
  std::vector<std::string>
      mEngines;  ///< "ip:port" each; checked by their journals
  std::vector<std::string> mClientAccounts{"kuzey-film", "bogaz-yapim"};
  std::string mModel = "letters";
  std::string mService = "ledger";
  std::string mServiceAddress;  ///< "ip:port"; checked by its journal
  std::string mInputs;          ///< file of prompts
  std::string mToken;           ///< bearer token; empty for none
  std::string mOut;             ///< file for the result
  double mSeconds = 10;         ///< duration in which calls are started
  double mRate = 5;             ///< streams per second
  double mReadRate = 5;         ///< plain reads per second
  double mChargeRate = 2;       ///< charges per second
  int64_t mMaxTokens = 4096;
  int64_t mMaxAnswerTokens =
      200;  ///< tokens; prompts with longer answers are skipped
  uint64_t mSeed = 1;
};

/// Runs the load and checks every response. Single-threaded.
class CallersRun {
 public:
  CallersRun(asio::io_context& aContext, const CallersOptions& aOptions,
             std::vector<InputLine> aInputs, NodeSet& aNodes,
             HttpClient& aClient);

  /// Starts calls for the configured duration, waits for the open ones, and
  /// compares the outcomes with the journals of the service and the engines.
  asio::awaitable<void> Run();
  const CallersStats& Stats() const { return mStats; }

 private:
  using CallFunction = std::function<asio::awaitable<void>()>;

  /// Starts calls with exponentially distributed gaps until mEnd.
  /// \param aRate calls per second
  asio::awaitable<void> StartAtRate(double aRate, CallFunction aCall);
  /// Runs a call and counts it as open meanwhile.
  asio::awaitable<void> TrackCall(CallFunction aCall);

  /// Makes one streamed completion, with failover to other nodes.
  asio::awaitable<void> Stream();
  /// \return false if the request was certainly not run and may be sent to
  /// another node
  asio::awaitable<bool> StreamAt(Endpoint aNode, std::string aPrompt);
  /// Reads a stream to its end or to its failure and checks its text.
  asio::awaitable<void> ReadStream(HttpStream& aStream,
                                   const std::string& aPrompt, Millis aStart);
  /// Checks the text and length of a stream that was marked as complete.
  void CheckCompleted(const std::string& aPrompt, const std::string& aText,
                      const std::string& aFinish, Millis aStart);
  HttpRequest StreamRequestFor(const std::string& aPrompt);
  /// Makes one idempotent read and checks that the response is its own.
  asio::awaitable<void> Read();
  /// Sends a request to random nodes until one accepts it, at most
  /// kMaxNodeAttempts times.
  asio::awaitable<Result<HttpResponse>> SendWithFailover(HttpRequest aRequest);
  /// Counts streams that were refused as not run, but ran at an engine.
  asio::awaitable<void> CompareWithEngines();

  asio::io_context& mContext;
  const CallersOptions& mOptions;
  std::vector<InputLine> mInputs;
  NodeSet& mNodes;
  HttpClient& mClient;
  std::mt19937_64 mRandom;
  CallersStats mStats;
  ChargeCaller mCharges;
  Millis mEnd;              ///< instant after which no call is started
  uint64_t mOpenCalls = 0;  ///< calls started and not ended
};

}  // namespace rillwall::standin
