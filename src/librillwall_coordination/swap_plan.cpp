#include "rillwall/swap_plan.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

#include "swap_progress.h"

namespace rillwall {

namespace {

/// Rank of an engine, and the time at which it joined the list of engines.
struct EngineSchedule {
  int64_t mRank = 0;
  Millis mFirstSeen;
};

std::vector<std::string> RankedIds(const SwapInputs& aInputs) {
  std::vector<std::string> ids;
  for (const SwapEngine& engine : aInputs.mEngines) {
    if (!engine.mLeaving) {
      ids.push_back(engine.mId);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace

struct SwapPlan::Impl {
  explicit Impl(SwapLimits aLimits)
      : mLimits(aLimits), mLoadTime(aLimits.mInitialLoadTime) {}

  void DetectPause(Millis aNow) {
    if (mTicked && aNow - mLastTick >= mLimits.mPauseThreshold) {
      mResumedAt = aNow;
    }
    mTicked = true;
    mLastTick = aNow;
  }

  /// Recomputes ranks and spacing when the version or the list of engines has
  /// changed. In between they stay constant, so that measured load times do not
  /// move the scheduled starts.
  void RefreshRanks(const SwapInputs& aInputs, Millis aNow) {
    std::vector<std::string> ids = RankedIds(aInputs);
    if (ids == mIds && aInputs.mNewest.mVersion == mRankedVersion) {
      return;
    }
    mRankedVersion = aInputs.mNewest.mVersion;
    mIds = std::move(ids);
    mSpacing = SwapSpacing(mLimits, aInputs.mRule, aInputs.mNewest.mBytes,
                           mIds.size(), mLoadTime);
    const std::vector<std::string> ranked = SwapRanks(mIds, mRankedVersion);
    std::map<std::string, EngineSchedule> schedules;
    for (size_t rank = 0; rank < ranked.size(); ++rank) {
      const auto known = mSchedules.find(ranked[rank]);
      const Millis seen = mSchedules.empty() ? Millis(0)
                          : known == mSchedules.end()
                              ? aNow
                              : known->second.mFirstSeen;
      schedules[ranked[rank]] = {static_cast<int64_t>(rank), seen};
    }
    mSchedules = std::move(schedules);
    std::erase_if(mProgress, [this](const auto& aEntry) {
      return mSchedules.find(aEntry.first) == mSchedules.end();
    });
  }

  SwapProgress& ProgressOf(const std::string& aId) {
    return mProgress.try_emplace(aId, mLimits).first->second;
  }

  /// \return time at which the first order for an engine is due. For an engine
  /// that joined after the version was learned, the time at which it joined.
  Millis ScheduledStart(const std::string& aId,
                        const NewestWeights& aNewest) const {
    const EngineSchedule& schedule = mSchedules.at(aId);
    const bool joinedLater = schedule.mFirstSeen > aNewest.mLearnedAt;
    return joinedLater ? schedule.mFirstSeen
                       : aNewest.mLearnedAt + mSpacing * schedule.mRank;
  }

  /// \return whether the report of the engine, and the confirmation of the
  /// fencing numbers if the engine ignores them, are newer than the last pause
  /// of this node
  bool ConfirmedSincePause(const SwapInputs& aInputs,
                           const LoadReport& aReport) {
    const bool fences = !aInputs.mRule.mFenceIgnored ||
                        aInputs.mFencesConfirmedAt >= mResumedAt;
    mNeedsFenceCheck = mNeedsFenceCheck || !fences;
    return fences && aReport.mAt >= mResumedAt;
  }

  void UpdateEngine(const SwapInputs& aInputs, const SwapEngine& aEngine,
                    Millis aNow, std::vector<SwapOrder>& aOrders) {
    SwapProgress& progress = ProgressOf(aEngine.mId);
    if (progress.TargetVersion() != aInputs.mNewest.mVersion) {
      progress.SetTarget(aInputs.mNewest.mVersion);
    }
    if (!aEngine.mReport) {
      ++mBehind;
      return;
    }
    progress.Observe(*aEngine.mReport, aNow, mCounts);
    UpdateLoadTime(progress.TakeLoadTime());
    if (progress.Phase() == SwapPhase::Reached) {
      return;
    }
    ++mBehind;
    const Millis start = ScheduledStart(aEngine.mId, aInputs.mNewest);
    const bool mayOrder = progress.MaySend(aEngine.mFence, start, aNow) &&
                          ConfirmedSincePause(aInputs, *aEngine.mReport);
    if (mayOrder) {
      progress.Send(aNow, mCounts);
      aOrders.push_back(
          {aEngine.mId, aInputs.mNewest.mVersion, aEngine.mFence});
    }
  }

  /// Updates the estimate of the load time: a longer load raises it at once,
  /// shorter loads lower it gradually.
  void UpdateLoadTime(Millis aLoadTime) {
    if (aLoadTime > Millis(0)) {
      mLoadTime = std::max(aLoadTime, (mLoadTime * 3 + aLoadTime) / 4);
    }
  }

  std::vector<SwapOrder> Tick(const SwapInputs& aInputs, Millis aNow) {
    DetectPause(aNow);
    RefreshRanks(aInputs, aNow);
    mBehind = 0;
    mNeedsFenceCheck = false;
    std::vector<SwapOrder> orders;
    if (aInputs.mNewest.mVersion <= 0) {
      return orders;
    }
    for (const SwapEngine& engine : aInputs.mEngines) {
      if (engine.mIsController && !engine.mLeaving) {
        UpdateEngine(aInputs, engine, aNow, orders);
      }
    }
    return orders;
  }

  SwapLimits mLimits;
  bool mTicked = false;
  Millis mLastTick;
  Millis mResumedAt;
  std::vector<std::string> mIds;
  int64_t mRankedVersion = 0;
  std::map<std::string, EngineSchedule> mSchedules;
  std::map<std::string, SwapProgress, std::less<>> mProgress;
  Millis mLoadTime;  ///< estimated duration of one load
  Millis mSpacing;   ///< between the starts of consecutive ranks
  size_t mBehind = 0;
  bool mNeedsFenceCheck = false;
  SwapCounts mCounts;
};

SwapPlan::SwapPlan(SwapLimits aLimits)
    : mImpl(std::make_unique<Impl>(aLimits)) {}

SwapPlan::~SwapPlan() = default;

std::vector<SwapOrder> SwapPlan::Tick(const SwapInputs& aInputs, Millis aNow) {
  return mImpl->Tick(aInputs, aNow);
}

void SwapPlan::StaleFence(std::string_view aUpstream, uint64_t aFence) {
  ++mImpl->mCounts.mStaleFences;
  const auto progress = mImpl->mProgress.find(aUpstream);
  if (progress != mImpl->mProgress.end()) {
    progress->second.StaleFence(aFence);
  }
}

void SwapPlan::OrderFailed(std::string_view aUpstream, Millis aNow) {
  const auto progress = mImpl->mProgress.find(aUpstream);
  if (progress != mImpl->mProgress.end()) {
    progress->second.Fail(aNow);
  }
}

size_t SwapPlan::Behind() const { return mImpl->mBehind; }

const SwapCounts& SwapPlan::Counts() const { return mImpl->mCounts; }

bool SwapPlan::NeedsFenceCheck() const { return mImpl->mNeedsFenceCheck; }

std::string SwapPlan::Dump() const {
  boost::json::object engines;
  for (const auto& [id, progress] : mImpl->mProgress) {
    engines[id] = {{"wanted", progress.TargetVersion()},
                   {"phase", SwapPhaseName(progress.Phase())},
                   {"failures", progress.Failures()}};
  }
  const boost::json::object dump{
      {"behind", mImpl->mBehind},
      {"load_ms", mImpl->mLoadTime.Count()},
      {"spacing_ms", mImpl->mSpacing.Count()},
      {"orders", mImpl->mCounts.mOrders},
      {"retries", mImpl->mCounts.mRetries},
      {"reconciled", mImpl->mCounts.mReconciled},
      {"stale_fences", mImpl->mCounts.mStaleFences},
      {"engines", engines},
  };
  return boost::json::serialize(dump);
}

}  // namespace rillwall
