#include "rillwall/upstream_call.h"

#include <algorithm>

#include "crash_guard.h"
#include "rillwall/event_log.h"
#include "rillwall/request_digest.h"

namespace rillwall {

namespace {

/// An answer up to this size is taken in whole before its first byte is handed
/// on, so that a broken one can be replaced. Far over the plain answers of
/// today's users (5 KB), far under a small host's memory.
constexpr size_t kMaxWholeBody = 256 * 1024;
/// Shortest time that a try gets before another replica is tried.
constexpr Millis kMinTry{200};
/// Pause before replicas that refused are asked again.
constexpr Millis kRefusedPause{25};
constexpr int kMisdirected = 421;
constexpr int kFirstServerError = 500;

/// The state of one call.
struct CallRun {
  explicit CallRun(NodeContext& aNode, UpstreamCall aCall)
      : mNode(aNode),
        mCall(std::move(aCall)),
        mAttempts(mCall.mKind, mCall.mAttempts) {
    mRequirements.mService = mCall.mService;
    mRequirements.mZone = mNode.mIdentity.mZone;
    mRequirements.mRegions = mCall.mRegions;
  }

  NodeContext& mNode;
  const UpstreamCall mCall;
  CallAttempts mAttempts;
  ReplicaRequirements mRequirements;
  std::optional<UpstreamResponse> mFailedAnswer;  ///< best of the failed ones
  bool mCounted = false;  ///< it has begun to run at some replica
  std::optional<RequestDigest> mDigest;  ///< once it is needed
};

RequestParts PartsOf(const UpstreamCall& aCall) {
  const HttpRequest& request = aCall.mRequest;
  const std::string* host = request.Find("Host");
  return {request.mMethod, host == nullptr ? std::string_view() : *host,
          request.mTarget, aCall.mAccount, request.mBody};
}

/// \return what the request is, whoever sends it again
const RequestDigest& DigestOf(CallRun& aRun) {
  if (!aRun.mDigest) {
    aRun.mDigest.emplace(PartsOf(aRun.mCall));
  }
  return *aRun.mDigest;
}

/// A call that ends replicas is held by all hosts: what is known of it must not
/// end with this attempt, or each one would end as many replicas again.
std::optional<Error> RefusalOf(CallRun& aRun) {
  const NodeContext& node = aRun.mNode;
  return node.mCrashes.HasSuspects() ? RefusalIfHeld(node, DigestOf(aRun))
                                     : std::nullopt;
}

/// Counts a request for its account, once and by the time at which it was
/// first sent to a replica that ran it. Also if the client leaves meanwhile.
class RunCount {
 public:
  explicit RunCount(CallRun& aRun)
      : mRun(aRun), mSentMs(aRun.mNode.mTimeOfDay()) {}
  ~RunCount() {
    if (mMayRun && !mRun.mCounted) {
      mRun.mCounted = true;
      mRun.mNode.mUsage.Count(mRun.mCall.mAccount, mSentMs);
    }
  }
  RunCount(const RunCount&) = delete;
  RunCount& operator=(const RunCount&) = delete;
  /// The replica has certainly not run it.
  void NotRun() { mMayRun = false; }

 private:
  CallRun& mRun;
  const int64_t mSentMs;
  bool mMayRun = true;
};

/// How one try ended.
struct TryResult {
  TryOutcome mEnd = TryOutcome::NotSent;
  UpstreamResponse mAnswer;
  std::string mWhy;
  bool mClosed = false;  ///< the replica closed the connection
  bool mEnded = false;   ///< its process has ended since
};

/// \return whether an answer shows that its replica lives through the request.
/// The head of a stream does not; nor does an error: a replica whose time is up
/// answers too, and would have ended later.
bool LivedThrough(const CallRun& aRun, const TryResult& aResult) {
  return aResult.mEnd == TryOutcome::Answered &&
         aRun.mCall.mKind != RequestKind::Streaming &&
         aResult.mAnswer.mHead.mStatus < kFirstServerError;
}

/// Keeps what a try has shown of the request.
asio::awaitable<void> LearnFrom(CallRun& aRun, const Replica& aReplica,
                                TryResult& aResult) {
  NodeContext& node = aRun.mNode;
  const UpstreamCall& call = aRun.mCall;
  if (aResult.mEnd == TryOutcome::Lost && aResult.mClosed) {
    aResult.mEnded =
        co_await BlameIfEnded(node, DigestOf(aRun), aReplica, call.mId,
                              DescribeRequest(PartsOf(call)));
  }
  if (node.mCrashes.HasSuspects() && LivedThrough(aRun, aResult)) {
    ClearRequest(node, DigestOf(aRun), call.mId);
  }
}

/// \return whether the request may be tried at another replica after this one
bool MayGoOn(CallRun& aRun, const TryResult& aResult) {
  return !aResult.mEnded || aRun.mNode.mCrashes.Crashes(DigestOf(aRun)) <
                                CrashTable::kCrashesToStopRetries;
}

HttpRequest Prepare(const CallRun& aRun, const std::string& aReplica,
                    Millis aLeft) {
  HttpRequest request = aRun.mCall.mRequest;
  const HeaderNames& names = aRun.mNode.mHeaders;
  request.mHeaders.push_back({names.mExpectReplica, aReplica});
  request.mHeaders.push_back({names.mTimeLeft, std::to_string(aLeft.Count())});
  return request;
}

/// The time that this try gets.
Millis TryLimit(const CallRun& aRun, Millis aLeft) {
  if (!aRun.mAttempts.MayAbandonTry()) {
    return aLeft;
  }
  return std::min(aLeft, std::max(kMinTry, aRun.mCall.mTargetLatency));
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

/// \return whether an answer belongs to this call
bool Ours(const CallRun& aRun, const HttpResponse& aHead) {
  const std::string* id = aHead.Find(aRun.mNode.mHeaders.mRequestId);
  if (id == nullptr) {
    // Replicas echo the identity; a refusal may come before it was read.
    return aHead.Find(aRun.mNode.mHeaders.mNotRun) != nullptr ||
           aHead.mStatus == kMisdirected;
  }
  return *id == aRun.mCall.mId;
}

bool Refusal(const CallRun& aRun, const HttpResponse& aHead) {
  return aHead.mStatus == kMisdirected ||
         aHead.Find(aRun.mNode.mHeaders.mNotRun) != nullptr;
}

/// Reads an answer's body, up to the size that is kept whole.
asio::awaitable<TryResult> ReadAnswer(std::unique_ptr<HttpStream> aStream,
                                      Millis aDue, NodeContext& aNode) {
  TryResult result;
  result.mEnd = TryOutcome::Answered;
  result.mAnswer.mHead = aStream->Head();
  std::string& body = result.mAnswer.mHead.mBody;
  while (body.size() < kMaxWholeBody) {
    const Millis left = std::max(Millis(1), aDue - aNode.Now());
    Result<std::string> part = co_await aStream->Read(left);
    if (!part) {
      result.mEnd = part.error().Kind() == ErrorKind::Timeout
                        ? TryOutcome::TimedOut
                        : TryOutcome::Lost;
      result.mWhy = part.error().Detail();
      result.mClosed = part.error().Kind() == ErrorKind::ConnectionLost;
      co_return result;
    }
    if (part->empty()) {
      co_return result;
    }
    body += *part;
  }
  result.mAnswer.mRest = std::move(aStream);
  co_return result;
}

/// A stream as its replica sends it, whose end shows whether the request has
/// ended the replica.
class WatchedStream final : public HttpStream {
 public:
  WatchedStream(CallRun& aRun, const Replica& aReplica,
                std::unique_ptr<HttpStream> aStream)
      : mNode(aRun.mNode),
        mId(aRun.mCall.mId),
        mDigest(DigestOf(aRun)),
        mWhat(DescribeRequest(PartsOf(aRun.mCall))),
        mReplica(aReplica),
        mStream(std::move(aStream)) {}
  const HttpResponse& Head() const override { return mStream->Head(); }
  void Abort() override { mStream->Abort(); }
  asio::awaitable<Result<std::string>> Read(Millis aWait) override {
    Result<std::string> part = co_await mStream->Read(aWait);
    if (part && part->empty() && Head().mStatus < kFirstServerError) {
      ClearRequest(mNode, mDigest, mId);
    }
    if (!part && part.error().Kind() == ErrorKind::ConnectionLost) {
      co_await BlameIfEnded(mNode, mDigest, mReplica, mId, mWhat);
    }
    co_return part;
  }

 private:
  NodeContext& mNode;
  const std::string mId;
  const RequestDigest mDigest;
  const std::string mWhat;
  const Replica mReplica;
  const std::unique_ptr<HttpStream> mStream;
};

asio::awaitable<TryResult> TryOnce(CallRun& aRun, const Replica& aReplica) {
  NodeContext& node = aRun.mNode;
  const Millis left = aRun.mCall.mDeadline - node.Now();
  const Millis limit = TryLimit(aRun, left);
  const Millis due = node.Now() + limit;
  TryResult result;
  const Result<Endpoint> endpoint = Endpoint::Parse(aReplica.mAddress);
  if (!endpoint) {
    result.mWhy = endpoint.error().Detail();
    co_return result;
  }
  HttpRequest request = Prepare(aRun, aReplica.mId, left);
  Result<std::unique_ptr<HttpStream>> opened =
      co_await node.mClient.Open(*endpoint, std::move(request), limit);
  if (!opened) {
    result.mEnd = EndOf(opened.error());
    result.mWhy = opened.error().Detail();
    result.mClosed = opened.error().Kind() == ErrorKind::ConnectionLost;
    co_return result;
  }
  std::unique_ptr<HttpStream> stream = std::move(*opened);
  const HttpResponse& head = stream->Head();
  if (!Ours(aRun, head)) {
    result.mEnd = TryOutcome::Lost;
    result.mWhy = "the answer belongs to another request";
    co_return result;
  }
  ObserveLoad(node, aReplica.mId, head);
  if (Refusal(aRun, head)) {
    result.mEnd = TryOutcome::Refused;
    result.mWhy = "refused with status " + std::to_string(head.mStatus);
    co_return result;
  }
  if (aRun.mCall.mKind == RequestKind::Streaming) {
    result.mEnd = TryOutcome::Answered;
    result.mAnswer.mHead = head;
    result.mAnswer.mRest =
        std::make_unique<WatchedStream>(aRun, aReplica, std::move(stream));
    co_return result;
  }
  co_return co_await ReadAnswer(std::move(stream), due, node);
}

/// \return the digest in a try's log line: of requests that may have run and
/// were not answered, so that it can be seen which of them ask for the same
std::string LoggedDigest(CallRun& aRun, const TryResult& aResult) {
  const bool lost =
      aResult.mEnd == TryOutcome::Lost || aResult.mEnd == TryOutcome::TimedOut;
  return lost ? DigestOf(aRun).Text() : std::string();
}

void LogTry(CallRun& aRun, const std::string& aReplica,
            const TryResult& aResult, CallStep aStep) {
  const bool delivered = aStep == CallStep::Deliver;
  Event(delivered ? "answered" : "try-failed")
      .Id(aRun.mCall.mId)
      .Text("replica", aReplica)
      .Number("try", aRun.mAttempts.Tries())
      .Number("status", aResult.mAnswer.mHead.mStatus)
      .Number("left_ms", (aRun.mCall.mDeadline - aRun.mNode.Now()).Count())
      .Text("why", aResult.mWhy)
      .Text("request", LoggedDigest(aRun, aResult))
      .Flag("replica_ended", aResult.mEnded)
      .Text("next", aStep == CallStep::Retry ? "retry"
                    : delivered              ? "deliver"
                                             : "fail")
      .Write();
}

/// Keeps a replica's own failure, in case no other replica does better.
void KeepFailure(CallRun& aRun, TryResult& aResult) {
  if (aResult.mEnd == TryOutcome::Answered) {
    aRun.mFailedAnswer = std::move(aResult.mAnswer);
  }
}

asio::awaitable<Result<UpstreamResponse>> Run(CallRun& aRun) {
  NodeContext& node = aRun.mNode;
  bool timeIsUp = false;
  while (true) {
    const bool cancelled = co_await Cancelled();
    timeIsUp = node.Now() >= aRun.mCall.mDeadline;
    if (timeIsUp || cancelled) {
      break;
    }
    std::optional<Error> held = RefusalOf(aRun);
    if (held && aRun.mAttempts.Run() == RunState::NotRun) {
      co_return std::move(*held);
    }
    if (held) {
      break;
    }
    const std::optional<std::string> id =
        node.mReplicas.Choose(aRun.mRequirements, node.Now());
    if (!id) {
      if (aRun.mRequirements.mExcluded.empty()) {
        break;
      }
      aRun.mRequirements.mExcluded.clear();
      co_await Sleep(node.mIo, kRefusedPause);
      continue;
    }
    const Replica replica = *node.mReplicas.Find(*id);
    InFlightRequest use(node, *id);
    RunCount count(aRun);
    TryResult result = co_await TryOnce(aRun, replica);
    if (result.mEnd == TryOutcome::NotSent ||
        result.mEnd == TryOutcome::Refused) {
      count.NotRun();
    }
    use.End(OutcomeOf(result.mEnd));
    co_await LearnFrom(aRun, replica, result);
    const int status = result.mAnswer.mHead.mStatus;
    CallStep step = aRun.mAttempts.RecordTry(result.mEnd, status);
    if (step == CallStep::Retry && !MayGoOn(aRun, result)) {
      step = CallStep::Fail;
    }
    LogTry(aRun, *id, result, step);
    if (step == CallStep::Deliver) {
      result.mAnswer.mReplica = *id;
      result.mAnswer.mTries = aRun.mAttempts.Tries();
      co_return std::move(result.mAnswer);
    }
    KeepFailure(aRun, result);
    if (step == CallStep::Fail) {
      timeIsUp = result.mEnd == TryOutcome::TimedOut;
      break;
    }
    node.mMetrics.Count("upstream_retries_total");
    aRun.mRequirements.mExcluded.push_back(*id);
  }
  if (aRun.mFailedAnswer) {
    co_return std::move(*aRun.mFailedAnswer);
  }
  co_return aRun.mAttempts.Failure(timeIsUp);
}

}  // namespace

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
  CallRun run(aNode, std::move(aCall));
  Result<UpstreamResponse> answer = co_await Run(run);
  co_return answer;
}

}  // namespace rillwall
