#include "rillwall/load_plan.h"

#include <algorithm>
#include <tuple>

namespace rillwall {

namespace {

/// A share must differ from what is assigned by this much before a replica
/// changes its model: a change costs a load, and demand varies by steps.
constexpr double kRebalanceAt = 0.75;
/// A step takes the named version or the one before.
constexpr int64_t kUsableLag = 1;

bool Usable(const LoadCandidate& aReplica, const LoadTarget& aTarget) {
  return aReplica.VersionOf(aTarget.mModel) >= aTarget.mVersion - kUsableLag;
}

const LoadTarget* Find(const std::vector<LoadTarget>& aTargets,
                       const std::string& aModel) {
  for (const LoadTarget& target : aTargets) {
    if (target.mModel == aModel) {
      return &target;
    }
  }
  return nullptr;
}

/// \return replicas that each model should have, at least one
std::map<std::string, double> SharesOf(const std::vector<LoadTarget>& aTargets,
                                       size_t aReplicas) {
  double total = 0;
  for (const LoadTarget& target : aTargets) {
    total += target.mDemand;
  }
  std::map<std::string, double> shares;
  const auto all = static_cast<double>(aReplicas);
  const auto models = static_cast<double>(aTargets.size());
  for (const LoadTarget& target : aTargets) {
    const double share = total > 0 ? target.mDemand / total : 1 / models;
    shares[target.mModel] = std::max(1.0, share * all);
  }
  return shares;
}

}  // namespace

/// A load that is due, with what decides its turn.
struct LoadPlan::Due {
  const LoadCandidate* mReplica;
  const LoadTarget* mTarget;
  size_t mUsable;  ///< replicas that serve the model's newest step
  bool mUseless;   ///< this one does not

  bool operator<(const Due& aOther) const {
    return std::tuple(!mUseless, mUsable, mReplica->mInFlight, mReplica->mId) <
           std::tuple(!aOther.mUseless, aOther.mUsable,
                      aOther.mReplica->mInFlight, aOther.mReplica->mId);
  }
};

int64_t LoadCandidate::VersionOf(const std::string& aModel) const {
  for (const ModelVersion& version : mVersions) {
    if (version.mModel == aModel) {
      return version.mVersion;
    }
  }
  return 0;
}

std::string LoadPlan::AssignedTo(const std::string& aReplica) const {
  const auto found = mAssigned.find(aReplica);
  return found == mAssigned.end() ? std::string() : found->second;
}

void LoadPlan::Assign(const std::vector<LoadCandidate>& aReplicas,
                      const std::vector<LoadTarget>& aTargets) {
  const std::map<std::string, double> shares =
      SharesOf(aTargets, aReplicas.size());
  std::map<std::string, std::string> kept;
  std::map<std::string, double> missing = shares;
  for (const LoadCandidate& replica : aReplicas) {
    const std::string model = AssignedTo(replica.mId);
    if (Find(aTargets, model) != nullptr) {
      kept[replica.mId] = model;
      missing[model] -= 1;
    }
  }
  for (const LoadCandidate& replica : aReplicas) {
    if (kept.contains(replica.mId)) {
      continue;
    }
    // To the model that lacks most; among equals where its weights are newest.
    const LoadTarget* best = nullptr;
    for (const LoadTarget& target : aTargets) {
      const auto rank = [&](const LoadTarget& aTarget) {
        const int64_t lag =
            aTarget.mVersion - replica.VersionOf(aTarget.mModel);
        return std::tuple(missing[aTarget.mModel], -lag);
      };
      if (best == nullptr || rank(target) > rank(*best)) {
        best = &target;
      }
    }
    kept[replica.mId] = best->mModel;
    missing[best->mModel] -= 1;
  }
  mAssigned = std::move(kept);
  Rebalance(aReplicas, shares);
}

void LoadPlan::Rebalance(const std::vector<LoadCandidate>& aReplicas,
                         const std::map<std::string, double>& aShares) {
  std::map<std::string, double> have;
  for (const auto& [replica, model] : mAssigned) {
    have[model] += 1;
  }
  std::string rich;
  std::string poor;
  double most = kRebalanceAt;
  double least = -kRebalanceAt;
  for (const auto& [model, share] : aShares) {
    const double over = have[model] - share;
    if (over > most && have[model] > 1) {
      most = over;
      rich = model;
    }
    if (over < least) {
      least = over;
      poor = model;
    }
  }
  if (rich.empty() || poor.empty()) {
    return;
  }
  const LoadCandidate* moved = nullptr;
  for (const LoadCandidate& replica : aReplicas) {
    const bool its = AssignedTo(replica.mId) == rich && !replica.mLoading;
    if (its && (moved == nullptr || replica.mInFlight < moved->mInFlight)) {
      moved = &replica;
    }
  }
  if (moved != nullptr) {
    mAssigned[moved->mId] = poor;
  }
}

std::vector<LoadPick> LoadPlan::Next(
    const std::vector<LoadCandidate>& aReplicas,
    const std::vector<LoadTarget>& aTargets, size_t aAtOnce) {
  if (aTargets.empty() || aReplicas.empty()) {
    return {};
  }
  Assign(aReplicas, aTargets);
  std::map<std::string, size_t> usable;
  std::map<std::string, int64_t> room;  // free slots at usable replicas
  size_t loading = 0;
  for (const LoadCandidate& replica : aReplicas) {
    loading += replica.mLoading ? 1 : 0;
    for (const LoadTarget& target : aTargets) {
      if (Usable(replica, target) && !replica.mLoading && !replica.mDraining) {
        ++usable[target.mModel];
        room[target.mModel] +=
            std::max<int64_t>(0, replica.mSlots - replica.mInFlight);
      }
    }
  }
  std::vector<Due> due;
  for (const LoadCandidate& replica : aReplicas) {
    const LoadTarget* target = Find(aTargets, AssignedTo(replica.mId));
    const int64_t version = replica.VersionOf(target->mModel);
    if (replica.mLoading || replica.mDraining || version == 0 ||
        version >= target->mVersion) {
      continue;
    }
    const bool useless = !Usable(replica, *target);
    const int64_t own =
        useless ? 0 : std::max<int64_t>(0, replica.mSlots - replica.mInFlight);
    // What it runs must find room at the others, or else it waits.
    const bool fits = room[target->mModel] - own >= replica.mInFlight;
    if (useless || fits) {
      due.push_back({&replica, target, usable[target->mModel], useless});
    }
  }
  std::sort(due.begin(), due.end());
  std::vector<LoadPick> picks;
  for (const Due& each : due) {
    if (loading >= aAtOnce) {
      break;
    }
    ++loading;
    picks.push_back({each.mReplica->mId, each.mTarget->mModel,
                     each.mTarget->mVersion, each.mTarget->mCutRuns});
    if (!each.mUseless) {
      // The next one must fit into what is left; seen anew at the next look.
      break;
    }
  }
  return picks;
}

}  // namespace rillwall
