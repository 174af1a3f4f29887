/// \file
/// Owns steps: keeps their books, gives groups to runners, plans pulls.
///
/// The owner of a step is the first member in the rendezvous order of its
/// duty; the next ones keep a copy of its specification. When the owner goes,
/// the next one asks all nodes what they hold and goes on. Nothing here is
/// kept anywhere else: what a trainer has is stated by the trainer.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gossip_loop.h"
#include "node.h"
#include "rillwall/step.h"

namespace rillwall {

class StepOwner {
 public:
  StepOwner(Node& aNode, GossipLoop& aGossip);
  void Start();

  /// \name Called on the control strand, for this node as owner
  /// @{
  asio::awaitable<Result<wire::StepState>> Open(wire::OpenStep aOpen);
  asio::awaitable<Result<wire::PullPlan>> Plan(wire::PlanPull aPull);
  asio::awaitable<Result<wire::StepState>> Close(StepId aStep);
  /// @}
  /// Adds the specification if this node keeps a copy; on the control strand.
  void Inventory(const StepId& aStep, wire::Inventory& aInventory) const;
  /// \return newest version known of the trainer's model; on the control strand
  int64_t NewestVersion(const std::string& aTrainer) const;
  /// \return progress as far as this node knows it
  wire::StepState State(const StepId& aId) const;
  /// This node took over held groups of a step that it may own.
  void HandedOver(const wire::HandOver& aHandOver);
  size_t OpenSteps() const { return mOwnedSteps.size(); }
  /// \return books as JSON array text, for the dump; on the control strand
  std::string Dump() const;

 private:
  /// A step that this node owns now.
  struct OwnedStep {
    std::unique_ptr<StepTracker> mTracker;
    uint64_t mPull = 0;  ///< number of the newest pull
    std::shared_ptr<asio::steady_timer> mChanged;  ///< wakes waiting pulls
    std::vector<RunnerCapacity> mCapacities;
    Millis mCapacitiesAt;
    Millis mFollowedAt;  ///< when runners of an earlier owner were asked
    bool mAsking = false;
  };

  asio::awaitable<void> TickLoop();
  /// What one node holds and runs of a step.
  struct NodeInventory {
    std::string mNode;
    std::vector<GroupSummary> mHeld;
    std::vector<GroupOrder> mRunning;
  };
  asio::awaitable<std::vector<NodeInventory>> AskInventories(
      StepId aStep, std::vector<Member> aMembers);
  asio::awaitable<void> Rebuild(StepId aStep);
  asio::awaitable<void> FollowRunners(StepId aStep);
  void TakeIn(StepTracker& aTracker,
              const std::vector<NodeInventory>& aInventories);
  asio::awaitable<void> AskCapacities(StepId aStep);
  asio::awaitable<void> RunOne(StepId aStep, GroupOrder aOrder);
  asio::awaitable<void> Tell(std::string aNode, wire::PeerRequest aRequest);
  asio::awaitable<void> Replicate(StepSpec aSpec);
  void TickStep(const StepId& aId, OwnedStep& aStep);
  void CarryOut(const StepId& aId, const StepActions& aActions);
  void TakeUp(const StepSpec& aSpec, bool aRebuilding);
  void ReviewDuties();
  bool IsOwner(const StepId& aId) const;
  const TrainerRule* Rule(const std::string& aTrainer) const;
  std::vector<Member> Runners(const StepId& aId) const;
  std::string RpcOf(const std::string& aNode) const;
  Result<OwnedStep*> Owned(const StepId& aId);
  void Wake(OwnedStep& aStep);

  Node& mNode;
  GossipLoop& mGossip;
  std::map<StepId, StepSpec> mSpecs;  ///< known here, owned or not
  std::map<StepId, OwnedStep> mOwnedSteps;
};

}  // namespace rillwall
