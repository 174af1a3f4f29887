/// \file
/// What a node knows of the members of the fleet.

#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/membership.h"

namespace rillwall {

/// An instant before every other, for "never".
inline constexpr Millis kNever{-1'000'000'000'000};

/// A member's record with what only this node knows of it.
struct MemberEntry {
  Member mMember;
  bool mTimed = false;           ///< becomes dead unless it is heard of in time
  Millis mTimedSince;            ///< start of that time
  Millis mDeadSince;             ///< valid while the state is Dead
  Millis mLastContact = kNever;  ///< last datagram that came from it
  /// Known from before a long stall and not heard of since: not passed on.
  bool mUnconfirmed = false;

  bool IsDead() const { return mMember.mState == MemberState::Dead; }
  bool IsPresent() const { return !IsDead(); }
  bool IsTimed() const { return mTimed; }
};

/// What became of a record offered to a table.
enum class MemberVerdict {
  Same,     ///< known already
  Older,    ///< a record that overrides it is known
  Newer,    ///< taken in; what the owner sees is unchanged
  Changed,  ///< taken in; the member is new or its state or addresses changed
};

/// \return whether aLeft overrides aRight: by incarnation, then by state. The
/// rest makes the order total, so that tables converge.
bool Overrides(const Member& aLeft, const Member& aRight);

/// \return whether a record is fit to be taken from the network
bool IsValid(const Member& aMember);

/// \return whether members in this state hold duties
bool HoldsDuties(MemberState aState);

/// The members by id, this node among them.
class MemberTable {
 public:
  using Filter = std::function<bool(const MemberEntry&)>;

  explicit MemberTable(const Member& aSelf);

  /// Takes a record in if it overrides the one known. Starts the timer of a
  /// member that becomes Suspect.
  MemberVerdict Take(const Member& aRecord, Millis aNow);
  /// Gives a member the state that this node itself concludes, at the
  /// incarnation known.
  /// \return its record
  const Member& Conclude(std::string_view aId, MemberState aState, Millis aNow);
  /// Starts a member's timer, if it does not run.
  void StartTimer(std::string_view aId, Millis aNow);
  /// Gives this node another incarnation and state.
  void SetSelf(uint64_t aIncarnation, MemberState aState);
  const Member& Self() const { return mEntries.at(mSelfId).mMember; }

  /// \return the entry of this id, or nullptr
  MemberEntry* Find(std::string_view aId);
  const MemberEntry* Find(std::string_view aId) const;
  bool IsSelf(std::string_view aId) const { return aId == mSelfId; }

  /// Removes members that have been dead since before an instant.
  void ForgetDead(Millis aBefore);
  /// Gives every running timer its full time again.
  void RestartTimers(Millis aNow);
  /// Marks all others as not heard of since a long stall.
  void MarkUnconfirmed();
  /// Stops the timer of a member that is heard of, if its state allows it.
  void NoteContact(std::string_view aId, Millis aNow);

  /// \return ids of members whose timer started at an instant or before
  std::vector<std::string> TimedSince(Millis aInstant) const;
  /// \return up to aCount others that pass the filter, chosen at random
  std::vector<Member> Sample(size_t aCount, std::mt19937_64& aRandom,
                             const Filter& aFilter) const;
  /// \return the number of members that are not dead, itself included
  size_t CountPresent() const { return mEntries.size() - mDead; }
  size_t CountDead() const { return mDead; }
  /// \return whether an other one that is not dead has this gossip address
  bool HasPresentAt(std::string_view aGossip) const;
  /// \return members that pass the filter, ordered by id
  std::vector<Member> Select(const Filter& aFilter) const;
  /// \return a digest that is equal for equal sets of members not dead
  uint64_t Digest() const;

 private:
  void Replace(MemberEntry& aEntry, const Member& aRecord, Millis aNow);

  std::string mSelfId;
  std::map<std::string, MemberEntry, std::less<>> mEntries;
  size_t mDead = 0;
};

}  // namespace rillwall
