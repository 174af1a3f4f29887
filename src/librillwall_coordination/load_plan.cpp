#include "rillwall/load_plan.h"

#include <algorithm>
#include <tuple>

namespace rillwall {

namespace {

/// Before any step has told: the named version or the one before.
constexpr int64_t kUsualLag = 1;
/// Steps of a trainer that is ahead find a newer version named than they ask
/// for, and seem to allow more than the next one may: the least of some counts.
constexpr size_t kStepsRemembered = 4;
/// What serving one more model costs a replica, in parts of a typical pace: so
/// a replica that is slower by a third takes a model once the fast ones have
/// two.
constexpr double kSharedCost = 0.15;

/// How a model stands before the next load.
struct Standing {
  const LoadTarget* mTarget = nullptr;
  double mShare = 1;   ///< replicas that its part of the demand is worth
  size_t mNewest = 0;  ///< replicas with the named version, or loading it
  size_t mUsable = 0;  ///< replicas that serve its newest step
  int64_t mRoom = 0;   ///< free slots at these

  /// \return loads of the newest version against what it should get
  double Filled() const { return static_cast<double>(mNewest) / mShare; }
};

bool Usable(const LoadCandidate& aReplica, const LoadTarget& aTarget) {
  return aReplica.VersionOf(aTarget.mModel) >= aTarget.mVersion - aTarget.mLag;
}

int64_t FreeSlots(const LoadCandidate& aReplica) {
  return std::max<int64_t>(0, aReplica.mSlots - aReplica.mInFlight);
}

Standing StandingOf(const LoadTarget& aTarget, double aTotal, size_t aModels,
                    const std::vector<LoadCandidate>& aReplicas) {
  Standing standing;
  standing.mTarget = &aTarget;
  const auto all = static_cast<double>(aReplicas.size());
  const double part =
      aTotal > 0 ? aTarget.mDemand / aTotal : 1 / static_cast<double>(aModels);
  standing.mShare = std::max(1.0, part * all);
  for (const LoadCandidate& replica : aReplicas) {
    const int64_t version = replica.VersionOf(aTarget.mModel);
    if (version == 0 || replica.mDraining || replica.mFailing) {
      continue;
    }
    standing.mNewest += version >= aTarget.mVersion ? 1 : 0;
    if (Usable(replica, aTarget)) {
      ++standing.mUsable;
      standing.mRoom += replica.mLoading ? 0 : FreeSlots(replica);
    }
  }
  return standing;
}

/// \return models that a replica serves beside this one
size_t OtherModels(const LoadCandidate& aReplica,
                   const std::vector<LoadTarget>& aTargets,
                   const LoadTarget& aTarget) {
  size_t count = 0;
  for (const LoadTarget& other : aTargets) {
    const bool its = other.mModel != aTarget.mModel;
    count += its && Usable(aReplica, other) ? 1 : 0;
  }
  return count;
}

/// \return whether a model's weights may be loaded here now
bool MayLoad(const LoadCandidate& aReplica, const Standing& aStanding) {
  const LoadTarget& target = *aStanding.mTarget;
  const int64_t version = aReplica.VersionOf(target.mModel);
  if (aReplica.mLoading || aReplica.mDraining || version == 0 ||
      version >= target.mVersion) {
    return false;
  }
  if (!Usable(aReplica, target)) {
    return static_cast<double>(aStanding.mNewest) < aStanding.mShare;
  }
  // It still serves. Enough of those that do must outlast the next version, and
  // what it runs must find room at the others.
  const int64_t others = aStanding.mRoom - FreeSlots(aReplica);
  const auto steps =
      static_cast<size_t>(target.mLag + 1);  // that a load serves
  return aStanding.mNewest * steps < aStanding.mUsable &&
         static_cast<double>(aStanding.mNewest) < aStanding.mShare &&
         others >= aReplica.RunsOf(target.mModel);
}

/// \return the replica that should load a model's weights, null if none should
LoadCandidate* BestFor(const Standing& aStanding,
                       const std::vector<LoadTarget>& aTargets,
                       std::vector<LoadCandidate>& aReplicas) {
  const LoadTarget& target = *aStanding.mTarget;
  using Rank =
      std::tuple<bool, bool, int64_t, double, int64_t, const std::string&>;
  const auto rank = [&](const LoadCandidate& aReplica) -> Rank {
    const auto others =
        static_cast<double>(OtherModels(aReplica, aTargets, target));
    return {aReplica.mFailing,
            Usable(aReplica, target),
            aReplica.RunsOf(target.mModel),
            aReplica.mPace + kSharedCost * others,
            aReplica.mInFlight,
            aReplica.mId};
  };
  LoadCandidate* best = nullptr;
  for (LoadCandidate& replica : aReplicas) {
    if (MayLoad(replica, aStanding) &&
        (best == nullptr || rank(replica) < rank(*best))) {
      best = &replica;
    }
  }
  return best;
}

}  // namespace

void AllowedLag::Observe(int64_t aNamed, int64_t aMinVersion) {
  mRecent.push_back(std::max<int64_t>(0, aNamed - aMinVersion));
  if (mRecent.size() > kStepsRemembered) {
    mRecent.pop_front();
  }
}

int64_t AllowedLag::Versions() const {
  if (mRecent.empty()) {
    return kUsualLag;
  }
  std::deque<int64_t> sorted = mRecent;
  std::sort(sorted.begin(), sorted.end());
  // A single step that seems to take the newest only came before the name of
  // its version was known here.
  const bool early = sorted.size() > 1 && sorted[0] == 0;
  return early ? sorted[1] : sorted[0];
}

int64_t LoadCandidate::VersionOf(const std::string& aModel) const {
  int64_t newest = 0;
  for (const ModelVersion& version : mVersions) {
    newest = version.mModel == aModel ? version.mVersion : newest;
  }
  const bool loads = mLoading && mLoading->mModel == aModel;
  return loads ? std::max(newest, mLoading->mVersion) : newest;
}

int64_t LoadCandidate::RunsOf(const std::string& aModel) const {
  const auto found = mRuns.find(aModel);
  return found == mRuns.end() ? 0 : found->second;
}

std::vector<LoadPick> PlanLoads(std::vector<LoadCandidate> aReplicas,
                                const std::vector<LoadTarget>& aTargets,
                                size_t aAtOnce) {
  double total = 0;
  for (const LoadTarget& target : aTargets) {
    total += target.mDemand;
  }
  auto loading = static_cast<size_t>(std::count_if(
      aReplicas.begin(), aReplicas.end(),
      [](const LoadCandidate& aReplica) { return aReplica.mLoading; }));
  std::vector<LoadPick> picks;
  while (loading < aAtOnce) {
    // The model with the fewest loads of its newest version is served first.
    std::optional<Standing> neediest;
    LoadCandidate* replica = nullptr;
    for (const LoadTarget& target : aTargets) {
      const Standing standing =
          StandingOf(target, total, aTargets.size(), aReplicas);
      LoadCandidate* best = BestFor(standing, aTargets, aReplicas);
      if (best != nullptr &&
          (!neediest || standing.Filled() < neediest->Filled())) {
        neediest = standing;
        replica = best;
      }
    }
    if (!neediest) {
      break;
    }
    const LoadTarget& target = *neediest->mTarget;
    picks.push_back(
        {replica->mId, target.mModel, target.mVersion, target.mCutRuns});
    replica->mLoading = ModelVersion{target.mModel, target.mVersion};
    ++loading;
  }
  return picks;
}

}  // namespace rillwall
