#include "rillwall/request_gate.h"

#include <algorithm>
#include <functional>

#include "rillwall/event_log.h"
#include "rillwall/load_probe.h"

namespace rillwall {

namespace {

/// Longest wait for fresh figures before a decision: a few network round trips,
/// and a small part of the shortest target latencies (150 ms).
constexpr Millis kProbeLimit{5};
/// Time between two looks at the figures while calls wait. A call waits for a
/// quarter of its target latency at most, 37 ms for most clients.
constexpr Millis kPumpInterval{10};
/// Priorities above this share a label in metrics.
constexpr int kMaxPriorityLabel = 9;

const char* ActionName(AdmissionAction aAction) {
  switch (aAction) {
    case AdmissionAction::Send:
      return "send";
    case AdmissionAction::Wait:
      return "wait";
    case AdmissionAction::Refuse:
      return "refuse";
  }
  return "refuse";
}

/// \param aRoute route whose usual work time is expected; may be empty
ReplicaRequirements RequirementsOf(const NodeContext& aNode,
                                   const std::string& aService,
                                   const AllowedRegions& aRegions,
                                   const std::string& aRoute) {
  ReplicaRequirements requirements;
  requirements.mRoute = aRoute;
  requirements.mService = aService;
  requirements.mZone = aNode.mIdentity.mZone;
  requirements.mRegions = aRegions;
  return requirements;
}

}  // namespace

/// A call on its way through the gate.
struct AdmissionTicket::State {
  enum class Phase { Refused, Waiting, Admitted };

  State(std::shared_ptr<RequestGate> aGate, asio::io_context& aIo)
      : mGate(std::move(aGate)), mTimer(aIo) {}
  ~State() {
    AdmissionControl& control = mGate->mControl;
    if (mPhase == Phase::Waiting) {
      mGate->mWaiting.erase(mCall.mTicket);
      control.Abandon(mCall);
    }
    if (mPhase == Phase::Admitted) {
      MarkSent();
      control.Ended(mCall, mGate->mNode.Now() - mAdmittedAt);
      mGate->StartWaiting(mCall.mService);
    }
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Admitted() {
    mPhase = Phase::Admitted;
    mAdmittedAt = mGate->mNode.Now();
  }
  void MarkSent() {
    if (!mSent) {
      mSent = true;
      mGate->mControl.Sent(mCall);
    }
  }

  std::shared_ptr<RequestGate> mGate;
  asio::steady_timer mTimer;  ///< runs while the call waits
  std::string mId;
  AdmissionCall mCall;
  AllowedRegions mRegions;
  std::string mRoute;
  Phase mPhase = Phase::Refused;
  bool mSent = false;
  Millis mAdmittedAt;
};

AdmissionTicket::AdmissionTicket() = default;
AdmissionTicket::~AdmissionTicket() = default;
AdmissionTicket::AdmissionTicket(AdmissionTicket&&) noexcept = default;
AdmissionTicket& AdmissionTicket::operator=(AdmissionTicket&&) noexcept =
    default;

void AdmissionTicket::Sent() {
  if (mState) {
    mState->MarkSent();
    mState->mGate->StartWaiting(mState->mCall.mService);
  }
}

bool AdmissionTicket::RefusedByReplica() {
  return !mState || mState->mGate->mControl.RefusedByReplica(
                        mState->mCall, mState->mGate->mNode.Now());
}

bool AdmissionTicket::MaySend(const ReplicaRequirements& aRequirements) const {
  if (!mState) {
    return true;
  }
  const NodeContext& node = mState->mGate->mNode;
  return mState->mGate->mControl.MaySend(
      mState->mCall, node.mReplicas.EstimateAnswer(aRequirements, node.Now()),
      node.Now());
}

Error AdmissionTicket::Refusal() {
  return mState->mGate->Refuse(*mState, AdmissionReason::TooLate);
}

RequestGate::RequestGate(NodeContext& aNode)
    : mNode(aNode), mControl(std::hash<std::string>()(aNode.mIdentity.mName)) {}

std::optional<AnswerEstimate> RequestGate::Estimate(
    const std::string& aService, const AllowedRegions& aRegions,
    const std::string& aRoute) const {
  return mNode.mReplicas.EstimateAnswer(
      RequirementsOf(mNode, aService, aRegions, aRoute), mNode.Now());
}

void RequestGate::Report(const TicketState& aState,
                         const AdmissionDecision& aDecision,
                         const std::optional<AnswerEstimate>& aEstimate) {
  const AdmissionCall& call = aState.mCall;
  const AnswerEstimate figures = aEstimate.value_or(AnswerEstimate());
  const size_t waiting = mControl.Waiting(call.mService);
  Event("admission")
      .Bounded(true)
      .Id(aState.mId)
      .Text("service", call.mService)
      .Text("account", call.mAccount)
      .Number("priority", call.mPriority)
      .Text("action", ActionName(aDecision.mAction))
      .Text("why", AdmissionReasonName(aDecision.mReason))
      .Flag("known", aEstimate.has_value())
      .Number("expected_ms", figures.mExpected.Count())
      .Number("wait_ms", figures.mWait.Count())
      .Number("age_ms", figures.mAge.Count())
      .Number("free_slots", figures.mFreeSlots)
      .Number("waiting", static_cast<int64_t>(waiting))
      .Number("left_ms", (call.mDeadline - mNode.Now()).Count())
      .Number("retry_after_ms", aDecision.mRetryAfter.Count())
      .Write();
  const int priority = std::clamp(call.mPriority, 0, kMaxPriorityLabel);
  mNode.mMetrics.Count("admission_total",
                       std::string("action=\"") +
                           ActionName(aDecision.mAction) + "\",reason=\"" +
                           AdmissionReasonName(aDecision.mReason) +
                           "\",priority=\"" + std::to_string(priority) + "\"");
  int64_t promised = 0;
  int64_t kept = 0;
  int64_t free = 0;
  int64_t queued = 0;
  for (const AdmissionCounts& counts : mControl.Services()) {
    promised += static_cast<int64_t>(counts.mPromised);
    kept += static_cast<int64_t>(counts.mKept);
    free += counts.mFreeSlots;
    queued += static_cast<int64_t>(counts.mWaiting);
  }
  mNode.mMetrics.Set("admission_returns_promised", promised);
  mNode.mMetrics.Set("admission_returns_kept", kept);
  mNode.mMetrics.Set("admission_free_slots", free);
  mNode.mMetrics.Set("admission_waiting", queued);
}

Error RequestGate::Refuse(TicketState& aState, AdmissionReason aReason) {
  const auto estimate =
      Estimate(aState.mCall.mService, aState.mRegions, aState.mRoute);
  const AdmissionDecision decision =
      mControl.Refuse(aState.mCall, aReason, estimate, mNode.Now());
  Report(aState, decision, estimate);
  return Error(ErrorKind::Overloaded,
               "The service has no capacity to answer the request in time; it "
               "was not run.",
               RunState::NotRun)
      .WithRetryAfter(decision.mRetryAfter);
}

void RequestGate::StartWaiting(const std::string& aService) {
  while (mControl.Waiting(aService) > 0) {
    const std::optional<uint64_t> ticket =
        mControl.StartNext(aService, Estimate(aService, {}, {}), mNode.Now());
    if (!ticket) {
      return;
    }
    TicketState& state = *mWaiting.at(*ticket);
    mWaiting.erase(*ticket);
    state.Admitted();
    state.mTimer.cancel();
  }
}

asio::awaitable<void> RequestGate::Pump(std::string aService) {
  const std::shared_ptr<RequestGate> self = shared_from_this();
  ReplicaRequirements requirements = RequirementsOf(mNode, aService, {}, {});
  while (mControl.Waiting(aService) > 0) {
    co_await Sleep(mNode.mIo, kPumpInterval);
    const bool clients =
        std::any_of(mWaiting.begin(), mWaiting.end(), [&](const auto& aEntry) {
          const AdmissionCall& call = aEntry.second->mCall;
          return call.mService == aService && !call.mDelayOnly;
        });
    if (clients) {
      FindConnected(mNode, requirements);
      co_await RefreshLoad(mNode, requirements, kProbeLimit);
    }
    StartWaiting(aService);
  }
  mPumped.erase(aService);
}

asio::awaitable<Result<AdmissionTicket>> RequestGate::Admit(
    const UpstreamCall& aCall) {
  AdmissionTicket ticket;
  ticket.mState = std::make_unique<TicketState>(shared_from_this(), mNode.mIo);
  TicketState& state = *ticket.mState;
  const Millis arrived = mNode.Now();
  state.mId = aCall.mId;
  state.mRegions = aCall.mRegions;
  state.mRoute = aCall.mRoute;
  state.mCall = {.mTicket = ++mLastTicket,
                 .mService = aCall.mService,
                 .mAccount = aCall.mAccount,
                 .mPriority = aCall.mPriority,
                 .mTargetLatency = aCall.mTargetLatency,
                 .mTimeout = aCall.mTimeout,
                 .mArrived = arrived,
                 .mDeadline = aCall.mDeadline,
                 .mDelayOnly = aCall.mDelayOnly};
  if (aCall.mProbes) {
    ReplicaRequirements requirements =
        RequirementsOf(mNode, aCall.mService, aCall.mRegions, aCall.mRoute);
    FindConnected(mNode, requirements);
    co_await RefreshLoad(mNode, requirements, kProbeLimit);
  }
  const auto estimate = Estimate(aCall.mService, aCall.mRegions, aCall.mRoute);
  const AdmissionDecision decision =
      mControl.Arrive(state.mCall, estimate, mNode.Now());
  if (decision.mAction == AdmissionAction::Refuse) {
    Report(state, decision, estimate);
    co_return Error(ErrorKind::Overloaded,
                    "The service has no capacity to answer the request in "
                    "time; it was not run.",
                    RunState::NotRun)
        .WithRetryAfter(decision.mRetryAfter);
  }
  Report(state, decision, estimate);
  if (decision.mAction == AdmissionAction::Send) {
    state.Admitted();
    co_return std::move(ticket);
  }
  state.mPhase = TicketState::Phase::Waiting;
  mWaiting[state.mCall.mTicket] = &state;
  if (mPumped.insert(aCall.mService).second) {
    Launch(mNode.mIo, "admission", Pump(aCall.mService));
  }
  const Millis left = decision.mWaitUntil - mNode.Now();
  co_await WaitOnTimer(state.mTimer, left);
  if (state.mPhase == TicketState::Phase::Admitted) {
    co_return std::move(ticket);
  }
  mWaiting.erase(state.mCall.mTicket);
  state.mPhase = TicketState::Phase::Refused;
  co_return Refuse(state, AdmissionReason::Waited);
}

asio::awaitable<Result<AdmissionTicket>> Admit(NodeContext& aNode,
                                               const UpstreamCall& aCall) {
  if (!aNode.mReplicas.UsesCurrentLoad(aCall.mService)) {
    co_return AdmissionTicket();
  }
  if (!aNode.mGate) {
    aNode.mGate = std::make_shared<RequestGate>(aNode);
  }
  const std::shared_ptr<RequestGate> gate = aNode.mGate;
  Result<AdmissionTicket> ticket = co_await gate->Admit(aCall);
  co_return ticket;
}

}  // namespace rillwall
