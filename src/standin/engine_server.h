/// \file
/// The engine stand-in's HTTP side: completions, load, orders, cache.

#pragma once

#include <deque>
#include <memory>
#include <string>

#include "control.h"
#include "control_serve.h"
#include "engine_core.h"
#include "engine_journal.h"
#include "engine_loader.h"

namespace rillwall::standin {

/// What one engine process is told at its start.
struct EngineOptions {
  ServeOptions mServe;
  EngineSettings mSettings;
  std::string mModel = "letters";
  std::string mZone;
  std::string mWeightStore;  ///< for orders that name a path only
  int64_t mVersion = 1;
  int64_t mChunkMillis = 50;  ///< between the chunks of a stream
  int64_t mSwapMillis = 100;  ///< a swap stops decoding that long
  int64_t mLoadLagMillis = 200;
  int64_t mEventLagMillis = 500;
};

/// Serves on one thread; no locks between two waits.
class EngineServer {
 public:
  EngineServer(const EngineOptions& aOptions, Control& aControl);

  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  /// Starts the batch.
  void Start(asio::io_context& aContext);

 private:
  struct Report {
    Millis mAt;
    std::string mText;
  };

  asio::awaitable<void> RunBatch();
  void KeepReport(Millis aNow);
  std::string LaggedReport(Millis aNow) const;

  asio::awaitable<void> Complete(const HttpRequest& aRequest,
                                 HttpExchange& aExchange);
  Result<StreamRequest> ParseCompletion(const HttpRequest& aRequest);
  asio::awaitable<void> Stream(StreamHandle aStream, HttpExchange& aExchange);
  /// \return chunks ready now, and how many tokens they hold
  std::string ReadyChunks(EngineStream& aStream, const EngineStream& aShown,
                          int64_t& aTokens);
  void EndStream(const StreamHandle& aStream, std::string aEnding);

  asio::awaitable<void> Order(const HttpRequest& aRequest,
                              HttpExchange& aExchange);
  asio::awaitable<void> Load(OrderEntry aOrder, WeightSource aSource);
  void EndLoad(OrderEntry aOrder, std::string aOutcome);

  HttpResponse Export(const HttpRequest& aRequest) const;
  HttpResponse Import(const HttpRequest& aRequest);
  HttpResponse Events(const HttpRequest& aRequest) const;
  StreamHandle FindStream(const std::string& aRequestId) const;

  const EngineOptions& mOptions;
  Control& mControl;
  Fault& mSwapFails;
  Fault& mIgnoreFence;
  Fault& mSpeed;
  Fault& mLoadLag;
  Fault& mCross;
  Fault& mCutAfter;
  Fault& mLeaving;
  EngineCore mCore;
  EngineJournal mJournal;
  asio::io_context* mContext = nullptr;
  std::unique_ptr<HttpClient> mClient;
  std::deque<Report> mReports;
  uint64_t mFence = 0;
  int64_t mLoading = 0;  ///< version being loaded; 0: none
  uint64_t mLoad = 0;    ///< number of the load; a newer one ends an older
  Millis mStalledUntil;  ///< decoding stops for a swap
  uint64_t mAnonymous = 0;
};

}  // namespace rillwall::standin
