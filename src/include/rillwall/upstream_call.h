/// \file
/// One call to a service: chooses replicas, tries again where that is allowed,
/// and says truthfully whether the request may have run.

#pragma once

#include <memory>
#include <string>

#include "rillwall/call_attempts.h"
#include "rillwall/node_context.h"

namespace rillwall {

/// What to call.
struct UpstreamCall {
  std::string mId;       ///< identity of the request, echoed by the replica
  HttpRequest mRequest;  ///< without the headers that this module sets
  std::string mService;
  std::string mAccount;  ///< client account that it is counted for; or empty
  RequestKind mKind = RequestKind::Idempotent;
  int mAttempts = 1;  ///< replicas that may run it
  Millis mDeadline;   ///< instant at which the caller must have its answer
  Millis mTargetLatency;
  AllowedRegions mRegions;  ///< in which it may be served
};

/// A replica's answer: whole, or its beginning and the rest as a stream.
struct UpstreamResponse {
  HttpResponse mHead;                 ///< its body is what has come so far
  std::unique_ptr<HttpStream> mRest;  ///< null if the answer is whole
  std::string mReplica;
  int mTries = 0;
};

/// Counts a request at a replica for as long as it lives.
class InFlightRequest {
 public:
  /// \param aModel whose weights serve the request; empty: any
  InFlightRequest(NodeContext& aNode, std::string aReplica,
                  std::string aModel = {});
  ~InFlightRequest();
  InFlightRequest(const InFlightRequest&) = delete;
  InFlightRequest& operator=(const InFlightRequest&) = delete;
  /// Tells how it ended; without it the request counts as abandoned.
  /// \param aStream its time says nothing of the replica's latency
  void End(ReplicaOutcome aOutcome, bool aStream = false);
  Millis Started() const { return mStarted; }

 private:
  NodeContext& mNode;
  const std::string mReplica;
  const std::string mModel;
  const Millis mStarted;
  bool mOpen = true;
};

/// Makes a call. Destroying or cancelling the coroutine closes the connection,
/// which ends the work at the replica.
/// \return the answer, or an error whose Run() is NotRun only if no replica
/// can have run the request
asio::awaitable<Result<UpstreamResponse>> CallUpstream(NodeContext& aNode,
                                                       UpstreamCall aCall);

}  // namespace rillwall
