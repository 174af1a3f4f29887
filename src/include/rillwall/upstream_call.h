/// \file
/// One call to a service: chooses replicas, retries where that is allowed, and
/// reports truthfully whether the request may have run.

#pragma once

#include <memory>
#include <string>

#include "rillwall/call_attempts.h"
#include "rillwall/node_context.h"
#include "rillwall/request_digest.h"

namespace rillwall {

/// The parameters of a call.
struct UpstreamCall {
  std::string mId;       ///< identity of the request, echoed by the replica
  HttpRequest mRequest;  ///< without the headers that CallUpstream() sets
  std::string mService;
  std::string mAccount;  ///< client account that the request is counted for;
                         ///< may be empty
  RequestKind mKind = RequestKind::Idempotent;
  int mAttempts = 1;  ///< most replicas that may run the request
  Millis mDeadline;   ///< when the caller must have its response
  Millis mTargetLatency;
  /// Time that a client's first attempt has; 0: unknown.
  Millis mTimeout;
  int mPriority = 0;        ///< 0 is the most urgent
  bool mDelayOnly = false;  ///< waits for capacity instead of being refused
  bool mOwed = false;       ///< see CrashRecord::mOwed
  AllowedRegions mRegions;  ///< regions in which the request may be served
  std::string mRoute;       ///< name of its route; may be empty
  /// Whether replicas may be asked for their load first. Not for scorer calls,
  /// whose sender sees enough responses.
  bool mProbes = false;
  /// Set once a replica may have run the request, also if the call is
  /// cancelled. Has to outlive the call; may be null.
  bool* mMayHaveRun = nullptr;
};

/// \return the digest of a call's request, which is the same whoever sends it
/// again
RequestDigest DigestOf(const UpstreamCall& aCall);

/// A replica's response, either whole or as its beginning and a stream of the
/// rest.
struct UpstreamResponse {
  HttpResponse mHead;                 ///< its body is what has arrived so far
  std::unique_ptr<HttpStream> mRest;  ///< null if the response is whole
  std::string mReplica;
  /// Number of the try that was answered.
  int mTries = 0;
};

/// Counts a request as in flight at a replica during the lifetime of the
/// object.
class InFlightRequest {
 public:
  /// \param aModel model whose weights serve the request; empty: any
  InFlightRequest(NodeContext& aNode, std::string aReplica,
                  std::string aModel = {});
  ~InFlightRequest();
  InFlightRequest(const InFlightRequest&) = delete;
  InFlightRequest& operator=(const InFlightRequest&) = delete;
  /// Reports how the request ended. Without this call the request counts as
  /// abandoned.
  /// \param aStream the response was a stream, whose duration says nothing
  /// about the replica's latency
  void End(ReplicaOutcome aOutcome, bool aStream = false);
  /// \return when the request was started
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
/// \return the response, or an error whose Run() is NotRun only if no replica
/// can have run the request
asio::awaitable<Result<UpstreamResponse>> CallUpstream(NodeContext& aNode,
                                                       UpstreamCall aCall);

}  // namespace rillwall
