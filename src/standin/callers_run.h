/// \file
/// Interactive callers beside the trainers: streams, reads and charges at
/// steady rates, whatever the answers' pace.

#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "callers_charges.h"
#include "callers_figures.h"
#include "driver_nodes.h"
#include "input_lines.h"

namespace rillwall::standin {

/// What one process of callers is told at its start.
struct CallersOptions {
  std::vector<std::string> mNodes;
  std::vector<std::string> mEngines;  ///< whose journals are compared
  std::vector<std::string> mHouses{"kuzey-film", "bogaz-yapim"};
  std::string mModel = "letters";
  std::string mService = "ledger";
  std::string mServiceAddress;  ///< whose journal is compared
  std::string mInputs;
  std::string mToken;
  std::string mOut;
  double mSeconds = 10;
  double mRate = 5;        ///< streams per second
  double mReadRate = 5;    ///< plain reads per second
  double mChargeRate = 2;  ///< charges per second
  int64_t mMaxTokens = 4096;
  int64_t mLongest = 200;  ///< prompts with longer answers are left out
  uint64_t mSeed = 1;
};

class CallersRun {
 public:
  CallersRun(asio::io_context& aContext, const CallersOptions& aOptions,
             std::vector<InputLine> aInputs, NodeSet& aNodes,
             HttpClient& aClient);

  asio::awaitable<void> Run();
  const CallersFigures& Figures() const { return mFigures; }

 private:
  using Maker = std::function<asio::awaitable<void>()>;

  /// Starts calls at a rate until the end.
  asio::awaitable<void> Pace(double aRate, Maker aMaker);
  asio::awaitable<void> Counted(Maker aMaker);

  asio::awaitable<void> Stream();
  /// \return whether a node took the request; else it may go to another
  asio::awaitable<bool> StreamAt(Endpoint aNode, std::string aPrompt);
  asio::awaitable<void> ReadStream(HttpStream& aStream,
                                   const std::string& aPrompt, Millis aStart);
  void JudgeWhole(const std::string& aPrompt, const std::string& aText,
                  const std::string& aFinish, Millis aStart);
  HttpRequest StreamRequestFor(const std::string& aPrompt);
  asio::awaitable<void> Read();
  /// Sends to another node while none takes the request.
  asio::awaitable<Result<HttpResponse>> SendMoving(HttpRequest aRequest);
  asio::awaitable<void> CompareWithEngines();

  asio::io_context& mContext;
  const CallersOptions& mOptions;
  std::vector<InputLine> mInputs;
  NodeSet& mNodes;
  HttpClient& mClient;
  std::mt19937_64 mRandom;
  CallersFigures mFigures;
  ChargeCaller mCharges;
  Millis mEnd;
  uint64_t mOpen = 0;
};

}  // namespace rillwall::standin
