#include "rillwall/upstream_call.h"

#include <algorithm>
#include <set>

#include "crash_guard.h"
#include "hedged_try.h"
#include "replica_end.h"
#include "rillwall/event_log.h"
#include "rillwall/load_probe.h"
#include "rillwall/numbers.h"
#include "rillwall/replica_answer.h"
#include "rillwall/request_digest.h"
#include "rillwall/request_gate.h"
#include "watched_stream.h"

namespace rillwall {

namespace {

/// A response up to this size is read whole before its first byte is forwarded,
/// so that another replica can be tried if it breaks off. Plain responses have
/// 5 KB; the limit is far above that and far below the memory of a small host.
constexpr size_t kMaxBufferedBody = 256 * 1024;
/// Shortest time that a try gets before another replica is tried.
constexpr Millis kMinTryTimeout{200};
/// Pause before replicas that refused are tried again.
constexpr Millis kRefusedPause{25};
/// Tries at replicas that were found unreachable shortly before.
constexpr int kMaxUnreachableTries = 8;
constexpr int kFirstServerError = 500;
/// Statuses by which a client may conclude that its request has not run.
constexpr int kNotRunStatuses[] = {408, 421, 429, 503};

/// The state of one call.
struct CallRun {
  explicit CallRun(NodeContext& aNode, UpstreamCall aCall)
      : mNode(aNode),
        mCall(std::move(aCall)),
        mAttempts(mCall.mKind, mCall.mAttempts) {
    mRequirements.mService = mCall.mService;
    mRequirements.mZone = mNode.mIdentity.mZone;
    mRequirements.mRegions = mCall.mRegions;
    mRequirements.mRoute = mCall.mRoute;
  }

  NodeContext& mNode;
  const UpstreamCall mCall;
  CallAttempts mAttempts;
  AdmissionTicket mTicket;
  ReplicaRequirements mRequirements;
  /// Best response among failed tries.
  std::optional<UpstreamResponse> mFailedResponse;
  bool mCounted = false;  ///< the request has begun to run at some replica
  std::optional<RequestDigest> mDigest;  ///< computed on first use
  std::set<std::string> mRefusedBy;      ///< ids of replicas
};

RequestParts PartsOf(const UpstreamCall& aCall) {
  const HttpRequest& request = aCall.mRequest;
  const std::string* host = request.Find("Host");
  return {request.mMethod, host == nullptr ? std::string_view() : *host,
          request.mTarget, aCall.mAccount, request.mBody};
}

/// \return the digest of the request, computed once
const RequestDigest& DigestOf(CallRun& aRun) {
  if (!aRun.mDigest) {
    aRun.mDigest.emplace(PartsOf(aRun.mCall));
  }
  return *aRun.mDigest;
}

/// \return an error if the request is held. All hosts hold a request that ends
/// replicas, as the knowledge must outlive this attempt; otherwise each new
/// attempt would end as many replicas again.
std::optional<Error> HeldError(CallRun& aRun) {
  const NodeContext& node = aRun.mNode;
  return node.mCrashes.HasSuspects()
             ? ErrorIfHeld(node, DigestOf(aRun), aRun.mCall.mOwed)
             : std::nullopt;
}

/// Counts a request for its account, once, at the time when it was first sent
/// to a replica that ran it, and sets UpstreamCall::mMayHaveRun. Also does so
/// if the call is cancelled meanwhile.
class UsageCount {
 public:
  explicit UsageCount(CallRun& aRun)
      : mRun(aRun), mSentMs(aRun.mNode.mTimeOfDay()) {}
  ~UsageCount() {
    if (mMayRun && mRun.mCall.mMayHaveRun != nullptr) {
      *mRun.mCall.mMayHaveRun = true;
    }
    if (mMayRun && !mRun.mCounted) {
      mRun.mCounted = true;
      mRun.mNode.mUsage.Count(mRun.mCall.mAccount, mSentMs);
    }
  }
  UsageCount(const UsageCount&) = delete;
  UsageCount& operator=(const UsageCount&) = delete;
  /// The replica has certainly not run the request.
  void NotRun() { mMayRun = false; }

 private:
  CallRun& mRun;
  const int64_t mSentMs;
  bool mMayRun = true;
};

/// How one try ended.
struct TryResult {
  TryOutcome mEnd = TryOutcome::NotSent;
  UpstreamResponse mResponse;
  std::string mWhy;
  bool mConnectionClosed = false;  ///< the replica closed the connection
  HttpCallTrace mTrace;            ///< what the call shows about the replica
  Millis mSentAt;
  Listing mListing;            ///< list in use when the replica was chosen
  int64_t mOrder = 1;          ///< see CrashRecord::mOrder
  bool mReplicaEnded = false;  ///< the replica's process has ended since
  /// The replica of the second try, if this is that one's result.
  std::optional<Replica> mHedge;
  /// How the first try ended, if this is the second one's result.
  ReplicaOutcome mFirstOutcome = ReplicaOutcome::Abandoned;
};

/// \return whether the replica has certainly not run the request
bool CertainlyNotRun(const TryResult& aResult) {
  return aResult.mEnd == TryOutcome::NotSent ||
         aResult.mEnd == TryOutcome::Refused;
}

/// \return whether a response shows that its replica survived the request. The
/// head of a stream does not show that. Neither does an error: a replica whose
/// time for the request ran out answers too, and would have ended later.
bool SurvivedRequest(const CallRun& aRun, const TryResult& aResult) {
  return aResult.mEnd == TryOutcome::Answered &&
         aRun.mCall.mKind != RequestKind::Streaming &&
         aResult.mResponse.mHead.mStatus < kFirstServerError;
}

/// \return what is known of a run if its connection is closed now
CutRun CutRunOf(CallRun& aRun, const Replica& aReplica, const TryResult& aTry) {
  CutRun cut;
  cut.mRequest = DigestOf(aRun);
  cut.mReplica = aReplica;
  cut.mId = aRun.mCall.mId;
  cut.mDescription = DescribeRequest(PartsOf(aRun.mCall));
  cut.mSentAt = aTry.mSentAt;
  cut.mOrder = aTry.mOrder;
  cut.mReached = aTry.mTrace.Reached();
  cut.mOwed = aRun.mCall.mOwed;
  return cut;
}

/// Updates the crash records of the request after a try.
asio::awaitable<void> RecordOutcome(CallRun& aRun, const Replica& aReplica,
                                    TryResult& aResult) {
  NodeContext& node = aRun.mNode;
  const UpstreamCall& call = aRun.mCall;
  if (aResult.mEnd == TryOutcome::Lost && aResult.mConnectionClosed) {
    aResult.mReplicaEnded =
        co_await RecordCrashIfEnded(node, CutRunOf(aRun, aReplica, aResult));
  }
  if (node.mCrashes.HasSuspects() && SurvivedRequest(aRun, aResult)) {
    ClearRequest(node, DigestOf(aRun), call.mId);
  }
}

/// \return whether the request may be tried at another replica after this try
bool MayRetryElsewhere(CallRun& aRun, const TryResult& aResult) {
  return !aResult.mReplicaEnded || aRun.mNode.mCrashes.Crashes(DigestOf(aRun)) <
                                       CrashTable::kCrashesToStopRetries;
}

/// \return whether a request that a replica refused may be tried at another
/// one. When the replicas are full, the answer is a refusal, because a round
/// through all of them would only delay it.
bool MayRetryRefused(CallRun& aRun, const std::string& aReplica) {
  if (!aRun.mTicket.RefusedByReplica()) {
    return false;
  }
  ReplicaRequirements others = aRun.mRequirements;
  others.mExcluded.push_back(aReplica);
  return aRun.mTicket.MaySend(others);
}

/// \return whether the request may go to a replica that was found unreachable
/// just before, as no other is left. A replica that is full will accept it
/// sooner.
bool MayTryUnreachable(const CallRun& aRun) {
  return aRun.mRefusedBy.empty() &&
         aRun.mAttempts.UnsentTries() < kMaxUnreachableTries;
}

/// \return whether a client would take the response for the promise that its
/// request has not run, though the replica has not promised that
bool LooksNotRun(const CallRun& aRun, const HttpResponse& aHead) {
  return aRun.mCall.mKind != RequestKind::Idempotent &&
         std::ranges::find(kNotRunStatuses, aHead.mStatus) !=
             std::end(kNotRunStatuses);
}

HttpRequest MakeTryRequest(const CallRun& aRun, const std::string& aReplica,
                           Millis aLeft) {
  HttpRequest request = aRun.mCall.mRequest;
  const HeaderNames& names = aRun.mNode.mHeaders;
  request.mHeaders.push_back({names.mExpectReplica, aReplica});
  request.mHeaders.push_back({names.mTimeLeft, std::to_string(aLeft.Count())});
  return request;
}

/// \return the time limit of this try
Millis TryTimeout(const CallRun& aRun, Millis aLeft) {
  if (!aRun.mAttempts.MayAbandonTry()) {
    return aLeft;
  }
  return std::min(aLeft, std::max(kMinTryTimeout, aRun.mCall.mTargetLatency));
}

TryOutcome EndOf(const Error& aError) {
  if (aError.Run() == RunState::NotRun) {
    return TryOutcome::NotSent;
  }
  return aError.Kind() == ErrorKind::Timeout ? TryOutcome::TimedOut
                                             : TryOutcome::Lost;
}

ReplicaOutcome OutcomeOf(TryOutcome aEnd) {
  switch (aEnd) {
    case TryOutcome::Answered:
      return ReplicaOutcome::Served;
    case TryOutcome::Refused:
      return ReplicaOutcome::Refused;
    case TryOutcome::NotSent:
      return ReplicaOutcome::Unreachable;
    case TryOutcome::Lost:
    case TryOutcome::TimedOut:
      return ReplicaOutcome::Failed;
  }
  return ReplicaOutcome::Failed;
}

/// \return what becomes of a connection on which the request was refused.
/// Idempotent requests keep it, as full replicas reset new ones; their next try
/// at the same replica uses another one.
AfterRefusal AfterRefusalOf(const CallRun& aRun) {
  return aRun.mCall.mKind == RequestKind::Idempotent ? AfterRefusal::Keep
                                                     : AfterRefusal::Close;
}

/// Reads a response's body, up to the size that is buffered whole.
/// \param aTry the try so far
/// \return the try
asio::awaitable<TryResult> ReadResponse(std::unique_ptr<HttpStream> aStream,
                                        Millis aDue, NodeContext& aNode,
                                        TryResult aTry) {
  TryResult result = std::move(aTry);
  result.mEnd = TryOutcome::Answered;
  result.mResponse.mHead = aStream->Head();
  std::string& body = result.mResponse.mHead.mBody;
  while (body.size() < kMaxBufferedBody) {
    const Millis left = std::max(Millis(1), aDue - aNode.Now());
    Result<std::string> part = co_await aStream->Read(left);
    if (!part) {
      result.mEnd = part.error().Kind() == ErrorKind::Timeout
                        ? TryOutcome::TimedOut
                        : TryOutcome::Lost;
      result.mWhy = part.error().Detail();
      result.mConnectionClosed =
          part.error().Kind() == ErrorKind::ConnectionLost;
      co_return result;
    }
    if (part->empty()) {
      co_return result;
    }
    body += *part;
  }
  result.mResponse.mRest = std::move(aStream);
  co_return result;
}

/// \return number of events that the client of a stream has received before
int64_t EventsBefore(const CallRun& aRun) {
  const std::string* last =
      aRun.mCall.mRequest.Find(aRun.mNode.mHeaders.mLastEvent);
  return last == nullptr ? 0 : ParseNumber(*last).value_or(0);
}

asio::awaitable<TryResult> TryOnce(CallRun& aRun, const Replica& aReplica) {
  NodeContext& node = aRun.mNode;
  const Millis left = aRun.mCall.mDeadline - node.Now();
  const Millis limit = TryTimeout(aRun, left);
  const Millis due = node.Now() + limit;
  TryResult result;
  result.mSentAt = node.Now();
  result.mListing = node.mReplicas.LastListing();
  const Result<Endpoint> endpoint = Endpoint::Parse(aReplica.mAddress);
  if (!endpoint) {
    result.mWhy = endpoint.error().Detail();
    co_return result;
  }
  HttpRequest request = MakeTryRequest(aRun, aReplica.mId, left);
  HttpClient::OpenOptions options;
  options.mMayReuse =
      ReuseAfterAnswer(node, aRun.mCall.mId, AfterRefusalOf(aRun));
  options.mNewConnection = aRun.mRefusedBy.contains(aReplica.mId);
  if (node.mCrashes.HasSuspects()) {
    options.mNewConnection |= NeedsNewConnection(node, DigestOf(aRun));
    result.mOrder = node.mCrashes.NextOrder(DigestOf(aRun));
  }
  options.mTrace = &result.mTrace;
  options.mEndCheck = EndCheckFor(node, aReplica);
  Result<std::unique_ptr<HttpStream>> opened = co_await node.mClient.Open(
      *endpoint, std::move(request), limit, std::move(options));
  if (!opened) {
    result.mEnd = EndOf(opened.error());
    result.mWhy = opened.error().Detail();
    result.mConnectionClosed =
        opened.error().Kind() == ErrorKind::ConnectionLost;
    co_return result;
  }
  std::unique_ptr<HttpStream> stream = std::move(*opened);
  const HttpResponse& head = stream->Head();
  if (!IsAnswerTo(node, head, aRun.mCall.mId)) {
    result.mEnd = TryOutcome::Lost;
    result.mWhy = "the response belongs to another request";
    co_return result;
  }
  ObserveLoad(node, aReplica.mId, head);
  if (IsRefusal(node, head)) {
    aRun.mRefusedBy.insert(aReplica.mId);
    result.mEnd = TryOutcome::Refused;
    result.mWhy = "refused with status " + std::to_string(head.mStatus);
    co_return result;
  }
  if (LooksNotRun(aRun, head)) {
    result.mEnd = TryOutcome::Lost;
    result.mWhy = "status " + std::to_string(head.mStatus) +
                  " without the statement that the request was not run";
    co_return result;
  }
  if (aRun.mCall.mKind == RequestKind::Streaming) {
    result.mEnd = TryOutcome::Answered;
    result.mResponse.mHead = head;
    result.mResponse.mRest =
        std::make_unique<WatchedStream>(node, CutRunOf(aRun, aReplica, result),
                                        EventsBefore(aRun), std::move(stream));
    co_return result;
  }
  co_return co_await ReadResponse(std::move(stream), due, node,
                                  std::move(result));
}

/// \return the digest for a try's log line, so that requests with the same
/// content can be recognized: set for requests that may have run and were not
/// answered
std::string LoggedDigest(CallRun& aRun, const TryResult& aResult) {
  const bool lost =
      aResult.mEnd == TryOutcome::Lost || aResult.mEnd == TryOutcome::TimedOut;
  return lost ? DigestOf(aRun).Text() : std::string();
}

void LogTry(CallRun& aRun, const std::string& aReplica,
            const TryResult& aResult, CallStep aStep) {
  const bool delivered = aStep == CallStep::Deliver;
  const Millis now = aRun.mNode.Now();
  Event(delivered ? "answered" : "try-failed")
      .Bounded(aRun.mTicket.Active())
      .Id(aRun.mCall.mId)
      .Text("replica", aReplica)
      .Number("try", aRun.mAttempts.Tries())
      .Number("status", aResult.mResponse.mHead.mStatus)
      .Number("left_ms", (aRun.mCall.mDeadline - now).Count())
      .Number("took_ms", (now - aResult.mSentAt).Count())
      .Number("unsent_ms", aResult.mTrace.mUnsent.Count())
      .Number("list_age_ms",
              (aResult.mSentAt - aResult.mListing.mReadAt).Count())
      .Number("list_revision", aResult.mListing.mRevision)
      .Text("why", aResult.mWhy)
      .Text("request", LoggedDigest(aRun, aResult))
      .Flag("replica_ended", aResult.mReplicaEnded)
      .Text("next", aStep == CallStep::Retry ? "retry"
                    : delivered              ? "deliver"
                                             : "fail")
      .Write();
}

/// Keeps a replica's error response, in case no other replica does better.
void KeepFailedResponse(CallRun& aRun, TryResult& aResult) {
  if (aResult.mEnd == TryOutcome::Answered) {
    aRun.mFailedResponse = std::move(aResult.mResponse);
  }
}

/// Brings the figures behind the choice of a replica up to date.
asio::awaitable<void> PrepareChoice(CallRun& aRun) {
  NodeContext& node = aRun.mNode;
  FindConnected(node, aRun.mRequirements);
  if (aRun.mCall.mProbes) {
    co_await RefreshLoad(node, aRun.mRequirements, kProbeWait);
    FindConnected(node, aRun.mRequirements);
  }
}

/// Records the latency and the status of a response for the choice of replicas.
void ObserveAnswer(const CallRun& aRun, const std::string& aReplica,
                   const TryResult& aResult, Millis aStarted) {
  if (aResult.mEnd == TryOutcome::Answered && !aResult.mResponse.mRest) {
    const Millis now = aRun.mNode.Now();
    aRun.mNode.mReplicas.ObserveAnswer(
        aReplica, aRun.mCall.mRoute, now - aStarted,
        aResult.mResponse.mHead.mStatus >= kFirstServerError, now);
  }
}

bool Succeeded(const TryResult& aResult) {
  return aResult.mEnd == TryOutcome::Answered &&
         aResult.mResponse.mHead.mStatus < kFirstServerError;
}

/// Sends the request to a second replica while the first try runs, if the
/// service has spare capacity.
/// \param aSent called before the request is sent
/// \return nothing if it was not sent
asio::awaitable<std::optional<TryResult>> SecondTry(
    CallRun& aRun, const std::string& aFirst, std::function<void()> aSent) {
  NodeContext& node = aRun.mNode;
  ReplicaRequirements requirements = aRun.mRequirements;
  requirements.mExcluded.push_back(aFirst);
  if (aRun.mCall.mProbes) {
    FindConnected(node, requirements);
    co_await RefreshLoad(node, requirements, kProbeWait);
  }
  const Millis now = node.Now();
  const std::optional<AnswerEstimate> estimate =
      node.mReplicas.EstimateAnswer(requirements, now);
  if (!node.mHedges.TryHedge(estimate, aRun.mCall.mDeadline - now)) {
    co_return std::nullopt;
  }
  const std::optional<std::string> id =
      node.mReplicas.Choose(requirements, now);
  if (!id) {
    co_return std::nullopt;
  }
  const Replica replica = *node.mReplicas.Find(*id);
  Event("hedged")
      .Id(aRun.mCall.mId)
      .Text("first", aFirst)
      .Text("second", *id)
      .Number("expected_ms", estimate->mExpected.Count())
      .Number("figures_age_ms", estimate->mAge.Count())
      .Number("free_slots", estimate->mFreeSlots)
      .Write();
  ++node.mLoadCounts.mHedgesSent;
  node.mMetrics.Count("hedged_requests_sent_total");
  aSent();
  InFlightRequest use(node, *id);
  UsageCount count(aRun);
  TryResult result = co_await TryOnce(aRun, replica);
  if (CertainlyNotRun(result)) {
    count.NotRun();
  }
  use.End(OutcomeOf(result.mEnd));
  ObserveAnswer(aRun, *id, result, use.Started());
  result.mHedge = replica;
  co_return result;
}

/// Runs a try, and a second one at another replica if the first takes longer
/// than nearly all tries of its route.
asio::awaitable<TryResult> TryHedged(CallRun& aRun, const Replica& aReplica) {
  NodeContext& node = aRun.mNode;
  const UpstreamCall& call = aRun.mCall;
  if (call.mKind != RequestKind::Idempotent ||
      !node.mReplicas.UsesCurrentLoad(call.mService)) {
    co_return co_await TryOnce(aRun, aReplica);
  }
  node.mHedges.Started();
  const Millis started = node.Now();
  const std::optional<Millis> delay = node.mHedges.DelayOf(call.mRoute);
  TryResult result;
  if (delay && aRun.mAttempts.MayAbandonTry()) {
    HedgedTries<TryResult> tries{node,
                                 call.mDeadline,
                                 [&] { return TryOnce(aRun, aReplica); },
                                 [&](std::function<void()> aSent) {
                                   return SecondTry(aRun, aReplica.mId,
                                                    std::move(aSent));
                                 },
                                 Succeeded,
                                 *delay};
    HedgedResult<TryResult> ended = co_await RunHedged(tries);
    // Both were cancelled: the first one may have run.
    result.mEnd = TryOutcome::TimedOut;
    if (ended.mValue) {
      result = std::move(*ended.mValue);
    }
    const std::optional<TryResult>& other =
        ended.mSecond ? tries.mFirstResult : tries.mSecondResult;
    if (tries.mSecondSent && !(other && CertainlyNotRun(*other))) {
      aRun.mAttempts.RecordTry(TryOutcome::TimedOut, 0);
      node.mMetrics.Count("hedged_requests_cancelled_total");
    }
    if (ended.mSecond && tries.mFirstResult) {
      result.mFirstOutcome = OutcomeOf(tries.mFirstResult->mEnd);
      co_await RecordOutcome(aRun, aReplica, *tries.mFirstResult);
    } else if (!Succeeded(result) && !ended.mSecond && tries.mSecondResult) {
      co_await RecordOutcome(aRun, *tries.mSecondResult->mHedge,
                             *tries.mSecondResult);
    }
    if (ended.mSecond && Succeeded(result)) {
      ++node.mLoadCounts.mHedgesWon;
      node.mMetrics.Count("hedged_requests_won_total");
    }
  } else {
    result = co_await TryOnce(aRun, aReplica);
  }
  if (result.mEnd == TryOutcome::Answered) {
    node.mHedges.ObserveTry(call.mRoute, node.Now() - started);
  }
  co_return result;
}

asio::awaitable<Result<UpstreamResponse>> Run(CallRun& aRun) {
  NodeContext& node = aRun.mNode;
  bool deadlinePassed = false;
  while (true) {
    if (node.mReplicas.UsesCurrentLoad(aRun.mCall.mService)) {
      co_await PrepareChoice(aRun);
    }
    const bool cancelled = co_await Cancelled();
    deadlinePassed = node.Now() >= aRun.mCall.mDeadline;
    if (deadlinePassed || cancelled) {
      break;
    }
    std::optional<Error> held = HeldError(aRun);
    if (held && aRun.mAttempts.Run() == RunState::NotRun) {
      co_return std::move(*held);
    }
    if (held) {
      break;
    }
    std::optional<std::string> id =
        node.mReplicas.Choose(aRun.mRequirements, node.Now());
    if (id && node.mReplicas.Unreachable(*id, node.Now()) &&
        !MayTryUnreachable(aRun)) {
      id.reset();
    }
    if (!id) {
      if (aRun.mRequirements.mExcluded.empty() || aRun.mTicket.Active()) {
        break;
      }
      aRun.mRequirements.mExcluded.clear();
      co_await Sleep(node.mIo, kRefusedPause);
      continue;
    }
    Replica replica = *node.mReplicas.Find(*id);
    InFlightRequest use(node, *id);
    aRun.mTicket.Sent();
    UsageCount count(aRun);
    TryResult result = co_await TryHedged(aRun, replica);
    if (result.mHedge) {
      replica = *result.mHedge;
      id = replica.mId;
      use.End(result.mFirstOutcome);
    } else {
      if (CertainlyNotRun(result)) {
        count.NotRun();
      }
      use.End(OutcomeOf(result.mEnd));
      ObserveAnswer(aRun, *id, result, use.Started());
    }
    co_await RecordOutcome(aRun, replica, result);
    const int status = result.mResponse.mHead.mStatus;
    CallStep step = aRun.mAttempts.RecordTry(result.mEnd, status);
    if (step == CallStep::Retry && !MayRetryElsewhere(aRun, result)) {
      step = CallStep::Fail;
    }
    if (step == CallStep::Retry && result.mEnd == TryOutcome::Refused &&
        !MayRetryRefused(aRun, *id)) {
      step = CallStep::Fail;
    }
    LogTry(aRun, *id, result, step);
    if (step == CallStep::Deliver) {
      result.mResponse.mReplica = *id;
      result.mResponse.mTries = aRun.mAttempts.Tries();
      co_return std::move(result.mResponse);
    }
    KeepFailedResponse(aRun, result);
    if (step == CallStep::Fail) {
      deadlinePassed = result.mEnd == TryOutcome::TimedOut;
      break;
    }
    node.mMetrics.Count("upstream_retries_total");
    aRun.mRequirements.mPrefersKnown |= result.mEnd == TryOutcome::NotSent;
    aRun.mRequirements.mExcluded.push_back(*id);
  }
  if (aRun.mFailedResponse) {
    co_return std::move(*aRun.mFailedResponse);
  }
  if (aRun.mTicket.Active() && aRun.mAttempts.Run() == RunState::NotRun) {
    co_return aRun.mTicket.Refusal();
  }
  co_return aRun.mAttempts.Failure(deadlinePassed);
}

}  // namespace

RequestDigest DigestOf(const UpstreamCall& aCall) {
  return RequestDigest(PartsOf(aCall));
}

InFlightRequest::InFlightRequest(NodeContext& aNode, std::string aReplica,
                                 std::string aModel)
    : mNode(aNode),
      mReplica(std::move(aReplica)),
      mModel(std::move(aModel)),
      mStarted(aNode.Now()) {
  mNode.mReplicas.Start(mReplica, mModel);
  mNode.mReplicas.Sent(mReplica, mStarted);
}

InFlightRequest::~InFlightRequest() { End(ReplicaOutcome::Abandoned); }

void InFlightRequest::End(ReplicaOutcome aOutcome, bool aStream) {
  if (!mOpen) {
    return;
  }
  mOpen = false;
  const Millis now = mNode.Now();
  const Millis latency = aStream ? Millis(0) : now - mStarted;
  mNode.mReplicas.End(mReplica, aOutcome, latency, now, mModel);
}

asio::awaitable<Result<UpstreamResponse>> CallUpstream(NodeContext& aNode,
                                                       UpstreamCall aCall) {
  Result<AdmissionTicket> ticket = co_await Admit(aNode, aCall);
  if (!ticket) {
    co_return ticket.error();
  }
  CallRun run(aNode, std::move(aCall));
  run.mTicket = std::move(*ticket);
  Result<UpstreamResponse> answer = co_await Run(run);
  co_return answer;
}

}  // namespace rillwall
