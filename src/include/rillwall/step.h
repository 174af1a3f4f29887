/// \file
/// Steps of training samples: identities, labels, receipts, and the tracker
/// that the owner of a step uses.
///
/// A sample is identified by (trainer, step, group, index). Its label is taken
/// from the chunks that the engine sent. Only complete groups are delivered.
/// The trainer states what it has received by returning the last receipt. A
/// response contains only groups that are not in that receipt, and names the
/// receipt that it extends. A trainer that accepts a response only if it
/// extends the receipt held by the trainer receives each sample exactly once,
/// even if several nodes respond as owner.
///
/// The owner keeps an index only. The node that ran a group (its runner) keeps
/// the finished samples until a receipt names them. A new owner rebuilds the
/// index from the inventories of the runners. The code performs no I/O and is
/// not thread-safe.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/millis.h"
#include "rillwall/policy.h"

namespace rillwall {

/// Identity of a step.
struct StepId {
  std::string mTrainer;
  uint64_t mStep = 0;
  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StepId&) const = default;
  /// \return name of the duty of owning the step, "step/<trainer>/<step>"
  std::string Duty() const;
};

/// A range of tokens [mBegin, mEnd) of a sample that one weight version
/// generated.
struct VersionSpan {
  int64_t mVersion = 0;
  int64_t mBegin = 0;
  int64_t mEnd = 0;
  bool operator==(const VersionSpan&) const = default;
};

/// The weight versions that generated a sample, as reported by the engines, in
/// token order and without gaps.
class Label {
 public:
  /// Appends the tokens of one chunk from an engine.
  void Append(int64_t aVersion, int64_t aTokens);
  const std::vector<VersionSpan>& Spans() const { return mSpans; }
  int64_t Tokens() const { return mSpans.empty() ? 0 : mSpans.back().mEnd; }
  /// \return the oldest version used; 0 if empty
  int64_t Oldest() const;
  bool operator==(const Label&) const = default;

 private:
  std::vector<VersionSpan> mSpans;
};

/// A step as its trainer opened it.
struct StepSpec {
  StepId mId;
  int64_t mGroupSize = 8;
  int64_t mMaxTokens = 1024;
  std::vector<std::string> mPrompts;  ///< one per group
  int64_t mSeed = 0;
  /// \return a hexadecimal digest of all members; the same step has the same
  /// digest when it is opened again
  std::string Digest() const;
  bool operator==(const StepSpec&) const = default;
};

/// The set of groups of a step that the trainer has received. Opaque to the
/// trainer.
class Receipt {
 public:
  /// \param aGroups number of groups of the step
  Receipt(StepId aId, size_t aGroups);
  /// \return the receipt, or a BadRequest error if the text is not a receipt of
  /// this step with this number of groups; the empty text is the empty receipt
  static Result<Receipt> Parse(std::string_view aText, const StepId& aId,
                               size_t aGroups);
  /// \return the opaque text, URL-safe; empty if no group was received
  std::string Text() const;
  bool Has(size_t aGroup) const;
  void Add(size_t aGroup);
  size_t Count() const;
  bool Complete() const { return Count() == mReceived.size(); }
  bool operator==(const Receipt&) const = default;

 private:
  StepId mId;
  std::vector<bool> mReceived;
};

/// The owner's record of a finished group.
struct GroupSummary {
  size_t mGroup = 0;
  std::string mRunner;  ///< id of the node that holds the group
  uint64_t mAttempt = 0;
  int64_t mOldestVersion = 0;
  Millis mAge;  ///< age of its first token when the summary was made
  int64_t mTokens = 0;
  bool operator==(const GroupSummary&) const = default;
};

/// An order to a runner to run one group.
struct GroupOrder {
  size_t mGroup = 0;
  std::string mRunner;
  uint64_t mAttempt = 0;
  bool operator==(const GroupOrder&) const = default;
};

/// The free capacity of a runner.
struct RunnerCapacity {
  std::string mNode;
  int64_t mCapacity = 0;  ///< groups that the runner can start now
};

/// What the owner of a step has to do next.
struct StepActions {
  std::vector<GroupOrder> mRun;      ///< order these runs
  std::vector<GroupOrder> mCancel;   ///< cancel duplicate and stale runs
  std::vector<GroupOrder> mRelease;  ///< drop samples the trainer has
};

/// The response to a pull: the groups to fetch, with their runners.
struct PullPlan {
  std::vector<GroupSummary> mGroups;
  bool mComplete = false;  ///< the receipt names every group
};

/// Tracks the groups of one step and decides which runner runs which group, and
/// what is delivered to the trainer.
class StepTracker {
 public:
  /// \param aRebuilding whether the inventories of the runners must be
  /// collected first, because another owner may have run the step; no group is
  /// ordered before Rebuilt()
  StepTracker(StepSpec aSpec, TrainerRule aRule, bool aRebuilding, Millis aNow);
  ~StepTracker();

  const StepSpec& Spec() const;
  /// Replaces the trainer's rule after a change of policy.
  void SetRule(TrainerRule aRule);
  /// Sets the recent interval between the trainer's weight versions; 0 if not
  /// known. The interval is used only after a new version has appeared while
  /// this step was incomplete. A trainer that makes each version from a
  /// complete step would otherwise wait for groups that the forecast holds
  /// back.
  void SetVersionInterval(Millis aInterval);
  /// Processes a runner's inventory of this step.
  /// \param aHeld finished groups that the runner holds
  /// \param aRunning groups that the runner runs now
  void Inventory(std::string_view aRunner,
                 const std::vector<GroupSummary>& aHeld,
                 const std::vector<GroupOrder>& aRunning, Millis aNow);
  /// \return runners that run groups for an earlier owner. Their results go to
  /// that owner, so the caller has to request the inventory of each about every
  /// two seconds. A group that no inventory names for more than 15 s is run
  /// again.
  std::vector<std::string> RunnersToAsk() const;
  /// Reports that the inventories of all live runners have been requested.
  void Rebuilt(Millis aNow);
  /// Orders waiting groups, the longest expected ones first, within the
  /// capacity of the runners. Each group goes to one runner as a whole. Groups
  /// that would be stale at delivery are not ordered. Hedges the last groups of
  /// the step if the rule allows it.
  /// \param aNewest newest known weight version
  StepActions Tick(const std::vector<RunnerCapacity>& aRunners, int64_t aNewest,
                   Millis aNow);
  /// Reports that a group is finished and held by its runner.
  StepActions Finished(const GroupSummary& aSummary, Millis aNow);
  /// Reports that a runner could not run a group or no longer holds it.
  void Failed(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
              Millis aNow);
  /// Reports that a runner died or left without handing over its groups.
  void RunnerLost(std::string_view aRunner, Millis aNow);
  /// Processes a pull by the trainer. Releases the groups that the receipt
  /// names, drops held groups that exceed the staleness bound and queues them
  /// again.
  /// \param aMaxGroups greatest number of groups in the plan
  /// \param aActions receives the actions that follow
  PullPlan Plan(const Receipt& aReceipt, int64_t aNewest, size_t aMaxGroups,
                Millis aNow, StepActions& aActions);

  /// \return time at which the step was opened on this node
  Millis OpenedAt() const;
  size_t Delivered() const;  ///< number of groups named by the last receipt
  size_t Held() const;
  size_t Running() const;
  size_t Waiting() const;
  /// \return number of held groups dropped as stale
  uint64_t StaleDropped() const;
  /// \return the state as a JSON object, for diagnosis
  std::string Dump() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// \return whether a group with this age and this oldest version may be
/// delivered
bool WithinStalenessBound(const StalenessBound& aBound, int64_t aOldestVersion,
                          int64_t aNewest, Millis aAge);

}  // namespace rillwall
