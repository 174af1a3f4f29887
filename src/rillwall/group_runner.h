/// \file
/// Runs groups of samples for the owners of steps, and holds the finished ones
/// until the trainer has stated their receipt.
///
/// A runner knows nothing of a step as a whole. It answers an order when the
/// group is finished; if the answer is lost, an inventory shows the group.

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

class GroupRunner {
 public:
  GroupRunner(Node& aNode, ModelCalls& aCalls);

  /// Runs a group to its end.
  /// \return what the owner's index needs
  asio::awaitable<Result<wire::GroupSummary>> RunGroup(wire::RunGroup aOrder);

  /// \name On the control strand only
  /// @{
  void Cancel(const wire::CancelGroup& aCancel);
  void Release(const wire::ReleaseGroups& aRelease);
  wire::FetchedGroups Fetch(const wire::FetchGroups& aFetch) const;
  void TakeOver(const wire::HandOver& aHandOver);
  /// Adds what is held and run of a step.
  void Inventory(const StepId& aStep, wire::Inventory& aInventory) const;
  /// \return groups of this trainer's model that could be started now
  int64_t Room(const TrainerRule& aRule) const;
  /// Takes everything held, by step, to hand it to another node.
  std::vector<wire::HandOver> TakeHeld();
  size_t Held() const;
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
  /// A group being run.
  struct RunningGroup {
    CancelFlag mCancel;
    int64_t mGroupSize = 0;
  };
  /// One sample with the instant of its first token.
  struct MadeSample {
    wire::Sample mSample;
    Millis mFirstToken;
  };

  asio::awaitable<std::optional<MadeSample>> MakeSample(wire::RunGroup aOrder,
                                                        TrainerRule aRule,
                                                        size_t aIndex,
                                                        CancelFlag aCancel);
  asio::awaitable<Result<double>> Score(std::string aScorer,
                                        std::string aPrompt, std::string aText);
  ModelRequest MakeRequest(const wire::RunGroup& aOrder,
                           const TrainerRule& aRule, size_t aIndex) const;
  void CheckLabel(const wire::Sample& aSample);
  void Hold(const Key& aKey, std::vector<MadeSample> aSamples);
  wire::GroupSummary Summary(const Key& aKey, const HeldGroup& aHeld) const;
  wire::FetchedGroup Fetched(const Key& aKey, const HeldGroup& aHeld) const;

  Node& mNode;
  ModelCalls& mCalls;
  std::map<Key, HeldGroup> mHeld;
  std::map<Key, RunningGroup> mRunning;
};

}  // namespace rillwall
