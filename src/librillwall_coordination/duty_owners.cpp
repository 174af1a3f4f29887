#include <algorithm>
#include <string_view>
#include <vector>

#include "rillwall/membership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall {

namespace {

/// A member and its weight for one duty.
struct Candidate {
  uint64_t mWeight = 0;
  const Member* mMember = nullptr;
};

bool Before(const Candidate& aLeft, const Candidate& aRight) {
  if (aLeft.mWeight != aRight.mWeight) {
    return aLeft.mWeight > aRight.mWeight;
  }
  return aLeft.mMember->mId < aRight.mMember->mId;
}

// Both hashes are fixed by XXH3's specification, so that all processes, of any
// version, agree.
uint64_t Weight(uint64_t aDutyHash, const Member& aMember) {
  return XXH3_64bits_withSeed(aMember.mId.data(), aMember.mId.size(),
                              aDutyHash);
}

/// Keeps aBest the aCount first candidates, in order.
void Keep(std::vector<Candidate>& aBest, size_t aCount,
          const Candidate& aCandidate) {
  if (aBest.size() == aCount) {
    if (!Before(aCandidate, aBest.back())) {
      return;
    }
    aBest.pop_back();
  }
  const auto place =
      std::upper_bound(aBest.begin(), aBest.end(), aCandidate, Before);
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
    Keep(best, aCount, Candidate{Weight(dutyHash, member), &member});
  }
  owners.reserve(best.size());
  for (const Candidate& candidate : best) {
    owners.push_back(*candidate.mMember);
  }
  return owners;
}

}  // namespace rillwall
