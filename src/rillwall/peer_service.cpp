#include "peer_service.h"

#include "rillwall/wire_convert.h"

namespace rillwall {

namespace {

wire::PeerReply EmptyReply() {
  wire::PeerReply reply;
  reply.mutable_empty();
  return reply;
}

const wire::StepId* NoStep(const wire::PeerRequest&) { return nullptr; }

}  // namespace

PeerService::PeerService(Node& aNode, GossipLoop& aGossip,
                         PolicyKeeper& aPolicies, StepOwner& aSteps,
                         GroupRunner& aRunner)
    : mNode(aNode),
      mGossip(aGossip),
      mPolicies(aPolicies),
      mSteps(aSteps),
      mRunner(aRunner) {}

const std::vector<PeerService::Kind>& PeerService::Kinds() {
  using Request = wire::PeerRequest;
  static const std::vector<Kind> kKinds = {
      {Request::kExchange, &PeerService::Exchange, &NoStep},
      {Request::kOpenStep, &PeerService::OpenStep,
       [](const Request& aRequest) {
         return &aRequest.open_step().spec().id();
       }},
      {Request::kPlanPull, &PeerService::PlanPull,
       [](const Request& aRequest) { return &aRequest.plan_pull().id(); }},
      {Request::kCloseStep, &PeerService::CloseStep,
       [](const Request& aRequest) { return &aRequest.close_step().id(); }},
      {Request::kRunGroup, &PeerService::RunGroup,
       [](const Request& aRequest) { return &aRequest.run_group().id(); }},
      {Request::kCancelGroup, &PeerService::CancelGroup,
       [](const Request& aRequest) { return &aRequest.cancel_group().id(); }},
      {Request::kReleaseGroups, &PeerService::ReleaseGroups,
       [](const Request& aRequest) { return &aRequest.release_groups().id(); }},
      {Request::kFetchGroups, &PeerService::FetchGroups,
       [](const Request& aRequest) { return &aRequest.fetch_groups().id(); }},
      {Request::kAskInventory, &PeerService::AskInventory,
       [](const Request& aRequest) { return &aRequest.ask_inventory().id(); }},
      {Request::kAskPolicy, &PeerService::AskPolicy, &NoStep},
      {Request::kAskRoom, &PeerService::AskRoom, &NoStep},
      {Request::kAskStep, &PeerService::AskStep,
       [](const Request& aRequest) { return &aRequest.ask_step().id(); }},
      {Request::kHandOver, &PeerService::HandOver,
       [](const Request& aRequest) { return &aRequest.hand_over().id(); }},
  };
  return kKinds;
}

// Validates the step id of the request once, so that the handlers need not.
asio::awaitable<Result<wire::PeerReply>> PeerService::Handle(
    wire::PeerRequest aRequest) {
  for (const Kind& kind : Kinds()) {
    if (kind.mCase != aRequest.kind_case()) {
      continue;
    }
    const wire::StepId* step = kind.mStep(aRequest);
    if (step != nullptr && !FromWire(*step)) {
      co_return FromWire(*step).error();
    }
    co_return co_await (this->*kind.mHandler)(std::move(aRequest));
  }
  co_return Error(ErrorKind::BadRequest,
                  "The kind of the peer's call is unknown to this node.");
}

PeerService::Reply PeerService::Exchange(wire::PeerRequest aRequest) {
  Result<GossipState> theirs = FromWire(aRequest.exchange());
  if (!theirs) {
    co_return theirs.error();
  }
  const GossipState ours = co_await mNode.OnControl(
      [this, &theirs] { return mGossip.Exchange(*theirs); });
  wire::PeerReply reply;
  *reply.mutable_exchange() = ToWire(ours);
  co_return reply;
}

PeerService::Reply PeerService::OpenStep(wire::PeerRequest aRequest) {
  Result<wire::StepState> state = co_await asio::co_spawn(
      mNode.Control(), mSteps.Open(std::move(*aRequest.mutable_open_step())),
      asio::use_awaitable);
  if (!state) {
    co_return state.error();
  }
  wire::PeerReply reply;
  *reply.mutable_step_state() = std::move(*state);
  co_return reply;
}

PeerService::Reply PeerService::PlanPull(wire::PeerRequest aRequest) {
  Result<wire::PullPlan> plan = co_await asio::co_spawn(
      mNode.Control(), mSteps.Plan(std::move(*aRequest.mutable_plan_pull())),
      asio::use_awaitable);
  if (!plan) {
    co_return plan.error();
  }
  wire::PeerReply reply;
  *reply.mutable_pull_plan() = std::move(*plan);
  co_return reply;
}

// Sent to all nodes: the owner discards the step, runners drop its groups.
PeerService::Reply PeerService::CloseStep(wire::PeerRequest aRequest) {
  const StepId step = FromWire(aRequest.close_step().id()).value();
  wire::ReleaseGroups release;
  *release.mutable_id() = aRequest.close_step().id();
  release.set_all(true);
  co_await mNode.OnControl([this, &release] {
    mRunner.Release(release);
    return true;
  });
  Result<wire::StepState> state = co_await asio::co_spawn(
      mNode.Control(), mSteps.Close(step), asio::use_awaitable);
  if (!state) {
    co_return state.error();
  }
  wire::PeerReply reply;
  *reply.mutable_step_state() = std::move(*state);
  co_return reply;
}

PeerService::Reply PeerService::RunGroup(wire::PeerRequest aRequest) {
  Result<wire::GroupSummary> summary =
      co_await mRunner.RunGroup(std::move(*aRequest.mutable_run_group()));
  if (!summary) {
    co_return summary.error();
  }
  wire::PeerReply reply;
  *reply.mutable_finished() = std::move(*summary);
  co_return reply;
}

PeerService::Reply PeerService::CancelGroup(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        mRunner.Cancel(request.cancel_group());
        return EmptyReply();
      });
}

PeerService::Reply PeerService::ReleaseGroups(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        mRunner.Release(request.release_groups());
        return EmptyReply();
      });
}

PeerService::Reply PeerService::FetchGroups(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        wire::PeerReply reply;
        *reply.mutable_fetched() = mRunner.Fetch(request.fetch_groups());
        return reply;
      });
}

PeerService::Reply PeerService::AskInventory(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        const StepId step = FromWire(request.ask_inventory().id()).value();
        wire::PeerReply reply;
        wire::Inventory& inventory = *reply.mutable_inventory();
        mRunner.Inventory(step, inventory);
        mSteps.Inventory(step, inventory);
        return reply;
      });
}

PeerService::Reply PeerService::AskStep(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        const StepId step = FromWire(request.ask_step().id()).value();
        wire::PeerReply reply;
        *reply.mutable_step_state() = mSteps.State(step);
        return reply;
      });
}

PeerService::Reply PeerService::AskPolicy(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        wire::PeerReply reply;
        *reply.mutable_policy() =
            mPolicies.HandleAskPolicy(request.ask_policy(), request.from());
        return reply;
      });
}

PeerService::Reply PeerService::AskRoom(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        const auto policies = mNode.Policies().Read();
        const TrainerRule* rule =
            policies->Rules().Trainer(request.ask_room().trainer());
        wire::PeerReply reply;
        // A draining node finishes its groups and accepts no new ones.
        const bool accepts =
            rule != nullptr && mNode.Lifecycle().Phase() != NodePhase::Draining;
        reply.mutable_room()->set_samples(accepts ? mRunner.FreeCapacity(*rule)
                                                  : 0);
        return reply;
      });
}

PeerService::Reply PeerService::HandOver(wire::PeerRequest aRequest) {
  co_return co_await mNode.OnControl(
      [this, &request = aRequest]() -> Result<wire::PeerReply> {
        mRunner.TakeOver(request.hand_over());
        mSteps.RecordHandOver(request.hand_over());
        return EmptyReply();
      });
}

}  // namespace rillwall
