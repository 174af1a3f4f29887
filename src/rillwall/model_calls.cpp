#include "model_calls.h"

#include "rillwall/log.h"
#include "rillwall/sse.h"

namespace rillwall {

namespace {

constexpr Millis kTick{20};
constexpr Millis kFirstChunkTimeout{10000};
constexpr Millis kChunkTimeout{4000};
constexpr int kMaxAttempts = 8;
constexpr Millis kRefusedPause{100};
constexpr int kOk = 200;
constexpr int kBusy = 503;

bool IsSet(const CancelFlag& aFlag) {
  return aFlag != nullptr && aFlag->load(std::memory_order_relaxed);
}

}  // namespace

/// A call between its engines.
struct ModelCalls::Running {
  ModelAnswer mAnswer;
  CancelFlag mPreempted;
  bool mReceiverGone = false;
  bool mWhole = false;
  RunState mRan = RunState::NotRun;  ///< whether an engine ran a part of it
};

ModelCalls::ModelCalls(Node& aNode, UpstreamKeeper& aUpstreams)
    : mNode(aNode), mUpstreams(aUpstreams) {}

void ModelCalls::Start() { mNode.SpawnControl(TickLoop()); }

asio::awaitable<void> ModelCalls::TickLoop() {
  while (true) {
    Apply(mNode.Calls().Tick(mNode.Now()));
    co_await Node::Sleep(kTick);
  }
}

void ModelCalls::Apply(std::vector<CallDecision> aDecisions) {
  for (CallDecision& decision : aDecisions) {
    if (decision.mAction == CallAction::Preempt) {
      const auto running = mPreempt.find(decision.mTicket);
      if (running != mPreempt.end()) {
        running->second->store(true, std::memory_order_relaxed);
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
    mPreempt.erase(aTicket);
    Apply(mNode.Calls().Finish(aTicket, aOutcome, mNode.Now()));
    return true;
  });
}

asio::awaitable<Result<ModelAnswer>> ModelCalls::Run(ModelRequest aRequest,
                                                     ChunkSink aSink) {
  Running running;
  int attempts = 0;
  while (true) {
    aRequest.mSpec.mTicket = mNextTicket.fetch_add(1);
    if (IsSet(aRequest.mCancel)) {
      co_return Error(ErrorKind::Superseded, "The call was cancelled.",
                      running.mRan);
    }
    const CallDecision decision = co_await Admit(aRequest.mSpec);
    const bool wait = aRequest.mSpec.mClass == CallClass::Training &&
                      mNode.Now() < aRequest.mSpec.mDeadline;
    if (decision.mAction == CallAction::Refuse && wait) {
      // Nobody waits for a single sample; what it has so far is kept. It comes
      // back as a first call: the retry budget grows with these only, and would
      // stay empty if every sample were a retry.
      aRequest.mSpec.mAvoid.clear();
      aRequest.mSpec.mRetry = false;
      co_await Node::Sleep(std::max(kRefusedPause, decision.mRetryAfter));
      continue;
    }
    if (decision.mAction == CallAction::Refuse) {
      co_return Error(decision.mReason, "No engine could take the call now.",
                      running.mRan)
          .WithRetryAfter(decision.mRetryAfter);
    }
    running.mPreempted = std::make_shared<std::atomic<bool>>(false);
    const CallOutcome outcome =
        co_await Stream(aRequest, decision, running, aSink);
    co_await Finish(decision.mTicket, outcome);
    if (running.mWhole) {
      co_return std::move(running.mAnswer);
    }
    if (running.mReceiverGone) {
      co_return Error(ErrorKind::ConnectionLost, "The caller has gone.",
                      RunState::Run);
    }
    aRequest.mSpec.mRetry = false;
    if (outcome == CallOutcome::Cancelled) {
      mNode.Meter().Add(Counter::Preemptions);
      continue;
    }
    aRequest.mSpec.mAvoid.push_back(decision.mUpstream);
    // A call that goes on from what it has repeats no work.
    aRequest.mSpec.mRetry = running.mAnswer.mLabel.Tokens() == 0;
    mNode.Meter().Add(Counter::UpstreamRetries);
    const bool last = ++attempts >= kMaxAttempts && !wait;
    if (last || mNode.Now() > aRequest.mSpec.mDeadline) {
      co_return Error(ErrorKind::UpstreamFailed,
                      "The engines tried could not finish the answer.",
                      running.mRan);
    }
  }
}

// Unique to one attempt, so that a late chunk of an earlier one is told apart.
std::string ModelCalls::AttemptId(const ModelRequest& aRequest) const {
  return aRequest.mCompletion.mRequestId + "#" + mNode.Settings().mNodeId +
         "-" + std::to_string(aRequest.mSpec.mTicket);
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> ModelCalls::OpenStream(
    const ModelRequest& aRequest, const UpstreamEntry& aEngine,
    const ModelAnswer& aSoFar) {
  EngineCompletion completion = aRequest.mCompletion;
  completion.mRequestId = AttemptId(aRequest);
  completion.mResumeText = aSoFar.mText;
  completion.mResumeTokens = aSoFar.mLabel.Tokens();
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
                                                Running& aRunning,
                                                const ChunkSink& aSink) {
  co_await mNode.OnControl([this, &aRunning, &aDecision] {
    mPreempt[aDecision.mTicket] = aRunning.mPreempted;
    return true;
  });
  const auto table = mNode.Upstreams().Read();
  const UpstreamEntry* engine = table->Find(aDecision.mUpstream);
  if (engine == nullptr) {
    co_return CallOutcome::Refused;
  }
  mNode.Meter().Add(Counter::UpstreamCalls);
  if (aRunning.mAnswer.mLabel.Tokens() > 0) {
    mNode.Meter().Add(Counter::UpstreamResumes);
  }
  Result<std::unique_ptr<HttpStream>> stream =
      co_await OpenStream(aRequest, *engine, aRunning.mAnswer);
  if (!stream) {
    const bool mayHaveRun = stream.error().Run() != RunState::NotRun;
    if (mayHaveRun && aRunning.mRan == RunState::NotRun) {
      aRunning.mRan = RunState::Unknown;
    }
    const bool timedOut = stream.error().Kind() == ErrorKind::Timeout;
    co_return timedOut ? CallOutcome::TimedOut : CallOutcome::Failed;
  }
  const int status = (*stream)->Head().mStatus;
  if (status != kOk) {
    // Only 503 says that nothing was run.
    if (status != kBusy && aRunning.mRan == RunState::NotRun) {
      aRunning.mRan = RunState::Unknown;
    }
    co_return status == kBusy ? CallOutcome::Refused : CallOutcome::Failed;
  }
  aRunning.mRan = RunState::Run;
  aRunning.mAnswer.mEngines.push_back(aDecision.mUpstream);
  co_return co_await ReadStream(**stream, aRequest, aDecision, aRunning, aSink);
}

asio::awaitable<CallOutcome> ModelCalls::ReadStream(
    HttpStream& aStream, const ModelRequest& aRequest,
    const CallDecision& aDecision, Running& aRunning, const ChunkSink& aSink) {
  SseParser events;
  const std::string attempt = AttemptId(aRequest);
  ModelAnswer& answer = aRunning.mAnswer;
  bool first = true;
  while (true) {
    const Result<std::string> part =
        co_await aStream.Read(first ? kFirstChunkTimeout : kChunkTimeout);
    if (!part) {
      const bool timedOut = part.error().Kind() == ErrorKind::Timeout;
      co_return timedOut ? CallOutcome::TimedOut : CallOutcome::Failed;
    }
    if (part->empty() || events.Feed(*part)) {
      // An end without the closing event: the answer is not whole.
      co_return CallOutcome::Failed;
    }
    int64_t tokens = 0;
    while (const std::optional<SseEvent> event = events.Next()) {
      if (event->mData == kSseDone) {
        aRunning.mWhole = !answer.mFinish.empty();
        co_return aRunning.mWhole ? CallOutcome::Done : CallOutcome::Failed;
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
      if (answer.mLabel.Tokens() == 0 && chunk->mTokens > 0) {
        answer.mFirstToken = mNode.Now();
      }
      answer.mText += chunk->mText;
      answer.mLabel.Append(chunk->mVersion, chunk->mTokens);
      answer.mFinish = chunk->mFinish;
      tokens += chunk->mTokens;
      if (aSink && !co_await aSink(*chunk)) {
        aRunning.mReceiverGone = true;
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
    if (IsSet(aRunning.mPreempted) || IsSet(aRequest.mCancel)) {
      co_return CallOutcome::Cancelled;
    }
  }
}

}  // namespace rillwall
