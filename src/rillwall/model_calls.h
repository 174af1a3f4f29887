/// \file
/// Runs model calls from admission to completion, on one or more engines.
///
/// The dispatcher admits a call and chooses an engine, which streams the
/// answer. If the stream breaks off, times out or is preempted, the call
/// resumes on another engine with the text received so far. The weight versions
/// in the answer's label come from the chunks that the engines send.

#pragma once

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node.h"
#include "rillwall/step.h"
#include "rillwall/upstream_codec.h"
#include "upstream_keeper.h"

namespace rillwall {

/// Set to true to cancel a call whose answer is no longer needed.
using CancelFlag = std::shared_ptr<std::atomic<bool>>;

/// A model call to run.
struct ModelRequest {
  CallSpec mSpec;  ///< ModelCalls assigns the ticket
  EngineCompletion mCompletion;
  CancelFlag mCancel;
};

/// An answer, complete once ModelCalls::Run() returns it.
struct ModelAnswer {
  std::string mText;
  Label mLabel;
  std::string mFinish;
  std::vector<std::string> mEngines;  ///< ids, in the order of use
  Millis mFirstToken;                 ///< time of the first token
};

/// Receives each chunk as it arrives.
/// \return false if the receiver has disconnected
using ChunkSink = std::function<asio::awaitable<bool>(const ModelChunk&)>;

/// Runs model calls for callers and group runners.
class ModelCalls {
 public:
  ModelCalls(Node& aNode, UpstreamKeeper& aUpstreams);
  void Start();
  /// Runs a call to completion.
  /// \param aSink receives the chunks; may be empty
  /// \return the complete answer, or an error whose RunState states whether an
  /// engine has run a part of the call
  asio::awaitable<Result<ModelAnswer>> Run(ModelRequest aRequest,
                                           ChunkSink aSink);

 private:
  using DecisionChannel = asio::experimental::concurrent_channel<void(
      boost::system::error_code, CallDecision)>;
  struct CallState;

  asio::awaitable<CallDecision> Admit(CallSpec aSpec);
  asio::awaitable<void> Finish(uint64_t aTicket, CallOutcome aOutcome);
  asio::awaitable<CallOutcome> Stream(const ModelRequest& aRequest,
                                      const CallDecision& aDecision,
                                      CallState& aState,
                                      const ChunkSink& aSink);
  asio::awaitable<Result<std::unique_ptr<HttpStream>>> OpenStream(
      const ModelRequest& aRequest, const UpstreamEntry& aEngine,
      const ModelAnswer& aReceived);
  std::string AttemptId(const ModelRequest& aRequest) const;
  asio::awaitable<CallOutcome> ReadStream(HttpStream& aStream,
                                          const ModelRequest& aRequest,
                                          const CallDecision& aDecision,
                                          CallState& aState,
                                          const ChunkSink& aSink);
  asio::awaitable<void> TickLoop();
  void Apply(std::vector<CallDecision> aDecisions);

  Node& mNode;
  UpstreamKeeper& mUpstreams;
  std::atomic<uint64_t> mNextTicket{1};
  // Used on the control strand only, by ticket.
  std::map<uint64_t, std::shared_ptr<DecisionChannel>> mWaiting;
  std::map<uint64_t, CancelFlag> mPreemptFlags;
};

}  // namespace rillwall
