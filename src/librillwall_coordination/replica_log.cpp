#include "rillwall/replica_log.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <set>

namespace rillwall {

namespace {

/// Removals to remember: a few times all replicas of a large service. A
/// listener that missed more gets the whole list.
constexpr size_t kMaxRemovals = 1000;

/// Separates fields in the hashed text; no field contains it.
constexpr char kFieldEnd = '\n';

}  // namespace

uint64_t DigestOf(const Replica& aReplica) {
  std::string text;
  for (const std::string* field : {&aReplica.mId, &aReplica.mService,
                                   &aReplica.mAddress, &aReplica.mZone}) {
    text += *field;
    text += kFieldEnd;
  }
  text += std::to_string(aReplica.mSlots);
  text += kFieldEnd;
  text += std::to_string(aReplica.mStartedAtMs);
  text += aReplica.mDraining ? '-' : '+';
  text += aReplica.mCold ? "c" : "";
  text += aReplica.mLapsed ? "l" : "";
  for (const ModelVersion& model : aReplica.mModels) {
    text += model.mModel;
    text += kFieldEnd;
    text += std::to_string(model.mVersion);
    text += kFieldEnd;
  }
  return XXH64(text.data(), text.size(), 0);
}

std::vector<Replica> WithoutVersions(std::vector<Replica> aReplicas) {
  for (Replica& replica : aReplicas) {
    replica.mModels.clear();
  }
  return aReplicas;
}

void ReplicaLog::Replace(const std::vector<Replica>& aReplicas) {
  const int64_t number = mNumber + 1;
  std::set<std::string> listed;
  for (const Replica& replica : aReplicas) {
    listed.insert(replica.mId);
    Entry& entry = mEntries[replica.mId];
    if (entry.mNumber == 0 || !(entry.mReplica == replica)) {
      mDigest -= entry.mNumber == 0 ? 0 : DigestOf(entry.mReplica);
      mDigest += DigestOf(replica);
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
    mDigest -= DigestOf(at->second.mReplica);
    mNumber = number;
    at = mEntries.erase(at);
  }
  while (mRemovals.size() > kMaxRemovals) {
    mForgottenUpTo = mRemovals.front().mNumber;
    mRemovals.pop_front();
  }
}

ReplicaDelta ReplicaLog::Since(const ReplicaCursor& aCursor) const {
  ReplicaDelta delta;
  delta.mNumber = mNumber;
  delta.mDigest = mDigest;
  if (aCursor.mDigest != 0 && aCursor.mDigest == mDigest) {
    return delta;
  }
  const int64_t known = aCursor.mNumber;
  delta.mFull = known <= 0 || known > mNumber || known < mForgottenUpTo;
  for (const auto& [id, entry] : mEntries) {
    if (delta.mFull || entry.mNumber > known) {
      delta.mChanged.push_back(entry.mReplica);
    }
  }
  for (const Removal& removal : mRemovals) {
    if (!delta.mFull && removal.mNumber > known) {
      delta.mGone.push_back(removal.mId);
    }
  }
  return delta;
}

bool ReplicaMirror::Apply(const std::string& aRun, const ReplicaDelta& aDelta) {
  if (aDelta.mFull) {
    Clear();
  }
  for (const std::string& id : aDelta.mGone) {
    const auto found = mReplicas.find(id);
    if (found != mReplicas.end()) {
      mDigest -= DigestOf(found->second);
      mReplicas.erase(found);
    }
  }
  for (const Replica& replica : aDelta.mChanged) {
    auto [at, added] = mReplicas.try_emplace(replica.mId);
    mDigest -= added ? 0 : DigestOf(at->second);
    mDigest += DigestOf(replica);
    at->second = replica;
  }
  if (mDigest != aDelta.mDigest) {
    Clear();
    return false;
  }
  mRun = aRun;
  mNumber = aDelta.mNumber;
  return true;
}

void ReplicaMirror::Clear() {
  mReplicas.clear();
  mRun.clear();
  mNumber = 0;
  mDigest = 0;
}

std::vector<Replica> ReplicaMirror::All() const {
  std::vector<Replica> all;
  for (const auto& [id, replica] : mReplicas) {
    all.push_back(replica);
  }
  return all;
}

}  // namespace rillwall
