#include "step_scheduler.h"

#include <algorithm>
#include <limits>

namespace rillwall {

namespace {

/// A group is hedged once it has run this many halves of its expected time.
constexpr int64_t kHedgeHalves = 3;
/// Finished groups needed before "expected" means anything.
constexpr size_t kHedgeMinFinished = 3;
/// Hedges at once: this part of the step's groups, but some in any case.
constexpr size_t kHedgePart = 8;
constexpr size_t kHedgeMinimum = 4;

struct Candidate {
  size_t mGroup = 0;
  double mOrder = 0;  ///< the greatest goes first
};

bool GoesFirst(const Candidate& aLeft, const Candidate& aRight) {
  return aLeft.mOrder != aRight.mOrder ? aLeft.mOrder > aRight.mOrder
                                       : aLeft.mGroup < aRight.mGroup;
}

/// The room of the runners that may be given groups now.
std::vector<RunnerCapacity> UsableRooms(const GroupTable& aGroups,
                                        const RunnerHealth& aHealth,
                                        const ScheduleInputs& aInputs) {
  std::vector<RunnerCapacity> rooms = aInputs.mRunners;
  for (RunnerCapacity& each : rooms) {
    if (each.mCapacity > 0 && aHealth.Suspect(each.mNode)) {
      const auto running = static_cast<int64_t>(aGroups.AttemptsOn(each.mNode));
      each.mCapacity =
          aHealth.Allowed(each.mNode, each.mCapacity, running, aInputs.mNow);
    }
  }
  return rooms;
}

/// One tick's work.
class Tick {
 public:
  Tick(GroupTable& aGroups, const StepEstimates& aEstimates,
       const ScheduleInputs& aInputs, std::vector<GroupOrder>& aOrders)
      : mGroups(aGroups),
        mEstimates(aEstimates),
        mInputs(aInputs),
        mOrders(aOrders),
        mPool(UsableRooms(aGroups, aEstimates.mHealth, aInputs)),
        mBudget(InFlightBudget()) {}

  void Run() {
    if (mPool.Total() == 0 || mBudget <= 0) {
      return;
    }
    for (const Candidate& each : WaitingGroups()) {
      if (!Order(each.mGroup, mGroups.At(each.mGroup).mAvoid, false)) {
        return;
      }
    }
    if (mInputs.mRule.mHedge) {
      HedgeTail();
    }
  }

 private:
  /// \return attempts that may still be begun under the rule's limit
  int64_t InFlightBudget() const {
    if (mInputs.mRule.mMaxInFlight <= 0) {
      return std::numeric_limits<int64_t>::max();
    }
    const int64_t size = std::max<int64_t>(mInputs.mGroupSize, 1);
    const int64_t most =
        std::max<int64_t>(mInputs.mRule.mMaxInFlight / size, 1);
    return most - static_cast<int64_t>(mGroups.Attempts());
  }

  std::vector<Candidate> WaitingGroups() const {
    std::vector<Candidate> waiting;
    for (size_t group = 0; group < mGroups.Size(); ++group) {
      const GroupRecord& record = mGroups.At(group);
      if (record.State() == GroupState::Waiting && MayBegin(record)) {
        waiting.push_back({group, mEstimates.Tokens(record)});
      }
    }
    const size_t most =
        std::min({waiting.size(), static_cast<size_t>(mPool.Total()),
                  static_cast<size_t>(mBudget)});
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(most);
    std::partial_sort(waiting.begin(), end, waiting.end(), GoesFirst);
    waiting.erase(end, waiting.end());
    return waiting;
  }

  bool MayBegin(const GroupRecord& aGroup) const {
    if (mInputs.mNow < aGroup.mNotBefore) {
      return false;
    }
    const Millis duration =
        mEstimates.mDurations.Expect(mEstimates.Tokens(aGroup));
    return mEstimates.mPace.FitsBound(mInputs.mRule.mStaleness, duration,
                                      mInputs.mNow);
  }

  bool Order(size_t aGroup, std::string_view aAvoid, bool aStrict) {
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
    if (!tail || mEstimates.mDurations.Count() < kHedgeMinFinished) {
      return;
    }
    const std::vector<Candidate> late = LateGroups();
    const size_t most = std::max(mGroups.Size() / kHedgePart, kHedgeMinimum);
    size_t hedged = mGroups.Attempts() - mGroups.Count(GroupState::Running);
    for (const Candidate& each : late) {
      const std::string first =
          mGroups.At(each.mGroup).mAttempts.front().mRunner;
      if (hedged >= most || !Order(each.mGroup, first, true)) {
        return;
      }
      ++hedged;
    }
  }

  /// \return running groups that are late and not hedged, the latest first
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
    std::sort(late.begin(), late.end(), GoesFirst);
    return late;
  }

  Millis Expected(const GroupRecord& aGroup) const {
    const DurationModel& durations = mEstimates.mDurations;
    return std::max(durations.Median(),
                    durations.Expect(mEstimates.Tokens(aGroup)));
  }

  GroupTable& mGroups;
  const StepEstimates& mEstimates;
  const ScheduleInputs& mInputs;
  std::vector<GroupOrder>& mOrders;
  RoomPool mPool;
  int64_t mBudget;
};

}  // namespace

double StepEstimates::Tokens(const GroupRecord& aGroup) const {
  return aGroup.mSeenTokens > 0 ? static_cast<double>(aGroup.mSeenTokens)
                                : mLengths.Expect(aGroup.mPromptBytes);
}

void ScheduleGroups(GroupTable& aGroups, const StepEstimates& aEstimates,
                    const ScheduleInputs& aInputs,
                    std::vector<GroupOrder>& aOrders) {
  Tick(aGroups, aEstimates, aInputs, aOrders).Run();
}

}  // namespace rillwall
