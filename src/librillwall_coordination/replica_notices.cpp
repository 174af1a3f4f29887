/// \file
/// The part of ReplicaPool that concerns replicas which leave or are to be
/// removed.

#include <algorithm>

#include "rillwall/replica_pool.h"

namespace rillwall {

void ReplicaPool::RecordNotices(Millis aNow) {
  for (auto& [id, state] : mStates) {
    if (state.mReplica.mLeavesIn > Millis(0)) {
      // Entries are read late, so the earliest instant is the most accurate.
      const Millis at = aNow + state.mReplica.mLeavesIn;
      state.mLeavesAt = std::min(at, state.mLeavesAt.value_or(at));
    } else if (!state.mReplica.mDraining) {
      state.mLeavesAt.reset();
    }
  }
}

std::optional<Millis> ReplicaPool::LeavesAt(const std::string& aId) const {
  const auto found = mStates.find(aId);
  return found == mStates.end() ? std::nullopt : found->second.mLeavesAt;
}

void ReplicaPool::SetVacated(std::set<std::string> aIds) {
  for (auto& [id, state] : mStates) {
    const bool vacated = aIds.contains(id);
    if (state.mVacated != vacated) {
      state.mVacated = vacated;
      state.mService->mOutdated = true;
    }
  }
}

int64_t ReplicaPool::LoadAt(const std::string& aId, Millis aNow) const {
  const auto found = mStates.find(aId);
  return found == mStates.end() ? 0 : LoadOf(found->second, aNow);
}

}  // namespace rillwall
