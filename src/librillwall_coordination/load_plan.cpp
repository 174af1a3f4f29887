#include "rillwall/load_plan.h"

#include <algorithm>
#include <tuple>

#include "rillwall/numbers.h"

namespace rillwall {

namespace {

/// Allowed lag before any step has been observed: the named version or the one
/// before it.
constexpr int64_t kDefaultLag = 1;
/// Steps of a trainer that is ahead see a newer named version than they ask
/// for, and seem to allow a larger lag than the next step may. The smallest lag
/// of several steps is therefore used.
constexpr size_t kRecentSteps = 4;
/// Cost of serving one more model, relative to the typical time per event. With
/// it, a replica that is slower by a third gets a model once the fast replicas
/// have two.
constexpr double kExtraModelCost = 0.15;

/// Assumed texts of a step before any step has been observed.
constexpr int64_t kDefaultTexts = 256;
/// Percentage of the slots of a version's replicas that its step leaves free:
/// batches that are not full are faster, and half of the replicas may be lost.
constexpr int64_t kFreeSlotPercent = 50;
constexpr int64_t kPercent = 100;

/// State of one target before the next load.
struct TargetStatus {
  size_t mTarget = 0;        ///< index of the target
  double mReplicaShare = 1;  ///< replicas for its share of the demand
  size_t mNewest = 0;        ///< replicas that have or load the named version
  size_t mUsable = 0;        ///< replicas that can serve its newest step
  int64_t mFreeSlots = 0;    ///< free slots of the usable replicas
  /// Most urgent step whose version is on too few replicas, or null.
  const VersionNeed* mNeed = nullptr;

  /// \return loads of the newest version relative to the wanted number
  double FillRatio() const {
    return static_cast<double>(mNewest) / mReplicaShare;
  }
  /// \return whether the model is loaded before another: models of steps that
  /// would be late come first, then the one with the lowest fill ratio
  bool Before(const TargetStatus& aOther) const {
    if (mNeed != nullptr && aOther.mNeed != nullptr) {
      return mNeed->mSlack < aOther.mNeed->mSlack;
    }
    return mNeed != nullptr ||
           (aOther.mNeed == nullptr && FillRatio() < aOther.FillRatio());
  }
};

int64_t FreeSlots(const LoadCandidate& aReplica) {
  return std::max<int64_t>(0, aReplica.mSlots - aReplica.mInFlight);
}

/// \return the usual slots of a replica that answers; at least 1
int64_t UsualSlots(const std::vector<LoadCandidate>& aReplicas) {
  std::vector<int64_t> all;
  std::vector<int64_t> answering;
  for (const LoadCandidate& replica : aReplicas) {
    all.push_back(replica.mSlots);
    if (!replica.mFailing) {
      answering.push_back(replica.mSlots);
    }
  }
  const int64_t slots = MedianOr(std::move(answering), MedianOr(all, 1));
  return std::max<int64_t>(1, slots);
}

/// Replicas and targets of one plan. Versions are looked up by name once, so
/// that a choice costs one integer comparison per replica and target.
class LoadTable {
 public:
  LoadTable(std::vector<LoadCandidate> aReplicas,
            const std::vector<LoadTarget>& aTargets,
            const std::vector<VersionNeed>& aNeeds);

  size_t Loading() const;
  TargetStatus StatusOf(size_t aTarget) const;
  /// \return index of the replica that should load the weights of a model
  std::optional<size_t> BestReplica(const TargetStatus& aStatus) const;
  PlannedLoad StartLoad(const TargetStatus& aStatus, size_t aReplica);

 private:
  int64_t Version(size_t aReplica, size_t aTarget) const {
    return mVersions[aReplica * mTargets.size() + aTarget];
  }
  bool Usable(size_t aReplica, size_t aTarget) const;
  /// \return whether fewer replicas than needed have or load the version
  bool Unmet(const VersionNeed& aNeed, size_t aTarget) const;
  /// \return the unmet need with the least slack, or null
  const VersionNeed* MostUrgentNeed(size_t aTarget) const;
  /// \return number of other models that a replica serves
  size_t OtherModels(size_t aReplica, size_t aTarget) const;
  /// \return whether the weights of a model may be loaded there now
  bool MayLoad(size_t aReplica, const TargetStatus& aStatus) const;

  std::vector<LoadCandidate> mReplicas;
  const std::vector<LoadTarget>& mTargets;
  const std::vector<VersionNeed>& mNeeds;
  std::vector<int64_t> mVersions;  ///< by replica, then by target
  double mDemand = 0;              ///< of all targets
  int64_t mSlots = 1;              ///< usual ones of a replica
};

LoadTable::LoadTable(std::vector<LoadCandidate> aReplicas,
                     const std::vector<LoadTarget>& aTargets,
                     const std::vector<VersionNeed>& aNeeds)
    : mReplicas(std::move(aReplicas)), mTargets(aTargets), mNeeds(aNeeds) {
  mVersions.reserve(mReplicas.size() * mTargets.size());
  for (const LoadCandidate& replica : mReplicas) {
    for (const LoadTarget& target : mTargets) {
      mVersions.push_back(replica.VersionOf(target.mModel));
    }
  }
  for (const LoadTarget& target : mTargets) {
    mDemand += target.mDemand;
  }
  mSlots = UsualSlots(mReplicas);
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

bool LoadTable::Unmet(const VersionNeed& aNeed, size_t aTarget) const {
  int64_t count = 0;
  for (size_t i = 0; i < mReplicas.size(); ++i) {
    const LoadCandidate& replica = mReplicas[i];
    const int64_t version = Version(i, aTarget);
    count += version > 0 && version >= aNeed.mMinVersion &&
                     !replica.mDraining && !replica.mFailing
                 ? 1
                 : 0;
  }
  return count < aNeed.mReplicas;
}

const VersionNeed* LoadTable::MostUrgentNeed(size_t aTarget) const {
  const LoadTarget& target = mTargets[aTarget];
  const VersionNeed* urgent = nullptr;
  for (const VersionNeed& need : mNeeds) {
    // A version that is not named yet cannot be loaded.
    if (need.mModel == target.mModel && need.mMinVersion <= target.mVersion &&
        (urgent == nullptr || need.mSlack < urgent->mSlack) &&
        Unmet(need, aTarget)) {
      urgent = &need;
    }
  }
  return urgent;
}

TargetStatus LoadTable::StatusOf(size_t aTarget) const {
  const LoadTarget& target = mTargets[aTarget];
  TargetStatus status;
  status.mTarget = aTarget;
  status.mNeed = MostUrgentNeed(aTarget);
  const auto all = static_cast<double>(mReplicas.size());
  const double part = mDemand > 0 ? target.mDemand / mDemand
                                  : 1 / static_cast<double>(mTargets.size());
  const auto needed = static_cast<double>(ReplicasFor(target, mSlots));
  status.mReplicaShare = std::max(1.0, std::min(part * all, needed));
  for (size_t i = 0; i < mReplicas.size(); ++i) {
    const LoadCandidate& replica = mReplicas[i];
    const int64_t version = Version(i, aTarget);
    if (version == 0 || replica.mDraining || replica.mFailing) {
      continue;
    }
    status.mNewest += version >= target.mVersion ? 1 : 0;
    if (Usable(i, aTarget)) {
      ++status.mUsable;
      status.mFreeSlots += replica.mLoading ? 0 : FreeSlots(replica);
    }
  }
  return status;
}

size_t LoadTable::OtherModels(size_t aReplica, size_t aTarget) const {
  size_t count = 0;
  for (size_t other = 0; other < mTargets.size(); ++other) {
    count += other != aTarget && Usable(aReplica, other) ? 1 : 0;
  }
  return count;
}

bool LoadTable::MayLoad(size_t aReplica, const TargetStatus& aStatus) const {
  const LoadCandidate& replica = mReplicas[aReplica];
  const LoadTarget& target = mTargets[aStatus.mTarget];
  const int64_t version = Version(aReplica, aStatus.mTarget);
  if (replica.mLoading || replica.mDraining || version == 0 ||
      version >= target.mVersion) {
    return false;
  }
  const int64_t others = aStatus.mFreeSlots - FreeSlots(replica);
  if (aStatus.mNeed != nullptr && version < aStatus.mNeed->mMinVersion &&
      !replica.mFailing) {
    // The step gets nothing of the replica as it is. Running texts of older
    // steps must fit into the free slots of the others.
    return replica.RunsOf(target.mModel) == 0 ||
           others >= replica.RunsOf(target.mModel);
  }
  if (!Usable(aReplica, aStatus.mTarget)) {
    return static_cast<double>(aStatus.mNewest) < aStatus.mReplicaShare;
  }
  // The replica still serves its weights. Enough usable replicas must remain
  // for the next version, and its running texts must fit into the free slots of
  // the others. One load serves as many steps as the allowed lag plus one.
  const auto steps = static_cast<size_t>(target.mAllowedLag + 1);
  return aStatus.mNewest * steps < aStatus.mUsable &&
         static_cast<double>(aStatus.mNewest) < aStatus.mReplicaShare &&
         others >= replica.RunsOf(target.mModel);
}

std::optional<size_t> LoadTable::BestReplica(
    const TargetStatus& aStatus) const {
  const std::string& model = mTargets[aStatus.mTarget].mModel;
  using Rank =
      std::tuple<bool, bool, int64_t, double, int64_t, const std::string&>;
  const auto rank = [&](size_t aIndex) -> Rank {
    const LoadCandidate& replica = mReplicas[aIndex];
    const auto others =
        static_cast<double>(OtherModels(aIndex, aStatus.mTarget));
    return {replica.mFailing,      Usable(aIndex, aStatus.mTarget),
            replica.RunsOf(model), replica.mPace + kExtraModelCost * others,
            replica.mInFlight,     replica.mId};
  };
  std::optional<size_t> best;
  for (size_t i = 0; i < mReplicas.size(); ++i) {
    if (MayLoad(i, aStatus) && (!best || rank(i) < rank(*best))) {
      best = i;
    }
  }
  return best;
}

PlannedLoad LoadTable::StartLoad(const TargetStatus& aStatus, size_t aReplica) {
  const LoadTarget& target = mTargets[aStatus.mTarget];
  LoadCandidate& replica = mReplicas[aReplica];
  replica.mLoading = ModelVersion{target.mModel, target.mVersion};
  mVersions[aReplica * mTargets.size() + aStatus.mTarget] = target.mVersion;
  return {replica.mId, target.mModel, target.mVersion, target.mAbortRuns,
          aStatus.mNeed != nullptr};
}

}  // namespace

size_t ReplicasFor(const LoadTarget& aTarget, int64_t aSlots) {
  const int64_t texts = aTarget.mTexts > 0 ? aTarget.mTexts : kDefaultTexts;
  const int64_t slots =
      std::max<int64_t>(1, aSlots * (kPercent - kFreeSlotPercent));
  return static_cast<size_t>((texts * kPercent + slots - 1) / slots);
}

void AllowedLag::Observe(int64_t aNamed, int64_t aMinVersion) {
  mRecent.push_back(std::max<int64_t>(0, aNamed - aMinVersion));
  if (mRecent.size() > kRecentSteps) {
    mRecent.pop_front();
  }
}

int64_t AllowedLag::Versions() const {
  if (mRecent.empty()) {
    return kDefaultLag;
  }
  std::deque<int64_t> sorted = mRecent;
  std::sort(sorted.begin(), sorted.end());
  // A single step that seems to accept only the newest version arrived before
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
                                   size_t aMaxConcurrent,
                                   const std::vector<VersionNeed>& aNeeds) {
  LoadTable table(std::move(aReplicas), aTargets, aNeeds);
  std::vector<PlannedLoad> planned;
  for (size_t loading = table.Loading(); loading < aMaxConcurrent; ++loading) {
    std::optional<TargetStatus> next;
    size_t replica = 0;
    for (size_t target = 0; target < aTargets.size(); ++target) {
      const TargetStatus status = table.StatusOf(target);
      const std::optional<size_t> best = table.BestReplica(status);
      if (best && (!next || status.Before(*next))) {
        next = status;
        replica = *best;
      }
    }
    if (!next) {
      break;
    }
    planned.push_back(table.StartLoad(*next, replica));
  }
  return planned;
}

std::vector<PlannedLoad> PlanLoads(std::vector<LoadCandidate> aReplicas,
                                   const std::vector<LoadTarget>& aTargets,
                                   size_t aMaxConcurrent) {
  return PlanLoads(std::move(aReplicas), aTargets, aMaxConcurrent, {});
}

}  // namespace rillwall
