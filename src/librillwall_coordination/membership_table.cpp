#include "membership_table.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall {

namespace {

constexpr size_t kMaxText = 255;  // bytes
// Leaves room to raise an incarnation further.
constexpr uint64_t kMaxIncarnation = uint64_t{1} << 62;

auto Rank(const Member& aMember) {
  return std::tie(aMember.mIncarnation, aMember.mState, aMember.mZone,
                  aMember.mGossip, aMember.mRpc, aMember.mHttp);
}

bool SameButIncarnation(const Member& aLeft, const Member& aRight) {
  Member left = aLeft;
  left.mIncarnation = aRight.mIncarnation;
  return left == aRight;
}

}  // namespace

bool Overrides(const Member& aLeft, const Member& aRight) {
  return Rank(aLeft) > Rank(aRight);
}

bool IsValid(const Member& aMember) {
  const size_t longest = std::max({aMember.mId.size(), aMember.mZone.size(),
                                   aMember.mGossip.size(), aMember.mRpc.size(),
                                   aMember.mHttp.size()});
  return !aMember.mId.empty() && !aMember.mGossip.empty() &&
         longest <= kMaxText && aMember.mIncarnation < kMaxIncarnation;
}

bool HoldsDuties(MemberState aState) {
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

MemberTable::MemberTable(const Member& aSelf) : mSelfId(aSelf.mId) {
  mEntries[mSelfId].mMember = aSelf;
}

MemberMergeResult MemberTable::Merge(const Member& aRecord, Millis aNow) {
  const auto [position, isNew] = mEntries.try_emplace(aRecord.mId);
  MemberEntry& entry = position->second;
  if (isNew) {
    Replace(entry, aRecord, aNow);
    return MemberMergeResult::Changed;
  }
  if (entry.mMember == aRecord) {
    entry.mUnconfirmed = false;
    return MemberMergeResult::Same;
  }
  if (!Overrides(aRecord, entry.mMember)) {
    return MemberMergeResult::Older;
  }
  entry.mUnconfirmed = false;
  const bool isChange = !SameButIncarnation(aRecord, entry.mMember);
  Replace(entry, aRecord, aNow);
  return isChange ? MemberMergeResult::Changed : MemberMergeResult::Newer;
}

void MemberTable::Replace(MemberEntry& aEntry, const Member& aRecord,
                          Millis aNow) {
  const bool wasDead = aEntry.IsDead();
  const bool isDead = aRecord.mState == MemberState::Dead;
  mDead += static_cast<size_t>(isDead) - static_cast<size_t>(wasDead);
  if (isDead && !wasDead) {
    aEntry.mDeadSince = aNow;
  }
  aEntry.mMember = aRecord;
  aEntry.mHasTimer = aRecord.mState == MemberState::Suspect;
  aEntry.mTimerStart = aNow;
}

const Member& MemberTable::SetState(std::string_view aId, MemberState aState,
                                    Millis aNow) {
  assert(!IsSelf(aId));
  MemberEntry& entry = mEntries.find(aId)->second;
  Member record = entry.mMember;
  record.mState = aState;
  Replace(entry, record, aNow);
  return entry.mMember;
}

void MemberTable::StartTimer(std::string_view aId, Millis aNow) {
  MemberEntry& entry = mEntries.find(aId)->second;
  if (!entry.mHasTimer) {
    entry.mHasTimer = true;
    entry.mTimerStart = aNow;
  }
}

void MemberTable::SetSelf(uint64_t aIncarnation, MemberState aState) {
  Member& self = mEntries.at(mSelfId).mMember;
  assert(aIncarnation >= self.mIncarnation && aState != MemberState::Dead);
  self.mIncarnation = aIncarnation;
  self.mState = aState;
}

MemberEntry* MemberTable::Find(std::string_view aId) {
  const auto position = mEntries.find(aId);
  return position == mEntries.end() ? nullptr : &position->second;
}

const MemberEntry* MemberTable::Find(std::string_view aId) const {
  const auto position = mEntries.find(aId);
  return position == mEntries.end() ? nullptr : &position->second;
}

void MemberTable::RemoveDead(Millis aBefore) {
  if (mDead == 0) {
    return;
  }
  mDead -= std::erase_if(mEntries, [aBefore](const auto& aItem) {
    const MemberEntry& entry = aItem.second;
    return entry.IsDead() && entry.mDeadSince < aBefore;
  });
}

void MemberTable::RestartTimers(Millis aNow) {
  for (auto& [id, entry] : mEntries) {
    entry.mTimerStart = aNow;
  }
}

void MemberTable::MarkUnconfirmed() {
  for (auto& [id, entry] : mEntries) {
    entry.mUnconfirmed = !IsSelf(id);
  }
}

void MemberTable::NoteContact(std::string_view aId, Millis aNow) {
  MemberEntry* entry = Find(aId);
  if (entry == nullptr) {
    return;
  }
  entry->mLastContact = aNow;
  entry->mUnconfirmed = false;
  // A suspicion ends only by a refutation. A leaving member has no Suspect
  // state, so contact stops its timer.
  if (entry->mMember.mState == MemberState::Leaving) {
    entry->mHasTimer = false;
  }
}

std::vector<std::string> MemberTable::TimersStartedBy(Millis aInstant) const {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mHasTimer && entry.mTimerStart <= aInstant) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<Member> MemberTable::Sample(size_t aCount, std::mt19937_64& aRandom,
                                        const Filter& aFilter) const {
  std::vector<const Member*> chosen;
  size_t seen = 0;
  for (const auto& [id, entry] : mEntries) {
    if (IsSelf(id) || !aFilter(entry)) {
      continue;
    }
    ++seen;
    if (chosen.size() < aCount) {
      chosen.push_back(&entry.mMember);
      continue;
    }
    const size_t position = aRandom() % seen;
    if (position < aCount) {
      chosen[position] = &entry.mMember;
    }
  }
  std::vector<Member> members;
  members.reserve(chosen.size());
  for (const Member* member : chosen) {
    members.push_back(*member);
  }
  return members;
}

bool MemberTable::HasPresentAt(std::string_view aGossip) const {
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aItem) {
    const MemberEntry& entry = aItem.second;
    return entry.mMember.mGossip == aGossip && entry.IsPresent();
  });
}

std::vector<Member> MemberTable::Select(const Filter& aFilter) const {
  std::vector<Member> members;
  members.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    if (aFilter(entry)) {
      members.push_back(entry.mMember);
    }
  }
  return members;
}

uint64_t MemberTable::Digest() const {
  uint64_t digest = 0;
  for (const auto& [id, entry] : mEntries) {
    const Member& member = entry.mMember;
    if (entry.IsDead()) {
      continue;
    }
    // Suspicions are excluded because they are transient.
    const bool isLeaving = member.mState == MemberState::Leaving;
    const uint64_t version = member.mIncarnation * 2 + (isLeaving ? 1 : 0);
    digest ^= XXH3_64bits_withSeed(id.data(), id.size(), version);
  }
  return digest;
}

}  // namespace rillwall
