#include "model_calls.h"

#include "rillwall/log.h"
#include "rillwall/sse.h"

namespace rillwall {

namespace {

constexpr Millis kTickPeriod{20};
constexpr Millis kFirstChunkTimeout{10000};
constexpr Millis kChunkTimeout{4000};
constexpr int kMaxAttempts = 8;
constexpr Millis kRefusalPause{100};
/// Largest text of an answer, in bytes. The most tokens that a caller may ask
/// for have some 5 MB.
constexpr size_t kMaxTextBytes = 16 * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

bool IsSet(const CancelFlag& aFlag) {
  return aFlag != nullptr && aFlag->load(std::memory_order_relaxed);
}

/// \return whether an answer may go on with a chunk: an engine that never ends
/// would otherwise take the memory of this node
bool Fits(const ModelAnswer& aAnswer, const ModelChunk& aChunk,
          int64_t aMaxTokens) {
  return aChunk.mTokens <= aMaxTokens - aAnswer.mLabel.Tokens() &&
         aChunk.mText.size() + aAnswer.mText.size() <= kMaxTextBytes;
}

}  // namespace

/// Progress of a call across its attempts.
struct ModelCalls::CallState {
  ModelAnswer mAnswer;
  CancelFlag mPreempted;
  bool mReceiverGone = false;
  bool mComplete = false;
  /// Whether an engine ran a part of the call.
  RunState mRunState = RunState::NotRun;
};

ModelCalls::ModelCalls(Node& aNode, UpstreamKeeper& aUpstreams)
    : mNode(aNode), mUpstreams(aUpstreams) {}

void ModelCalls::Start() { mNode.SpawnControl(TickLoop()); }

asio::awaitable<void> ModelCalls::TickLoop() {
  while (true) {
    Apply(mNode.Calls().Tick(mNode.Now()));
    co_await Node::Sleep(kTickPeriod);
  }
}

void ModelCalls::Apply(std::vector<CallDecision> aDecisions) {
  for (CallDecision& decision : aDecisions) {
    if (decision.mAction == CallAction::Preempt) {
      const auto state = mPreemptFlags.find(decision.mTicket);
      if (state != mPreemptFlags.end()) {
        state->second->store(true, std::memory_order_relaxed);
      }
      continue;
    }
    const auto waiting = mWaiting.find(decision.mTicket);
    if (waiting == mWaiting.end()) {
      continue;
    }
    waiting->second->try_send(boost::system::error_code(), decision);
    mWaiting.erase(waiting);
  }
}

asio::awaitable<CallDecision> ModelCalls::Admit(CallSpec aSpec) {
  auto channel = std::make_shared<DecisionChannel>(mNode.Context(), 1);
  co_await mNode.OnControl([&] {
    mWaiting[aSpec.mTicket] = channel;
    Apply(mNode.Calls().Submit(aSpec, mNode.Now()));
    return true;
  });
  co_return co_await channel->async_receive(asio::use_awaitable);
}

asio::awaitable<void> ModelCalls::Finish(uint64_t aTicket,
                                         CallOutcome aOutcome) {
  co_await mNode.OnControl([this, aTicket, aOutcome] {
    mPreemptFlags.erase(aTicket);
    Apply(mNode.Calls().Finish(aTicket, aOutcome, mNode.Now()));
    return true;
  });
}

asio::awaitable<Result<ModelAnswer>> ModelCalls::Run(ModelRequest aRequest,
                                                     ChunkSink aSink) {
  CallState state;
  int attempts = 0;
  while (true) {
    aRequest.mSpec.mTicket = mNextTicket.fetch_add(1);
    if (IsSet(aRequest.mCancel)) {
      co_return Error(ErrorKind::Superseded, "The call was cancelled.",
                      state.mRunState);
    }
    const CallDecision decision = co_await Admit(aRequest.mSpec);
    const bool canWait = aRequest.mSpec.mClass == CallClass::Training &&
                         mNode.Now() < aRequest.mSpec.mDeadline;
    if (decision.mAction == CallAction::Refuse && canWait) {
      // A training sample has no caller who waits for it, so it tries again
      // later and keeps the text generated so far. It is submitted as a first
      // call and not as a retry: only first calls add to the retry budget,
      // which would stay empty if every sample were a retry.
      aRequest.mSpec.mAvoid.clear();
      aRequest.mSpec.mRetry = false;
      co_await Node::Sleep(std::max(kRefusalPause, decision.mRetryAfter));
      continue;
    }
    if (decision.mAction == CallAction::Refuse) {
      co_return Error(decision.mReason, "No engine could take the call now.",
                      state.mRunState)
          .WithRetryAfter(decision.mRetryAfter);
    }
    state.mPreempted = std::make_shared<std::atomic<bool>>(false);
    const CallOutcome outcome =
        co_await Stream(aRequest, decision, state, aSink);
    co_await Finish(decision.mTicket, outcome);
    if (state.mComplete) {
      co_return std::move(state.mAnswer);
    }
    if (state.mReceiverGone) {
      co_return Error(ErrorKind::ConnectionLost,
                      "The caller closed the connection.", RunState::Run);
    }
    aRequest.mSpec.mRetry = false;
    if (outcome == CallOutcome::Cancelled) {
      mNode.Meter().Add(Counter::Preemptions);
      continue;
    }
    aRequest.mSpec.mAvoid.push_back(decision.mUpstream);
    // Resuming a partial answer repeats no work, so it is not a retry.
    aRequest.mSpec.mRetry = state.mAnswer.mLabel.Tokens() == 0;
    mNode.Meter().Add(Counter::UpstreamRetries);
    const bool lastAttempt = ++attempts >= kMaxAttempts && !canWait;
    if (lastAttempt || mNode.Now() > aRequest.mSpec.mDeadline) {
      co_return Error(ErrorKind::UpstreamFailed,
                      "All attempts at engines failed to complete the answer.",
                      state.mRunState);
    }
  }
}

// Unique to each attempt, so that a late chunk of an earlier attempt is
// recognized.
std::string ModelCalls::AttemptId(const ModelRequest& aRequest) const {
  return aRequest.mCompletion.mRequestId + "#" + mNode.Settings().mNodeId +
         "-" + std::to_string(aRequest.mSpec.mTicket);
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> ModelCalls::OpenStream(
    const ModelRequest& aRequest, const UpstreamEntry& aEngine,
    const ModelAnswer& aReceived) {
  EngineCompletion completion = aRequest.mCompletion;
  completion.mRequestId = AttemptId(aRequest);
  completion.mResumeText = aReceived.mText;
  completion.mResumeTokens = aReceived.mLabel.Tokens();
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/completions";
  request.mHeaders.push_back({"Content-Type", "application/json"});
  request.mHeaders.push_back({"Rillwall-Request", completion.mRequestId});
  request.mBody = EncodeCompletion(completion);
  co_return co_await mNode.Http().Open(aEngine.mEndpoint, std::move(request),
                                       kFirstChunkTimeout);
}

asio::awaitable<CallOutcome> ModelCalls::Stream(const ModelRequest& aRequest,
                                                const CallDecision& aDecision,
                                                CallState& aState,
                                                const ChunkSink& aSink) {
  co_await mNode.OnControl([this, &aState, &aDecision] {
    mPreemptFlags[aDecision.mTicket] = aState.mPreempted;
    return true;
  });
  const auto table = mNode.Upstreams().Read();
  const UpstreamEntry* engine = table->Find(aDecision.mUpstream);
  if (engine == nullptr) {
    co_return CallOutcome::Refused;
  }
  mNode.Meter().Add(Counter::UpstreamCalls);
  if (aState.mAnswer.mLabel.Tokens() > 0) {
    mNode.Meter().Add(Counter::UpstreamResumes);
  }
  Result<std::unique_ptr<HttpStream>> stream =
      co_await OpenStream(aRequest, *engine, aState.mAnswer);
  if (!stream) {
    const bool mayHaveRun = stream.error().Run() != RunState::NotRun;
    if (mayHaveRun && aState.mRunState == RunState::NotRun) {
      aState.mRunState = RunState::Unknown;
    }
    const bool timedOut = stream.error().Kind() == ErrorKind::Timeout;
    co_return timedOut ? CallOutcome::TimedOut : CallOutcome::Failed;
  }
  const int status = (*stream)->Head().mStatus;
  if (status != kOk) {
    // Only status 503 guarantees that the engine ran nothing.
    if (status != kServiceUnavailable && aState.mRunState == RunState::NotRun) {
      aState.mRunState = RunState::Unknown;
    }
    co_return status == kServiceUnavailable ? CallOutcome::Refused
                                            : CallOutcome::Failed;
  }
  aState.mRunState = RunState::Run;
  aState.mAnswer.mEngines.push_back(aDecision.mUpstream);
  co_return co_await ReadStream(**stream, aRequest, aDecision, aState, aSink);
}

asio::awaitable<CallOutcome> ModelCalls::ReadStream(
    HttpStream& aStream, const ModelRequest& aRequest,
    const CallDecision& aDecision, CallState& aState, const ChunkSink& aSink) {
  SseParser events;
  const std::string attempt = AttemptId(aRequest);
  ModelAnswer& answer = aState.mAnswer;
  bool first = true;
  while (true) {
    const Result<std::string> part =
        co_await aStream.Read(first ? kFirstChunkTimeout : kChunkTimeout);
    if (!part) {
      const bool timedOut = part.error().Kind() == ErrorKind::Timeout;
      co_return timedOut ? CallOutcome::TimedOut : CallOutcome::Failed;
    }
    if (part->empty() || events.Feed(*part)) {
      // The stream is malformed, or ended without the closing event: the answer
      // is incomplete.
      co_return CallOutcome::Failed;
    }
    int64_t tokens = 0;
    while (const std::optional<SseEvent> event = events.Next()) {
      if (event->mData == kSseDone) {
        aState.mComplete = !answer.mFinish.empty();
        co_return aState.mComplete ? CallOutcome::Done : CallOutcome::Failed;
      }
      const Result<ModelChunk> chunk = ParseChunk(event->mData);
      if (!chunk) {
        co_return CallOutcome::Failed;
      }
      mNode.Meter().Add(Counter::ChecksOwnAnswer);
      if (chunk->mId != attempt) {
        Log(Part::Call)
            .Request(aRequest.mCompletion.mRequestId)
            .Warn("Engine " + aDecision.mUpstream +
                  " sent a chunk of another request; the stream is dropped.");
        co_return CallOutcome::Failed;
      }
      if (!Fits(answer, *chunk, aRequest.mCompletion.mMaxTokens)) {
        Log(Part::Call)
            .Request(aRequest.mCompletion.mRequestId)
            .Warn("Engine " + aDecision.mUpstream +
                  " sent more than was asked for; the stream is dropped.");
        co_return CallOutcome::Failed;
      }
      if (answer.mLabel.Tokens() == 0 && chunk->mTokens > 0) {
        answer.mFirstToken = mNode.Now();
      }
      answer.mText += chunk->mText;
      answer.mLabel.Append(chunk->mVersion, chunk->mTokens);
      answer.mFinish = chunk->mFinish;
      tokens += chunk->mTokens;
      if (aSink && !co_await aSink(*chunk)) {
        aState.mReceiverGone = true;
        co_return CallOutcome::Cancelled;
      }
    }
    mNode.Meter().Add(Counter::TokensGenerated, tokens);
    asio::post(mNode.Control(),
               [this, ticket = aDecision.mTicket, first, tokens] {
                 if (first) {
                   mNode.Calls().FirstToken(ticket, mNode.Now());
                 }
                 mNode.Calls().Progress(ticket, tokens, mNode.Now());
               });
    first = false;
    if (IsSet(aState.mPreempted) || IsSet(aRequest.mCancel)) {
      co_return CallOutcome::Cancelled;
    }
  }
}

}  // namespace rillwall
