#include "rillwall/replica_log.h"

#include <set>

namespace rillwall {

namespace {

/// Removals remembered: some replacements of all replicas of a large service.
/// A listener that missed more gets the whole list.
constexpr size_t kMaxRemovals = 1000;

}  // namespace

void ReplicaLog::Take(const std::vector<Replica>& aReplicas) {
  const int64_t number = mNumber + 1;
  std::set<std::string> listed;
  for (const Replica& replica : aReplicas) {
    listed.insert(replica.mId);
    Entry& entry = mEntries[replica.mId];
    if (entry.mNumber == 0 || !(entry.mReplica == replica)) {
      entry = {replica, number};
      mNumber = number;
    }
  }
  for (auto at = mEntries.begin(); at != mEntries.end();) {
    if (listed.contains(at->first)) {
      ++at;
      continue;
    }
    mRemovals.push_back({at->first, number});
    mNumber = number;
    at = mEntries.erase(at);
  }
  while (mRemovals.size() > kMaxRemovals) {
    mForgotten = mRemovals.front().mNumber;
    mRemovals.pop_front();
  }
}

ReplicaDelta ReplicaLog::Since(int64_t aNumber) const {
  ReplicaDelta delta;
  delta.mNumber = mNumber;
  delta.mFull = aNumber <= 0 || aNumber > mNumber || aNumber < mForgotten;
  for (const auto& [id, entry] : mEntries) {
    if (delta.mFull || entry.mNumber > aNumber) {
      delta.mChanged.push_back(entry.mReplica);
    }
  }
  for (const Removal& removal : mRemovals) {
    if (!delta.mFull && removal.mNumber > aNumber) {
      delta.mGone.push_back(removal.mId);
    }
  }
  return delta;
}

void ReplicaMirror::Take(const std::string& aRun, const ReplicaDelta& aDelta) {
  if (aDelta.mFull) {
    mReplicas.clear();
  }
  for (const std::string& id : aDelta.mGone) {
    mReplicas.erase(id);
  }
  for (const Replica& replica : aDelta.mChanged) {
    mReplicas[replica.mId] = replica;
  }
  mRun = aRun;
  mNumber = aDelta.mNumber;
}

int64_t ReplicaMirror::Number(const std::string& aRun) const {
  return aRun == mRun ? mNumber : 0;
}

std::vector<Replica> ReplicaMirror::All() const {
  std::vector<Replica> all;
  for (const auto& [id, replica] : mReplicas) {
    all.push_back(replica);
  }
  return all;
}

}  // namespace rillwall
