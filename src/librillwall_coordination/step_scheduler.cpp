#include "step_scheduler.h"

#include <algorithm>
#include <limits>

namespace rillwall {

namespace {

/// A group is hedged after 1.5 times its expected duration, counted in halves.
constexpr int64_t kHedgeHalves = 3;
/// Finished groups needed before the expected duration is used for hedging.
constexpr size_t kMinFinishedToHedge = 3;
/// Concurrent hedges: one per this number of groups of the step, but at least
/// kMinHedges.
constexpr size_t kHedgeDivisor = 8;
constexpr size_t kMinHedges = 4;

struct Candidate {
  size_t mGroup = 0;
  double mPriority = 0;  ///< greater values come first
};

bool RanksBefore(const Candidate& aLeft, const Candidate& aRight) {
  return aLeft.mPriority != aRight.mPriority
             ? aLeft.mPriority > aRight.mPriority
             : aLeft.mGroup < aRight.mGroup;
}

/// \return the capacities of the runners, reduced to what RunnerHealth allows
std::vector<RunnerCapacity> UsableCapacities(const GroupTable& aGroups,
                                             const RunnerHealth& aHealth,
                                             const ScheduleInputs& aInputs) {
  std::vector<RunnerCapacity> capacities = aInputs.mRunners;
  for (RunnerCapacity& each : capacities) {
    if (each.mCapacity > 0 && aHealth.IsSuspect(each.mNode)) {
      const auto running = static_cast<int64_t>(aGroups.AttemptsOn(each.mNode));
      each.mCapacity =
          aHealth.Allowed(each.mNode, each.mCapacity, running, aInputs.mNow);
    }
  }
  return capacities;
}

/// The scheduling of one tick.
class SchedulingPass {
 public:
  SchedulingPass(GroupTable& aGroups, const StepEstimates& aEstimates,
                 const ScheduleInputs& aInputs,
                 std::vector<GroupOrder>& aOrders)
      : mGroups(aGroups),
        mEstimates(aEstimates),
        mInputs(aInputs),
        mOrders(aOrders),
        mPool(UsableCapacities(aGroups, aEstimates.mHealth, aInputs)),
        mBudget(InFlightBudget()) {}

  void Run() {
    if (mPool.Total() == 0 || mBudget <= 0) {
      return;
    }
    for (const Candidate& each : WaitingGroups()) {
      if (!AssignGroup(each.mGroup, mGroups.At(each.mGroup).mAvoidRunner,
                       false)) {
        return;
      }
    }
    if (mInputs.mRule.mHedge) {
      HedgeTail();
    }
  }

 private:
  /// \return attempts that may still start under the rule's limit
  int64_t InFlightBudget() const {
    if (mInputs.mRule.mMaxInFlight <= 0) {
      return std::numeric_limits<int64_t>::max();
    }
    const int64_t size = std::max<int64_t>(mInputs.mGroupSize, 1);
    const int64_t limit =
        std::max<int64_t>(mInputs.mRule.mMaxInFlight / size, 1);
    return limit - static_cast<int64_t>(mGroups.Attempts());
  }

  std::vector<Candidate> WaitingGroups() const {
    std::vector<Candidate> waiting;
    for (size_t group = 0; group < mGroups.Size(); ++group) {
      const GroupRecord& record = mGroups.At(group);
      if (record.State() == GroupState::Waiting && MayBegin(record)) {
        waiting.push_back({group, mEstimates.Tokens(record)});
      }
    }
    const size_t limit =
        std::min({waiting.size(), static_cast<size_t>(mPool.Total()),
                  static_cast<size_t>(mBudget)});
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(limit);
    std::partial_sort(waiting.begin(), end, waiting.end(), RanksBefore);
    waiting.erase(end, waiting.end());
    return waiting;
  }

  bool MayBegin(const GroupRecord& aGroup) const {
    if (mInputs.mNow < aGroup.mNotBefore) {
      return false;
    }
    const Millis duration =
        mEstimates.mDurations.Estimate(mEstimates.Tokens(aGroup));
    return mEstimates.mVersionRate.FitsBound(mInputs.mRule.mStaleness, duration,
                                             mInputs.mNow);
  }

  bool AssignGroup(size_t aGroup, std::string_view aAvoid, bool aStrict) {
    if (mBudget <= 0) {
      return false;
    }
    const std::string runner = mPool.Take(aAvoid, aStrict);
    if (runner.empty()) {
      return false;
    }
    GroupRecord& group = mGroups.At(aGroup);
    ++group.mLastAttempt;
    group.mAttempts.push_back(
        {runner, group.mLastAttempt, mInputs.mNow, mInputs.mNewest, false, {}});
    mGroups.SetState(aGroup, GroupState::Running);
    mOrders.push_back({aGroup, runner, group.mLastAttempt});
    --mBudget;
    return true;
  }

  void HedgeTail() {
    const bool tail = mGroups.Count(GroupState::Waiting) == 0;
    if (!tail || mEstimates.mDurations.Count() < kMinFinishedToHedge) {
      return;
    }
    const std::vector<Candidate> late = LateGroups();
    const size_t limit = std::max(mGroups.Size() / kHedgeDivisor, kMinHedges);
    size_t hedged = mGroups.Attempts() - mGroups.Count(GroupState::Running);
    for (const Candidate& each : late) {
      const std::string first =
          mGroups.At(each.mGroup).mAttempts.front().mRunner;
      if (hedged >= limit || !AssignGroup(each.mGroup, first, true)) {
        return;
      }
      ++hedged;
    }
  }

  /// \return running groups that are late and not hedged, the longest-running
  /// first
  std::vector<Candidate> LateGroups() const {
    std::vector<Candidate> late;
    for (size_t group = 0; group < mGroups.Size(); ++group) {
      const GroupRecord& record = mGroups.At(group);
      if (record.mAttempts.size() != 1) {
        continue;
      }
      const Millis age = mInputs.mNow - record.mAttempts.front().mStartedAt;
      if (age * 2 > Expected(record) * kHedgeHalves) {
        late.push_back({group, static_cast<double>(age.Count())});
      }
    }
    std::sort(late.begin(), late.end(), RanksBefore);
    return late;
  }

  Millis Expected(const GroupRecord& aGroup) const {
    const DurationModel& durations = mEstimates.mDurations;
    return std::max(durations.Median(),
                    durations.Estimate(mEstimates.Tokens(aGroup)));
  }

  GroupTable& mGroups;
  const StepEstimates& mEstimates;
  const ScheduleInputs& mInputs;
  std::vector<GroupOrder>& mOrders;
  CapacityPool mPool;
  int64_t mBudget;
};

}  // namespace

double StepEstimates::Tokens(const GroupRecord& aGroup) const {
  return aGroup.mPreviousTokens > 0
             ? static_cast<double>(aGroup.mPreviousTokens)
             : mLengths.Estimate(aGroup.mPromptBytes);
}

void ScheduleGroups(GroupTable& aGroups, const StepEstimates& aEstimates,
                    const ScheduleInputs& aInputs,
                    std::vector<GroupOrder>& aOrders) {
  SchedulingPass(aGroups, aEstimates, aInputs, aOrders).Run();
}

}  // namespace rillwall
