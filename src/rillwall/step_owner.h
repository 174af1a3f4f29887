/// \file
/// Owns rollout steps: tracks their state, assigns groups to runners and plans
/// pulls.
///
/// The owner of a step is the first member in the rendezvous order of the
/// step's duty. The next members keep a copy of its specification. If the owner
/// leaves or dies, the next member takes the step over: it collects the
/// inventories of all nodes and continues. The state is not stored anywhere
/// else. The trainer states in each pull which groups it has received.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gossip_loop.h"
#include "node.h"
#include "rillwall/step.h"

namespace rillwall {

/// Manages the steps that this node owns and the specifications that it
/// replicates.
class StepOwner {
 public:
  StepOwner(Node& aNode, GossipLoop& aGossip);
  void Start();

  /// \name For this node as owner; on the control strand only
  /// @{
  /// Opens a step, or stores a replica of its specification. Opening a step
  /// again with the same contents has no effect.
  /// \return the state; NotFound if no policy names the trainer; Conflict if
  /// the step is open with other contents
  asio::awaitable<Result<wire::StepState>> Open(wire::OpenStep aOpen);
  /// Chooses the groups to deliver for a pull, and waits for up to the pull's
  /// wait time until some are ready. A newer pull of the step supersedes an
  /// older one.
  asio::awaitable<Result<wire::PullPlan>> Plan(wire::PlanPull aPull);
  /// Discards a step.
  /// \return its last state
  asio::awaitable<Result<wire::StepState>> Close(StepId aStep);
  /// @}
  /// Adds the specification of a step if this node has it. Call on the control
  /// strand only.
  void Inventory(const StepId& aStep, wire::Inventory& aInventory) const;
  /// Call on the control strand only.
  /// \return the newest known version of the trainer's model, 0 if none is
  /// known
  int64_t NewestVersion(const std::string& aTrainer) const;
  /// \return the progress of a step as far as this node knows it
  wire::StepState State(const StepId& aId) const;
  /// Records groups that another node handed over to this one, if this node
  /// owns their step.
  void RecordHandOver(const wire::HandOver& aHandOver);
  size_t OpenSteps() const { return mOwnedSteps.size(); }
  /// Call on the control strand only.
  /// \return the state of the owned steps as the text of a JSON array
  std::string Dump() const;

 private:
  /// A step that this node owns.
  struct OwnedStep {
    std::unique_ptr<StepTracker> mTracker;
    uint64_t mPull = 0;  ///< number of the newest pull
    std::shared_ptr<asio::steady_timer> mChanged;  ///< wakes waiting pulls
    std::vector<RunnerCapacity> mCapacities;
    Millis mCapacitiesAt;
    Millis mRunnersPolledAt;  ///< last poll of an earlier owner's runners
    bool mCapacityRequestPending = false;
  };

  asio::awaitable<void> TickLoop();
  /// The groups of a step that one node holds and runs.
  struct NodeInventory {
    std::string mNode;
    std::vector<GroupSummary> mHeld;
    std::vector<GroupOrder> mRunning;
  };
  asio::awaitable<std::vector<NodeInventory>> AskInventories(
      StepId aStep, std::vector<Member> aMembers);
  asio::awaitable<void> Rebuild(StepId aStep);
  asio::awaitable<void> PollEarlierRunners(StepId aStep);
  void AddInventories(StepTracker& aTracker,
                      const std::vector<NodeInventory>& aInventories);
  asio::awaitable<void> AskCapacities(StepId aStep);
  asio::awaitable<void> RunGroupOn(StepId aStep, GroupOrder aOrder);
  asio::awaitable<void> Notify(std::string aNode, wire::PeerRequest aRequest);
  asio::awaitable<void> Replicate(StepSpec aSpec);
  void TickStep(const StepId& aId, OwnedStep& aStep);
  void CarryOut(const StepId& aId, const StepActions& aActions);
  void StartOwning(const StepSpec& aSpec, bool aRebuilding);
  void ReviewOwnership();
  bool IsOwner(const StepId& aId) const;
  const TrainerRule* FindRule(const std::string& aTrainer) const;
  std::vector<Member> Runners(const StepId& aId) const;
  std::string RpcAddressOf(const std::string& aNode) const;
  Result<OwnedStep*> FindOwned(const StepId& aId);
  void WakePulls(OwnedStep& aStep);

  Node& mNode;
  GossipLoop& mGossip;
  std::map<StepId, StepSpec> mSpecs;  ///< all known steps, owned or not
  std::map<StepId, OwnedStep> mOwnedSteps;
};

}  // namespace rillwall
