#include <algorithm>
#include <string_view>
#include <vector>

#include "rillwall/membership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall {

namespace {

/// A member and its rendezvous hashing weight for one duty.
struct Candidate {
  uint64_t mWeight = 0;
  const Member* mMember = nullptr;
};

bool RanksBefore(const Candidate& aLeft, const Candidate& aRight) {
  if (aLeft.mWeight != aRight.mWeight) {
    return aLeft.mWeight > aRight.mWeight;
  }
  return aLeft.mMember->mId < aRight.mMember->mId;
}

// The specification of XXH3 fixes both hashes, so that processes of all
// versions agree on the owners.
uint64_t Weight(uint64_t aDutyHash, const Member& aMember) {
  return XXH3_64bits_withSeed(aMember.mId.data(), aMember.mId.size(),
                              aDutyHash);
}

/// Inserts a candidate into the sorted list of the aCount best candidates.
void InsertCandidate(std::vector<Candidate>& aBest, size_t aCount,
                     const Candidate& aCandidate) {
  if (aBest.size() == aCount) {
    if (!RanksBefore(aCandidate, aBest.back())) {
      return;
    }
    aBest.pop_back();
  }
  const auto place =
      std::upper_bound(aBest.begin(), aBest.end(), aCandidate, RanksBefore);
  aBest.insert(place, aCandidate);
}

}  // namespace

std::vector<Member> DutyOwners(const std::vector<Member>& aLive,
                               std::string_view aDuty, size_t aCount) {
  std::vector<Member> owners;
  if (aCount == 0) {
    return owners;
  }
  const uint64_t dutyHash = XXH3_64bits(aDuty.data(), aDuty.size());
  std::vector<Candidate> best;
  best.reserve(std::min(aCount, aLive.size()));
  for (const Member& member : aLive) {
    InsertCandidate(best, aCount, Candidate{Weight(dutyHash, member), &member});
  }
  owners.reserve(best.size());
  for (const Candidate& candidate : best) {
    owners.push_back(*candidate.mMember);
  }
  return owners;
}

}  // namespace rillwall
