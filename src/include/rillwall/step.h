/// \file
/// Steps of training samples: identities, labels, receipts, and the book that
/// a step's owner keeps.
///
/// A sample's identity is (trainer, step, group, index). Its label is read off
/// the engine's own chunks. Whole groups are delivered. The trainer states
/// what it already has by returning the last receipt; the answer holds only
/// groups not in it and says which receipt it extends, so a trainer that takes
/// in an answer only if it extends the receipt it holds receives each sample
/// exactly once, whoever answers.
///
/// The owner keeps an index only. The node that ran a group (its runner) keeps
/// the finished samples until a receipt names them. A new owner rebuilds the
/// index from what runners hold. Sans-IO and single-threaded.

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

struct StepId {
  std::string mTrainer;
  uint64_t mStep = 0;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StepId&) const = default;
  /// \return the name of the duty of owning it, "step/<trainer>/<step>"
  std::string Duty() const;
};

/// Tokens [mBegin, mEnd) of a sample were produced by one weight version.
struct VersionSpan {
  int64_t mVersion = 0;
  int64_t mBegin = 0;
  int64_t mEnd = 0;
  bool operator==(const VersionSpan&) const = default;
};

/// The versions that truly produced a sample, in token order, without gaps.
class Label {
 public:
  /// Adds the next tokens, as one chunk from an engine states them.
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
  std::vector<std::string> mPrompts;  ///< one a group
  int64_t mSeed = 0;
  /// \return a digest of everything above, hex; the same step opened again
  /// has the same digest
  std::string Digest() const;
  bool operator==(const StepSpec&) const = default;
};

/// What a trainer has received of a step; opaque to it.
class Receipt {
 public:
  /// \param aGroups number of groups of the step
  Receipt(StepId aId, size_t aGroups);
  static Result<Receipt> Parse(std::string_view aText, const StepId& aId,
                               size_t aGroups);
  /// \return the opaque text, URL-safe
  std::string Text() const;
  bool Has(size_t aGroup) const;
  void Add(size_t aGroup);
  size_t Count() const;
  bool Complete() const { return Count() == mHas.size(); }
  bool operator==(const Receipt&) const = default;

 private:
  StepId mId;
  std::vector<bool> mHas;
};

/// What the owner knows of a finished group.
struct GroupSummary {
  size_t mGroup = 0;
  std::string mRunner;  ///< id of the node that holds it
  uint64_t mAttempt = 0;
  int64_t mOldestVersion = 0;
  Millis mAge;  ///< of its first token, when the summary was made
  int64_t mTokens = 0;
  bool operator==(const GroupSummary&) const = default;
};

/// One group for one runner to run.
struct GroupOrder {
  size_t mGroup = 0;
  std::string mRunner;
  uint64_t mAttempt = 0;
  bool operator==(const GroupOrder&) const = default;
};

/// A runner that may be given groups.
struct RunnerCapacity {
  std::string mNode;
  int64_t mCapacity = 0;  ///< groups it could start now
};

/// What a step's owner does next.
struct StepActions {
  std::vector<GroupOrder> mRun;      ///< send these
  std::vector<GroupOrder> mCancel;   ///< losers and stale ones
  std::vector<GroupOrder> mRelease;  ///< received by the trainer; drop them
};

/// The answer to a pull: which groups to fetch from which runner.
struct PullPlan {
  std::vector<GroupSummary> mGroups;
  bool mComplete = false;  ///< the receipt names every group
};

class StepTracker {
 public:
  /// \param aRebuilding whether runners must be asked first what they hold;
  /// no group is ordered until Rebuilt()
  StepTracker(StepSpec aSpec, TrainerRule aRule, bool aRebuilding, Millis aNow);
  ~StepTracker();

  const StepSpec& Spec() const;
  /// The rule changed with the policy.
  void SetRule(TrainerRule aRule);
  /// How often the trainer's versions came lately; 0 if not known. Used once a
  /// new version has come while this step was incomplete: a trainer that makes
  /// its versions from whole steps must not wait for a forecast.
  void SetVersionInterval(Millis aInterval);
  /// A runner says what it holds or runs of this step.
  void Inventory(std::string_view aRunner,
                 const std::vector<GroupSummary>& aHeld,
                 const std::vector<GroupOrder>& aRunning, Millis aNow);
  /// Runners that run groups for an earlier owner, to which their answers go.
  /// Ask each for its inventory every two seconds or so; what none names for
  /// longer than 15 s is run again.
  std::vector<std::string> RunnersToAsk() const;
  /// All live runners were asked.
  void Rebuilt(Millis aNow);
  /// Orders groups: longest expected first, whole groups, within room, nothing
  /// that would be stale at delivery; hedges the tail if the rule allows.
  /// \param aNewest newest weight version known
  StepActions Tick(const std::vector<RunnerCapacity>& aRunners, int64_t aNewest,
                   Millis aNow);
  /// A group is finished and held by its runner.
  StepActions Finished(const GroupSummary& aSummary, Millis aNow);
  /// A runner could not run or no longer holds a group.
  void Failed(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
              Millis aNow);
  /// A runner died or left without handing over.
  void RunnerLost(std::string_view aRunner, Millis aNow);
  /// A trainer's pull. Groups in the receipt are released; held groups over
  /// the bound are dropped and made anew.
  /// \param aMaxGroups at most this many in the plan
  PullPlan Plan(const Receipt& aReceipt, int64_t aNewest, size_t aMaxGroups,
                Millis aNow, StepActions& aActions);

  /// \return when the step was opened here
  Millis OpenedAt() const;
  size_t Delivered() const;  ///< groups named by the last receipt
  size_t Held() const;
  size_t Running() const;
  size_t Waiting() const;
  uint64_t StaleDropped() const;
  std::string Dump() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Whether a group of this age and label may be delivered.
bool WithinStalenessBound(const StalenessBound& aBound, int64_t aOldestVersion,
                          int64_t aNewest, Millis aAge);

}  // namespace rillwall
