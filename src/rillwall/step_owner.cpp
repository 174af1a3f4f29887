#include "step_owner.h"

#include <algorithm>

#include "rillwall/log.h"
#include "rillwall/wire_convert.h"
#include "tasks.h"

namespace rillwall {

namespace {

constexpr Millis kTickPeriod{50};
constexpr Millis kCapacityPeriod{200};
constexpr Millis kAskTimeout{1000};
constexpr Millis kGroupTimeout{900000};
constexpr Millis kRunnerPollPeriod{2000};
constexpr Millis kMaxPullWait{30000};
constexpr size_t kSpecReplicas = 3;
constexpr size_t kMaxRunners = 32;
constexpr uint32_t kMaxGroupsPerPull = 64;

}  // namespace

StepOwner::StepOwner(Node& aNode, GossipLoop& aGossip)
    : mNode(aNode), mGossip(aGossip) {}

void StepOwner::Start() {
  mGossip.OnMember([this](const Member& aMember) {
    if (aMember.mState == MemberState::Dead) {
      for (auto& [id, step] : mOwnedSteps) {
        step.mTracker->RunnerLost(aMember.mId, mNode.Now());
      }
    }
    ReviewOwnership();
  });
  mNode.SpawnControl(TickLoop());
}

const TrainerRule* StepOwner::FindRule(const std::string& aTrainer) const {
  return mNode.Policies().Read()->Rules().Trainer(aTrainer);
}

int64_t StepOwner::NewestVersion(const std::string& aTrainer) const {
  const TrainerRule* rule = FindRule(aTrainer);
  if (rule == nullptr) {
    return 0;
  }
  const Fact* fact = mNode.Members().FindFact("version/" + rule->mModel);
  return fact == nullptr ? 0 : static_cast<int64_t>(fact->mRevision);
}

bool StepOwner::IsOwner(const StepId& aId) const {
  const std::vector<Member> owners =
      DutyOwners(mNode.Members().Live(), aId.Duty(), 1);
  return !owners.empty() && owners[0].mId == mNode.Settings().mNodeId;
}

std::string StepOwner::RpcAddressOf(const std::string& aNode) const {
  for (const Member& member : mNode.Members().All()) {
    if (member.mId == aNode) {
      return member.mRpc;
    }
  }
  return {};
}

// In a large fleet only some of the nodes run the groups of a step, so that its
// owner asks few nodes for their capacity.
std::vector<Member> StepOwner::Runners(const StepId& aId) const {
  return DutyOwners(mNode.Members().Live(), aId.Duty() + "/run", kMaxRunners);
}

void StepOwner::StartOwning(const StepSpec& aSpec, bool aRebuilding) {
  const TrainerRule* rule = FindRule(aSpec.mId.mTrainer);
  if (rule == nullptr || mOwnedSteps.contains(aSpec.mId)) {
    return;
  }
  OwnedStep step;
  step.mTracker =
      std::make_unique<StepTracker>(aSpec, *rule, aRebuilding, mNode.Now());
  step.mChanged = std::make_shared<asio::steady_timer>(mNode.Control());
  step.mChanged->expires_at(asio::steady_timer::time_point::max());
  mOwnedSteps[aSpec.mId] = std::move(step);
  if (aRebuilding) {
    mNode.Meter().Add(Counter::Takeovers);
    Log(Part::Step).Info("Taking over " + aSpec.mId.Duty() + ".");
    mNode.SpawnControl(Rebuild(aSpec.mId));
  }
}

// After a change of the membership: hands off the steps that other nodes own
// now, and takes over those that this node owns now.
void StepOwner::ReviewOwnership() {
  for (auto it = mOwnedSteps.begin(); it != mOwnedSteps.end();) {
    if (IsOwner(it->first)) {
      ++it;
      continue;
    }
    Log(Part::Step).Info("Handing off " + it->first.Duty() + ".");
    // The new owner may have joined after the step was opened, so it may lack
    // the specification.
    mNode.SpawnControl(Replicate(it->second.mTracker->Spec()));
    WakePulls(it->second);
    it = mOwnedSteps.erase(it);
  }
  for (const auto& [id, spec] : mSpecs) {
    if (IsOwner(id) && !mOwnedSteps.contains(id)) {
      StartOwning(spec, true);
    }
  }
}

asio::awaitable<std::vector<StepOwner::NodeInventory>>
StepOwner::AskInventories(StepId aStep, std::vector<Member> aMembers) {
  std::vector<asio::awaitable<Result<wire::PeerReply>>> requests;
  for (const Member& member : aMembers) {
    wire::PeerRequest request;
    *request.mutable_ask_inventory()->mutable_id() = ToWire(aStep);
    requests.push_back(mNode.CallPeer(member.mId, member.mRpc,
                                      std::move(request), kAskTimeout));
  }
  const std::vector<Result<wire::PeerReply>> replies =
      co_await RunAll(mNode.Control(), std::move(requests));
  std::vector<NodeInventory> inventories;
  for (size_t i = 0; i < replies.size(); ++i) {
    if (!replies[i]) {
      continue;
    }
    NodeInventory inventory;
    inventory.mNode = aMembers[i].mId;
    for (const wire::GroupSummary& held : replies[i]->inventory().held()) {
      const Result<GroupSummary> group = FromWire(held, aMembers[i].mId);
      if (group) {
        inventory.mHeld.push_back(*group);
      }
    }
    for (const wire::GroupSummary& running :
         replies[i]->inventory().running()) {
      inventory.mRunning.push_back(
          {running.group(), aMembers[i].mId, running.attempt()});
    }
    inventories.push_back(std::move(inventory));
  }
  co_return inventories;
}

void StepOwner::AddInventories(StepTracker& aTracker,
                               const std::vector<NodeInventory>& aInventories) {
  for (const NodeInventory& inventory : aInventories) {
    aTracker.Inventory(inventory.mNode, inventory.mHeld, inventory.mRunning,
                       mNode.Now());
  }
}

asio::awaitable<void> StepOwner::Rebuild(StepId aStep) {
  std::vector<Member> members = mNode.Members().All();
  std::erase_if(members, [](const Member& aMember) {
    return aMember.mState == MemberState::Dead;
  });
  const std::vector<NodeInventory> inventories =
      co_await AskInventories(aStep, std::move(members));
  const auto found = mOwnedSteps.find(aStep);
  if (found == mOwnedSteps.end()) {
    co_return;
  }
  AddInventories(*found->second.mTracker, inventories);
  found->second.mTracker->Rebuilt(mNode.Now());
  WakePulls(found->second);
}

// Groups that were running at a takeover reply to the previous owner. This node
// therefore polls their runners until the groups have finished.
asio::awaitable<void> StepOwner::PollEarlierRunners(StepId aStep) {
  const auto tracker = mOwnedSteps.find(aStep);
  const std::vector<std::string> wanted =
      tracker->second.mTracker->RunnersToAsk();
  std::vector<Member> members = mNode.Members().All();
  std::erase_if(members, [&wanted](const Member& aMember) {
    return std::ranges::find(wanted, aMember.mId) == wanted.end();
  });
  if (members.empty()) {
    co_return;
  }
  const std::vector<NodeInventory> inventories =
      co_await AskInventories(aStep, std::move(members));
  const auto found = mOwnedSteps.find(aStep);
  if (found != mOwnedSteps.end()) {
    AddInventories(*found->second.mTracker, inventories);
    WakePulls(found->second);
  }
}

void StepOwner::RecordHandOver(const wire::HandOver& aHandOver) {
  const auto found = mOwnedSteps.find(FromWire(aHandOver.id()).value());
  if (found == mOwnedSteps.end()) {
    return;
  }
  NodeInventory inventory;
  inventory.mNode = mNode.Settings().mNodeId;
  for (const wire::FetchedGroup& group : aHandOver.groups()) {
    GroupSummary summary;
    summary.mGroup = group.group();
    summary.mRunner = inventory.mNode;
    summary.mAttempt = group.attempt();
    summary.mOldestVersion = group.oldest_version();
    summary.mAge = Millis(group.age_ms());
    for (const wire::Sample& sample : group.samples()) {
      summary.mTokens +=
          sample.label().empty() ? 0 : sample.label().rbegin()->end();
    }
    CarryOut(found->first,
             found->second.mTracker->Finished(summary, mNode.Now()));
  }
  WakePulls(found->second);
}

asio::awaitable<void> StepOwner::TickLoop() {
  while (true) {
    for (auto& [id, step] : mOwnedSteps) {
      TickStep(id, step);
    }
    co_await Node::Sleep(kTickPeriod);
  }
}

void StepOwner::TickStep(const StepId& aId, OwnedStep& aStep) {
  const TrainerRule* rule = FindRule(aId.mTrainer);
  if (rule != nullptr) {
    aStep.mTracker->SetRule(*rule);
  }
  const bool due = mNode.Now() - aStep.mCapacitiesAt >= kCapacityPeriod;
  if (due && !aStep.mCapacityRequestPending) {
    aStep.mCapacityRequestPending = true;
    mNode.SpawnControl(AskCapacities(aId));
  }
  if (mNode.Now() - aStep.mRunnersPolledAt >= kRunnerPollPeriod) {
    aStep.mRunnersPolledAt = mNode.Now();
    mNode.SpawnControl(PollEarlierRunners(aId));
  }
  const int64_t newest = NewestVersion(aId.mTrainer);
  const StepActions actions =
      aStep.mTracker->Tick(aStep.mCapacities, newest, mNode.Now());
  // Subtracts the new orders from the known capacities until the next poll.
  for (const GroupOrder& order : actions.mRun) {
    for (RunnerCapacity& capacity : aStep.mCapacities) {
      capacity.mCapacity -= capacity.mNode == order.mRunner ? 1 : 0;
    }
  }
  CarryOut(aId, actions);
}

asio::awaitable<void> StepOwner::AskCapacities(StepId aStep) {
  const std::vector<Member> runners = Runners(aStep);
  std::vector<asio::awaitable<Result<wire::PeerReply>>> requests;
  for (const Member& member : runners) {
    wire::PeerRequest request;
    request.mutable_ask_room()->set_trainer(aStep.mTrainer);
    requests.push_back(mNode.CallPeer(member.mId, member.mRpc,
                                      std::move(request), kAskTimeout));
  }
  const std::vector<Result<wire::PeerReply>> replies =
      co_await RunAll(mNode.Control(), std::move(requests));
  const auto found = mOwnedSteps.find(aStep);
  if (found == mOwnedSteps.end()) {
    co_return;
  }
  OwnedStep& step = found->second;
  step.mCapacities.clear();
  for (size_t i = 0; i < replies.size(); ++i) {
    if (replies[i]) {
      const int64_t size = step.mTracker->Spec().mGroupSize;
      const int64_t samples = replies[i]->room().samples();
      step.mCapacities.push_back({runners[i].mId, (samples + size - 1) / size});
    }
  }
  step.mCapacitiesAt = mNode.Now();
  step.mCapacityRequestPending = false;
}

asio::awaitable<void> StepOwner::Notify(std::string aNode,
                                        wire::PeerRequest aRequest) {
  co_await mNode.CallPeer(aNode, RpcAddressOf(aNode), std::move(aRequest),
                          kAskTimeout);
}

void StepOwner::CarryOut(const StepId& aId, const StepActions& aActions) {
  for (const GroupOrder& order : aActions.mRun) {
    mNode.SpawnControl(RunGroupOn(aId, order));
  }
  for (const GroupOrder& order : aActions.mCancel) {
    wire::PeerRequest request;
    wire::CancelGroup& cancel = *request.mutable_cancel_group();
    *cancel.mutable_id() = ToWire(aId);
    cancel.set_group(static_cast<uint32_t>(order.mGroup));
    cancel.set_attempt(order.mAttempt);
    mNode.SpawnControl(Notify(order.mRunner, std::move(request)));
  }
  std::map<std::string, wire::PeerRequest> releases;
  for (const GroupOrder& order : aActions.mRelease) {
    wire::ReleaseGroups& release =
        *releases[order.mRunner].mutable_release_groups();
    *release.mutable_id() = ToWire(aId);
    release.add_groups(static_cast<uint32_t>(order.mGroup));
  }
  for (auto& [runner, request] : releases) {
    mNode.SpawnControl(Notify(runner, std::move(request)));
  }
}

asio::awaitable<void> StepOwner::RunGroupOn(StepId aStep, GroupOrder aOrder) {
  const auto spec = mSpecs.find(aStep);
  if (spec == mSpecs.end()) {
    co_return;
  }
  wire::PeerRequest request;
  wire::RunGroup& run = *request.mutable_run_group();
  *run.mutable_id() = ToWire(aStep);
  run.set_group(static_cast<uint32_t>(aOrder.mGroup));
  run.set_attempt(aOrder.mAttempt);
  run.set_prompt(spec->second.mPrompts[aOrder.mGroup]);
  run.set_group_size(spec->second.mGroupSize);
  run.set_max_tokens(spec->second.mMaxTokens);
  run.set_seed(spec->second.mSeed);
  const TrainerRule* rule = FindRule(aStep.mTrainer);
  const int64_t bound = rule == nullptr ? -1 : rule->mStaleness.mVersions;
  const int64_t newest = NewestVersion(aStep.mTrainer);
  run.set_min_version(bound < 0 ? 0 : std::max<int64_t>(0, newest - bound));
  const Result<wire::PeerReply> reply =
      co_await mNode.CallPeer(aOrder.mRunner, RpcAddressOf(aOrder.mRunner),
                              std::move(request), kGroupTimeout);
  const auto found = mOwnedSteps.find(aStep);
  if (found == mOwnedSteps.end()) {
    co_return;
  }
  StepTracker& tracker = *found->second.mTracker;
  const Result<GroupSummary> summary =
      reply ? FromWire(reply->finished(), aOrder.mRunner) : reply.error();
  if (!summary) {
    Log(Part::Step)
        .Info("Group " + std::to_string(aOrder.mGroup) + " of " + aStep.Duty() +
              " failed on " + aOrder.mRunner + ": " + summary.error().Detail());
    tracker.Failed(aOrder.mGroup, aOrder.mRunner, aOrder.mAttempt, mNode.Now());
    co_return;
  }
  CarryOut(aStep, tracker.Finished(*summary, mNode.Now()));
  WakePulls(found->second);
}

void StepOwner::WakePulls(OwnedStep& aStep) {
  aStep.mChanged->expires_at(asio::steady_timer::time_point::max());
}

asio::awaitable<void> StepOwner::Replicate(StepSpec aSpec) {
  const std::vector<Member> owners =
      DutyOwners(mNode.Members().Live(), aSpec.mId.Duty(), kSpecReplicas);
  std::vector<asio::awaitable<Result<wire::PeerReply>>> sends;
  for (const Member& member : owners) {
    if (member.mId == mNode.Settings().mNodeId) {
      continue;
    }
    wire::PeerRequest request;
    *request.mutable_open_step()->mutable_spec() = ToWire(aSpec);
    request.mutable_open_step()->set_replica(true);
    sends.push_back(mNode.CallPeer(member.mId, member.mRpc, std::move(request),
                                   kAskTimeout));
  }
  if (!sends.empty()) {
    co_await RunAll(mNode.Control(), std::move(sends));
  }
}

asio::awaitable<Result<wire::StepState>> StepOwner::Open(wire::OpenStep aOpen) {
  const Result<StepSpec> parsed = FromWire(aOpen.spec());
  if (!parsed) {
    co_return parsed.error();
  }
  const StepSpec& spec = *parsed;
  if (FindRule(spec.mId.mTrainer) == nullptr) {
    co_return Error(ErrorKind::NotFound,
                    "No policy names the trainer '" + spec.mId.mTrainer + "'.");
  }
  const auto known = mSpecs.find(spec.mId);
  if (known != mSpecs.end() && known->second != spec) {
    co_return Error(ErrorKind::Conflict,
                    "The step is open with different contents; close it first "
                    "or use a new step number.");
  }
  mSpecs[spec.mId] = spec;
  if (aOpen.replica()) {
    if (IsOwner(spec.mId)) {
      StartOwning(spec, true);
    }
    co_return State(spec.mId);
  }
  if (!mOwnedSteps.contains(spec.mId)) {
    co_await Replicate(spec);
    // If the step is opened again after its owner was lost, other nodes may
    // hold some groups. A step of which no node has a group starts at once.
    const std::vector<NodeInventory> inventories =
        co_await AskInventories(spec.mId, mNode.Members().Live());
    const bool known =
        std::ranges::any_of(inventories, [](const NodeInventory& aInventory) {
          return !aInventory.mHeld.empty() || !aInventory.mRunning.empty();
        });
    StartOwning(spec, known);
  }
  co_return State(spec.mId);
}

wire::StepState StepOwner::State(const StepId& aId) const {
  wire::StepState state;
  const auto spec = mSpecs.find(aId);
  if (spec == mSpecs.end()) {
    return state;
  }
  state.set_known(true);
  state.set_groups(spec->second.mPrompts.size());
  state.set_digest(spec->second.Digest());
  const auto owned = mOwnedSteps.find(aId);
  if (owned != mOwnedSteps.end()) {
    const StepTracker& tracker = *owned->second.mTracker;
    state.set_delivered(tracker.Delivered());
    state.set_held(tracker.Held());
    state.set_running(tracker.Running());
    state.set_waiting(tracker.Waiting());
  }
  return state;
}

Result<StepOwner::OwnedStep*> StepOwner::FindOwned(const StepId& aId) {
  const auto found = mOwnedSteps.find(aId);
  if (found != mOwnedSteps.end()) {
    return &found->second;
  }
  if (!IsOwner(aId)) {
    return Error(ErrorKind::Unavailable, "Another node owns the step now.");
  }
  const auto spec = mSpecs.find(aId);
  if (spec != mSpecs.end()) {
    StartOwning(spec->second, true);
    const auto taken = mOwnedSteps.find(aId);
    if (taken != mOwnedSteps.end()) {
      return &taken->second;
    }
  }
  return Error(ErrorKind::NotFound,
               "The step " + std::to_string(aId.mStep) + " of '" +
                   aId.mTrainer +
                   "' is not open; open it (again) with its contents.");
}

asio::awaitable<Result<wire::PullPlan>> StepOwner::Plan(wire::PlanPull aPull) {
  const StepId id = FromWire(aPull.id()).value();
  Result<OwnedStep*> step = FindOwned(id);
  if (!step) {
    co_return step.error();
  }
  const size_t groups = (*step)->mTracker->Spec().mPrompts.size();
  const Result<Receipt> receipt = Receipt::Parse(aPull.receipt(), id, groups);
  if (!receipt) {
    co_return receipt.error();
  }
  const uint64_t pull = ++(*step)->mPull;
  WakePulls(**step);
  for (const wire::HeldGroup& lost : aPull.lost()) {
    (*step)->mTracker->Failed(lost.group(), lost.runner(), lost.attempt(),
                              mNode.Now());
  }
  const size_t maxGroups =
      std::clamp<uint32_t>(aPull.max_groups(), 1, kMaxGroupsPerPull);
  const Millis wait =
      std::clamp(Millis(aPull.wait_ms()), Millis(0), kMaxPullWait);
  const Millis end = mNode.Now() + wait;
  while (true) {
    step = FindOwned(id);
    if (!step) {
      co_return step.error();
    }
    if ((*step)->mPull != pull) {
      co_return Error(ErrorKind::Superseded,
                      "A newer pull of this step has replaced this one.");
    }
    const int64_t newest =
        std::max(NewestVersion(id.mTrainer), aPull.newest_version());
    StepActions actions;
    const PullPlan plan = (*step)->mTracker->Plan(*receipt, newest, maxGroups,
                                                  mNode.Now(), actions);
    CarryOut(id, actions);
    const bool done = !plan.mGroups.empty() || plan.mComplete;
    if (done || mNode.Now() >= end) {
      wire::PullPlan reply;
      reply.set_complete(plan.mComplete);
      reply.set_total(groups);
      for (const GroupSummary& summary : plan.mGroups) {
        wire::HeldGroup* held = reply.add_groups();
        held->set_group(static_cast<uint32_t>(summary.mGroup));
        held->set_attempt(summary.mAttempt);
        held->set_runner(summary.mRunner);
        held->set_runner_rpc(RpcAddressOf(summary.mRunner));
      }
      co_return reply;
    }
    const std::shared_ptr<asio::steady_timer> changed = (*step)->mChanged;
    changed->expires_after(std::chrono::milliseconds(
        std::min((end - mNode.Now()).Count(), kMaxPullWait.Count())));
    boost::system::error_code ignored;
    co_await changed->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<Result<wire::StepState>> StepOwner::Close(StepId aStep) {
  const wire::StepState state = State(aStep);
  mSpecs.erase(aStep);
  const auto found = mOwnedSteps.find(aStep);
  if (found != mOwnedSteps.end()) {
    WakePulls(found->second);
    mOwnedSteps.erase(found);
  }
  co_return state;
}

void StepOwner::Inventory(const StepId& aStep,
                          wire::Inventory& aInventory) const {
  const auto spec = mSpecs.find(aStep);
  if (spec != mSpecs.end()) {
    *aInventory.mutable_spec() = ToWire(spec->second);
  }
}

std::string StepOwner::Dump() const {
  std::string text = "[";
  for (const auto& [id, step] : mOwnedSteps) {
    text += text.size() > 1 ? "," : "";
    text += step.mTracker->Dump();
  }
  return text + "]";
}

}  // namespace rillwall
