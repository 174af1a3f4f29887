/// \file
/// One model call from admission to its end, over as many engines as it takes.
///
/// A call is admitted by the dispatcher, streamed from an engine and, when the
/// stream is cut, times out or is preempted, resumed elsewhere with what was
/// received. Its label is read off the engines' own chunks.

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

/// Set by whoever no longer wants a call's answer.
using CancelFlag = std::shared_ptr<std::atomic<bool>>;

struct ModelRequest {
  CallSpec mSpec;  ///< the ticket is given by ModelCalls
  EngineCompletion mCompletion;
  CancelFlag mCancel;
};

/// A whole answer.
struct ModelAnswer {
  std::string mText;
  Label mLabel;
  std::string mFinish;
  std::vector<std::string> mEngines;  ///< in the order of use
  Millis mFirstToken;                 ///< the instant of the first token
};

/// Takes a chunk as it comes. \return false if the receiver has gone
using ChunkSink = std::function<asio::awaitable<bool>(const ModelChunk&)>;

class ModelCalls {
 public:
  ModelCalls(Node& aNode, UpstreamKeeper& aUpstreams);
  void Start();
  /// Runs a call to its end.
  /// \return the whole answer, or why there is none; RunState tells whether
  /// an engine has run a part of it
  asio::awaitable<Result<ModelAnswer>> Run(ModelRequest aRequest,
                                           ChunkSink aSink);

 private:
  using DecisionChannel = asio::experimental::concurrent_channel<void(
      boost::system::error_code, CallDecision)>;
  struct Running;

  asio::awaitable<CallDecision> Admit(CallSpec aSpec);
  asio::awaitable<void> Finish(uint64_t aTicket, CallOutcome aOutcome);
  asio::awaitable<CallOutcome> Stream(const ModelRequest& aRequest,
                                      const CallDecision& aDecision,
                                      Running& aRunning,
                                      const ChunkSink& aSink);
  asio::awaitable<Result<std::unique_ptr<HttpStream>>> OpenStream(
      const ModelRequest& aRequest, const UpstreamEntry& aEngine,
      const ModelAnswer& aSoFar);
  std::string AttemptId(const ModelRequest& aRequest) const;
  asio::awaitable<CallOutcome> ReadStream(HttpStream& aStream,
                                          const ModelRequest& aRequest,
                                          const CallDecision& aDecision,
                                          Running& aRunning,
                                          const ChunkSink& aSink);
  asio::awaitable<void> TickLoop();
  void Apply(std::vector<CallDecision> aDecisions);

  Node& mNode;
  UpstreamKeeper& mUpstreams;
  std::atomic<uint64_t> mNextTicket{1};
  // On the control strand only.
  std::map<uint64_t, std::shared_ptr<DecisionChannel>> mWaiting;
  std::map<uint64_t, CancelFlag> mPreempt;
};

}  // namespace rillwall
