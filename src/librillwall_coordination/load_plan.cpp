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

/// Texts of a step that is expected, before any has told.
constexpr int64_t kUsualTexts = 256;
/// Share of the slots of a version's replicas, in percent, that its step leaves
/// free: batches that are not full are faster, and half of the replicas may be
/// lost.
constexpr int64_t kSparePercent = 50;
constexpr int64_t kPercent = 100;

/// How a model stands before the next load.
struct Standing {
  size_t mTarget = 0;  ///< index of the target
  double mShare = 1;   ///< replicas that its part of the demand is worth
  size_t mNewest = 0;  ///< replicas with the named version, or loading it
  size_t mUsable = 0;  ///< replicas that serve its newest step
  int64_t mRoom = 0;   ///< free slots at these

  /// \return loads of the newest version against what it should get
  double Filled() const { return static_cast<double>(mNewest) / mShare; }
};

int64_t FreeSlots(const LoadCandidate& aReplica) {
  return std::max<int64_t>(0, aReplica.mSlots - aReplica.mInFlight);
}

/// Replicas and targets of one plan. The versions are looked up by name once:
/// each choice then costs as many comparisons of numbers as there are replicas
/// times targets.
class LoadTable {
 public:
  LoadTable(std::vector<LoadCandidate> aReplicas,
            const std::vector<LoadTarget>& aTargets);

  size_t Loading() const;
  Standing StandingOf(size_t aTarget) const;
  /// \return index of the replica that should load a model's weights
  std::optional<size_t> BestFor(const Standing& aStanding) const;
  PlannedLoad Order(const Standing& aStanding, size_t aReplica);

 private:
  int64_t Version(size_t aReplica, size_t aTarget) const {
    return mVersions[aReplica * mTargets.size() + aTarget];
  }
  bool Usable(size_t aReplica, size_t aTarget) const;
  /// \return models that a replica serves beside this one
  size_t OtherModels(size_t aReplica, size_t aTarget) const;
  /// \return whether a model's weights may be loaded here now
  bool MayLoad(size_t aReplica, const Standing& aStanding) const;

  std::vector<LoadCandidate> mReplicas;
  const std::vector<LoadTarget>& mTargets;
  std::vector<int64_t> mVersions;  ///< by replica, then by target
  double mDemand = 0;              ///< of all targets
  int64_t mSlots = 1;              ///< of a typical replica
};

LoadTable::LoadTable(std::vector<LoadCandidate> aReplicas,
                     const std::vector<LoadTarget>& aTargets)
    : mReplicas(std::move(aReplicas)), mTargets(aTargets) {
  mVersions.reserve(mReplicas.size() * mTargets.size());
  for (const LoadCandidate& replica : mReplicas) {
    for (const LoadTarget& target : mTargets) {
      mVersions.push_back(replica.VersionOf(target.mModel));
    }
  }
  for (const LoadTarget& target : mTargets) {
    mDemand += target.mDemand;
  }
  int64_t slots = 0;
  for (const LoadCandidate& replica : mReplicas) {
    slots += replica.mSlots;
  }
  const auto count =
      static_cast<int64_t>(std::max<size_t>(1, mReplicas.size()));
  mSlots = std::max<int64_t>(1, slots / count);
}

size_t LoadTable::Loading() const {
  return static_cast<size_t>(std::count_if(
      mReplicas.begin(), mReplicas.end(),
      [](const LoadCandidate& aReplica) { return aReplica.mLoading; }));
}

bool LoadTable::Usable(size_t aReplica, size_t aTarget) const {
  const LoadTarget& target = mTargets[aTarget];
  return Version(aReplica, aTarget) >= target.mVersion - target.mAllowedLag;
}

Standing LoadTable::StandingOf(size_t aTarget) const {
  const LoadTarget& target = mTargets[aTarget];
  Standing standing;
  standing.mTarget = aTarget;
  const auto all = static_cast<double>(mReplicas.size());
  const double part = mDemand > 0 ? target.mDemand / mDemand
                                  : 1 / static_cast<double>(mTargets.size());
  const auto enough = static_cast<double>(ReplicasFor(target, mSlots));
  standing.mShare = std::max(1.0, std::min(part * all, enough));
  for (size_t i = 0; i < mReplicas.size(); ++i) {
    const LoadCandidate& replica = mReplicas[i];
    const int64_t version = Version(i, aTarget);
    if (version == 0 || replica.mDraining || replica.mFailing) {
      continue;
    }
    standing.mNewest += version >= target.mVersion ? 1 : 0;
    if (Usable(i, aTarget)) {
      ++standing.mUsable;
      standing.mRoom += replica.mLoading ? 0 : FreeSlots(replica);
    }
  }
  return standing;
}

size_t LoadTable::OtherModels(size_t aReplica, size_t aTarget) const {
  size_t count = 0;
  for (size_t other = 0; other < mTargets.size(); ++other) {
    count += other != aTarget && Usable(aReplica, other) ? 1 : 0;
  }
  return count;
}

bool LoadTable::MayLoad(size_t aReplica, const Standing& aStanding) const {
  const LoadCandidate& replica = mReplicas[aReplica];
  const LoadTarget& target = mTargets[aStanding.mTarget];
  const int64_t version = Version(aReplica, aStanding.mTarget);
  if (replica.mLoading || replica.mDraining || version == 0 ||
      version >= target.mVersion) {
    return false;
  }
  if (!Usable(aReplica, aStanding.mTarget)) {
    return static_cast<double>(aStanding.mNewest) < aStanding.mShare;
  }
  // It still serves. Enough of those that do must outlast the next version, and
  // what it runs must find room at the others.
  const int64_t others = aStanding.mRoom - FreeSlots(replica);
  const auto steps =
      static_cast<size_t>(target.mAllowedLag + 1);  // that a load serves
  return aStanding.mNewest * steps < aStanding.mUsable &&
         static_cast<double>(aStanding.mNewest) < aStanding.mShare &&
         others >= replica.RunsOf(target.mModel);
}

std::optional<size_t> LoadTable::BestFor(const Standing& aStanding) const {
  const std::string& model = mTargets[aStanding.mTarget].mModel;
  using Rank =
      std::tuple<bool, bool, int64_t, double, int64_t, const std::string&>;
  const auto rank = [&](size_t aIndex) -> Rank {
    const LoadCandidate& replica = mReplicas[aIndex];
    const auto others =
        static_cast<double>(OtherModels(aIndex, aStanding.mTarget));
    return {replica.mFailing,      Usable(aIndex, aStanding.mTarget),
            replica.RunsOf(model), replica.mPace + kSharedCost * others,
            replica.mInFlight,     replica.mId};
  };
  std::optional<size_t> best;
  for (size_t i = 0; i < mReplicas.size(); ++i) {
    if (MayLoad(i, aStanding) && (!best || rank(i) < rank(*best))) {
      best = i;
    }
  }
  return best;
}

PlannedLoad LoadTable::Order(const Standing& aStanding, size_t aReplica) {
  const LoadTarget& target = mTargets[aStanding.mTarget];
  LoadCandidate& replica = mReplicas[aReplica];
  replica.mLoading = ModelVersion{target.mModel, target.mVersion};
  mVersions[aReplica * mTargets.size() + aStanding.mTarget] = target.mVersion;
  return {replica.mId, target.mModel, target.mVersion, target.mAbortRuns};
}

}  // namespace

size_t ReplicasFor(const LoadTarget& aTarget, int64_t aSlots) {
  const int64_t texts = aTarget.mTexts > 0 ? aTarget.mTexts : kUsualTexts;
  const int64_t slots =
      std::max<int64_t>(1, aSlots * (kPercent - kSparePercent));
  return static_cast<size_t>((texts * kPercent + slots - 1) / slots);
}

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

std::vector<PlannedLoad> PlanLoads(std::vector<LoadCandidate> aReplicas,
                                   const std::vector<LoadTarget>& aTargets,
                                   size_t aAtOnce) {
  LoadTable table(std::move(aReplicas), aTargets);
  std::vector<PlannedLoad> picks;
  for (size_t loading = table.Loading(); loading < aAtOnce; ++loading) {
    // The model with the fewest loads of its newest version is served first.
    std::optional<Standing> neediest;
    size_t replica = 0;
    for (size_t target = 0; target < aTargets.size(); ++target) {
      const Standing standing = table.StandingOf(target);
      const std::optional<size_t> best = table.BestFor(standing);
      if (best && (!neediest || standing.Filled() < neediest->Filled())) {
        neediest = standing;
        replica = *best;
      }
    }
    if (!neediest) {
      break;
    }
    picks.push_back(table.Order(*neediest, replica));
  }
  return picks;
}

}  // namespace rillwall
