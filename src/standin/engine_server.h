/// \file
/// HTTP server of the engine stand-in: completions, load reports, weight orders
/// and the prefix cache.

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

/// Command-line options of an engine.
struct EngineOptions {
  ServeOptions mServe;
  EngineSettings mSettings;
  std::string mModel = "letters";
  std::string mZone;
  std::string mWeightStore;      ///< "ip:port" for orders that give only a path
  int64_t mVersion = 1;          ///< initial weight version
  int64_t mChunkMillis = 50;     ///< interval between the chunks of a stream
  int64_t mSwapMillis = 100;     ///< pause of decoding during a weight swap
  int64_t mLoadLagMillis = 200;  ///< age of the reports of /load
  int64_t mEventLagMillis = 500;  ///< delay of events in /events
};

/// Serves the engine on one thread. No locks are needed between two suspension
/// points.
class EngineServer {
 public:
  EngineServer(const EngineOptions& aOptions, Control& aControl);

  /// Handles one HTTP request.
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  /// Starts the coroutine that advances the batch.
  void Start(asio::io_context& aContext);

 private:
  /// The body of /load as of one instant.
  struct ReportSnapshot {
    Millis mAt;
    std::string mText;
  };

  asio::awaitable<void> RunBatch();
  void RecordReport(Millis aNow);
  std::string DelayedReport(Millis aNow) const;

  asio::awaitable<void> HandleCompletion(const HttpRequest& aRequest,
                                         HttpExchange& aExchange);
  Result<StreamRequest> ParseCompletion(const HttpRequest& aRequest);
  asio::awaitable<void> Stream(StreamHandle aStream, HttpExchange& aExchange);
  /// \param aTextSource stream whose text and id are sent; aStream itself
  /// unless the fault "cross" is injected
  /// \param aTokens increased by the number of tokens in the chunks
  /// \return the events for all tokens produced since the last call
  std::string ReadyChunks(EngineStream& aStream,
                          const EngineStream& aTextSource, int64_t& aTokens);
  void EndStream(const StreamHandle& aStream, std::string aEndReason);

  asio::awaitable<void> HandleOrder(const HttpRequest& aRequest,
                                    HttpExchange& aExchange);
  asio::awaitable<void> Load(OrderEntry aOrder, WeightSource aSource);
  void FinishLoad(OrderEntry aOrder, std::string aOutcome);

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
  Fault& mExtraChunks;
  EngineCore mCore;
  EngineJournal mJournal;
  asio::io_context* mContext = nullptr;
  std::unique_ptr<HttpClient> mClient;
  std::deque<ReportSnapshot> mReportSnapshots;
  uint64_t mFence = 0;   ///< highest fencing token accepted
  int64_t mLoading = 0;  ///< version being loaded; 0: none
  uint64_t mLoadNumber =
      0;  ///< a load ends once this number is no longer its own
  Millis mDecodingPausedUntil;  ///< decoding pauses for a weight swap
  uint64_t mGeneratedIds = 0;   ///< ids given to requests without request_id
};

}  // namespace rillwall::standin
