#include "rillwall/swap_plan.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

#include "swap_track.h"

namespace rillwall {

namespace {

/// An engine's place in the order.
struct EnginePlace {
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
      : mLimits(aLimits), mLoad(aLimits.mFirstLoad) {}

  void NotePause(Millis aNow) {
    if (mTicked && aNow - mLastTick >= mLimits.mPauseGap) {
      mResumedAt = aNow;
    }
    mTicked = true;
    mLastTick = aNow;
  }

  /// Ranks and spacing stay as they are until the version or the list of
  /// engines changes, so that no engine's instant moves as loads are measured.
  void RefreshRanks(const SwapInputs& aInputs, Millis aNow) {
    std::vector<std::string> ids = RankedIds(aInputs);
    if (ids == mIds && aInputs.mNewest.mVersion == mRankedVersion) {
      return;
    }
    mRankedVersion = aInputs.mNewest.mVersion;
    mIds = std::move(ids);
    mSpacing = SwapSpacing(mLimits, aInputs.mRule, aInputs.mNewest.mBytes,
                           mIds.size(), mLoad);
    const std::vector<std::string> ranked = SwapRanks(mIds, mRankedVersion);
    std::map<std::string, EnginePlace> places;
    for (size_t rank = 0; rank < ranked.size(); ++rank) {
      const auto known = mPlaces.find(ranked[rank]);
      const Millis seen = mPlaces.empty()          ? Millis(0)
                          : known == mPlaces.end() ? aNow
                                                   : known->second.mFirstSeen;
      places[ranked[rank]] = {static_cast<int64_t>(rank), seen};
    }
    mPlaces = std::move(places);
    std::erase_if(mTracks, [this](const auto& aEntry) {
      return mPlaces.find(aEntry.first) == mPlaces.end();
    });
  }

  SwapTrack& TrackOf(const std::string& aId) {
    return mTracks.try_emplace(aId, mLimits).first->second;
  }

  /// \return the instant at which an engine's first order is due; an engine
  /// that joined after the version was learned waits for none
  Millis Slot(const std::string& aId, const WeightsFact& aNewest) const {
    const EnginePlace& place = mPlaces.at(aId);
    const bool joinedLater = place.mFirstSeen > aNewest.mLearnedAt;
    return joinedLater ? place.mFirstSeen
                       : aNewest.mLearnedAt + mSpacing * place.mRank;
  }

  /// Whether what is known of the engine and of this node's authority is newer
  /// than this node's last pause.
  bool KnownSincePause(const SwapInputs& aInputs, const LoadReport& aReport) {
    const bool fences = !aInputs.mRule.mFenceIgnored ||
                        aInputs.mFencesConfirmedAt >= mResumedAt;
    mNeedsFenceCheck = mNeedsFenceCheck || !fences;
    return fences && aReport.mAt >= mResumedAt;
  }

  void Follow(const SwapInputs& aInputs, const SwapEngine& aEngine, Millis aNow,
              std::vector<SwapOrder>& aOrders) {
    SwapTrack& track = TrackOf(aEngine.mId);
    if (track.Wanted() != aInputs.mNewest.mVersion) {
      track.Want(aInputs.mNewest.mVersion);
    }
    if (!aEngine.mReport) {
      ++mBehind;
      return;
    }
    track.Observe(*aEngine.mReport, aNow, mCounts);
    LearnLoad(track.TakeLoadTime());
    if (track.Phase() == SwapPhase::Reached) {
      return;
    }
    ++mBehind;
    const Millis slot = Slot(aEngine.mId, aInputs.mNewest);
    const bool may = track.MaySend(aEngine.mFence, slot, aNow) &&
                     KnownSincePause(aInputs, *aEngine.mReport);
    if (may) {
      track.Send(aNow, mCounts);
      aOrders.push_back(
          {aEngine.mId, aInputs.mNewest.mVersion, aEngine.mFence});
    }
  }

  /// Slow loads count at once, fast ones by and by.
  void LearnLoad(Millis aLoad) {
    if (aLoad > Millis(0)) {
      mLoad = std::max(aLoad, (mLoad * 3 + aLoad) / 4);
    }
  }

  std::vector<SwapOrder> Tick(const SwapInputs& aInputs, Millis aNow) {
    NotePause(aNow);
    RefreshRanks(aInputs, aNow);
    mBehind = 0;
    mNeedsFenceCheck = false;
    std::vector<SwapOrder> orders;
    if (aInputs.mNewest.mVersion <= 0) {
      return orders;
    }
    for (const SwapEngine& engine : aInputs.mEngines) {
      if (engine.mIsController && !engine.mLeaving) {
        Follow(aInputs, engine, aNow, orders);
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
  std::map<std::string, EnginePlace> mPlaces;
  std::map<std::string, SwapTrack, std::less<>> mTracks;
  Millis mLoad;     ///< time that one load takes
  Millis mSpacing;  ///< from one rank's start to the next one's
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
  const auto track = mImpl->mTracks.find(aUpstream);
  if (track != mImpl->mTracks.end()) {
    track->second.StaleFence(aFence);
  }
}

void SwapPlan::OrderFailed(std::string_view aUpstream, Millis aNow) {
  const auto track = mImpl->mTracks.find(aUpstream);
  if (track != mImpl->mTracks.end()) {
    track->second.Fail(aNow);
  }
}

size_t SwapPlan::Behind() const { return mImpl->mBehind; }

const SwapCounts& SwapPlan::Counts() const { return mImpl->mCounts; }

bool SwapPlan::NeedsFenceCheck() const { return mImpl->mNeedsFenceCheck; }

std::string SwapPlan::Dump() const {
  boost::json::object engines;
  for (const auto& [id, track] : mImpl->mTracks) {
    engines[id] = {{"wanted", track.Wanted()},
                   {"phase", SwapPhaseName(track.Phase())},
                   {"failures", track.Failures()}};
  }
  const boost::json::object dump{
      {"behind", mImpl->mBehind},
      {"load_ms", mImpl->mLoad.Count()},
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
