/// \file
/// Runs groups of samples for the owners of steps, and holds finished groups
/// until the trainer has confirmed their receipt.
///
/// A runner has no state about a step as a whole. It replies to an order when
/// the group is finished. If the reply is lost, the owner finds the group
/// through an inventory request.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model_calls.h"
#include "node.h"
#include "rillwall/step.h"

namespace rillwall {

/// Runs groups on this node and stores the finished ones.
class GroupRunner {
 public:
  GroupRunner(Node& aNode, ModelCalls& aCalls);

  /// Generates all samples of a group and holds the group if all succeed.
  /// \return the summary that the owner records, or an error: NotFound without
  /// a policy for the trainer, Conflict if the attempt is running already,
  /// UpstreamFailed if a sample failed
  asio::awaitable<Result<wire::GroupSummary>> RunGroup(wire::RunGroup aOrder);

  /// \name On the control strand only
  /// @{
  /// Cancels one attempt at a group and drops its result.
  void Cancel(const wire::CancelGroup& aCancel);
  /// Drops the named groups of a step, or all of them, and cancels those that
  /// are running.
  void Release(const wire::ReleaseGroups& aRelease);
  /// \return those of the requested groups that this node holds
  wire::FetchedGroups Fetch(const wire::FetchGroups& aFetch) const;
  /// Stores the groups that a draining node hands over.
  void TakeOver(const wire::HandOver& aHandOver);
  /// Adds the held and running groups of a step.
  void Inventory(const StepId& aStep, wire::Inventory& aInventory) const;
  /// \return how many samples of this trainer's model could start now
  int64_t FreeCapacity(const TrainerRule& aRule) const;
  /// Removes all held groups so that they can be handed over to other nodes.
  /// \return the groups, one entry for each step
  std::vector<wire::HandOver> ExtractHeldGroups();
  size_t Held() const;  ///< number of held groups
  /// \return the number of running groups
  size_t Running() const { return mRunning.size(); }
  /// @}

 private:
  struct Key {
    StepId mStep;
    size_t mGroup = 0;
    uint64_t mAttempt = 0;
    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Key&) const = default;
  };
  /// A finished group.
  struct HeldGroup {
    std::vector<wire::Sample> mSamples;
    int64_t mOldestVersion = 0;
    int64_t mTokens = 0;
    Millis mFirstToken;  ///< the earliest of its samples
  };
  /// A running group.
  struct RunningGroup {
    CancelFlag mCancel;
    int64_t mGroupSize = 0;
  };
  /// A sample and the time of its first token.
  struct GeneratedSample {
    wire::Sample mSample;
    Millis mFirstToken;
  };

  asio::awaitable<std::optional<GeneratedSample>> GenerateSample(
      wire::RunGroup aOrder, TrainerRule aRule, size_t aIndex,
      CancelFlag aCancel);
  asio::awaitable<Result<double>> Score(std::string aScorer,
                                        std::string aPrompt, std::string aText);
  ModelRequest MakeRequest(const wire::RunGroup& aOrder,
                           const TrainerRule& aRule, size_t aIndex) const;
  void CheckLabel(const wire::Sample& aSample);
  void Hold(const Key& aKey, std::vector<GeneratedSample> aSamples);
  wire::GroupSummary Summary(const Key& aKey, const HeldGroup& aHeld) const;
  wire::FetchedGroup Fetched(const Key& aKey, const HeldGroup& aHeld) const;

  Node& mNode;
  ModelCalls& mCalls;
  std::map<Key, HeldGroup> mHeld;
  std::map<Key, RunningGroup> mRunning;
};

}  // namespace rillwall
