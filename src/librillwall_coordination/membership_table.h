/// \file
/// A node's table of the members of the fleet.

#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/membership.h"

namespace rillwall {

/// Time before all others, for "never".
inline constexpr Millis kNever{-1'000'000'000'000};

/// Record of a member with local state that is not exchanged.
struct MemberEntry {
  Member mMember;
  bool mHasTimer = false;  ///< becomes dead when the timer expires
  Millis mTimerStart;      ///< start of the timer
  Millis mDeadSince;       ///< valid while the state is Dead
  /// Time of the last datagram from the member or of another proof of life.
  Millis mLastContact = kNever;
  /// Known from before a long stall and not confirmed since; not gossiped.
  bool mUnconfirmed = false;

  bool IsDead() const { return mMember.mState == MemberState::Dead; }
  bool IsPresent() const { return !IsDead(); }
  bool HasTimer() const { return mHasTimer; }
};

/// Result of merging a record into a table.
enum class MemberMergeResult {
  Same,     ///< already known
  Older,    ///< a record that overrides it is known; not stored
  Newer,    ///< stored; nothing visible to the owner changed
  Changed,  ///< stored; the member is new or its state or addresses changed
};

/// \return whether aLeft overrides aRight: by incarnation, then by state. The
/// other fields make the order total, so that all tables converge.
bool Overrides(const Member& aLeft, const Member& aRight);

/// \return whether a record received from the network is valid
bool IsValid(const Member& aMember);

/// \return whether members in this state hold duties
bool HoldsDuties(MemberState aState);

/// The members by ID, including this node.
class MemberTable {
 public:
  using Filter = std::function<bool(const MemberEntry&)>;

  explicit MemberTable(const Member& aSelf);

  /// Stores a record if it overrides the known one. Starts the timer of a
  /// member that becomes Suspect.
  MemberMergeResult Merge(const Member& aRecord, Millis aNow);
  /// Sets the state of a member as concluded by this node, at the known
  /// incarnation.
  /// \return the new record
  const Member& SetState(std::string_view aId, MemberState aState, Millis aNow);
  /// Starts the timer of a member unless it is running.
  void StartTimer(std::string_view aId, Millis aNow);
  /// Sets the incarnation and state of this node.
  void SetSelf(uint64_t aIncarnation, MemberState aState);
  const Member& Self() const { return mEntries.at(mSelfId).mMember; }

  /// \return the entry with this ID, or nullptr
  MemberEntry* Find(std::string_view aId);
  const MemberEntry* Find(std::string_view aId) const;
  bool IsSelf(std::string_view aId) const { return aId == mSelfId; }

  /// Removes members that died before a time.
  void RemoveDead(Millis aBefore);
  /// Restarts every running timer.
  void RestartTimers(Millis aNow);
  /// Marks all other members as unconfirmed, after a long stall.
  void MarkUnconfirmed();
  /// Records that a member is alive. Stops its timer if its state allows that.
  void NoteContact(std::string_view aId, Millis aNow);

  /// \return IDs of members whose timer started at or before a time
  std::vector<std::string> TimersStartedBy(Millis aInstant) const;
  /// \return up to aCount other members that pass the filter, chosen at random
  std::vector<Member> Sample(size_t aCount, std::mt19937_64& aRandom,
                             const Filter& aFilter) const;
  /// \return the number of members that are not dead, including this node
  size_t CountPresent() const { return mEntries.size() - mDead; }
  size_t CountDead() const { return mDead; }
  /// \return whether a member that is not dead has this gossip address
  bool HasPresentAt(std::string_view aGossip) const;
  /// \return members that pass the filter, ordered by ID
  std::vector<Member> Select(const Filter& aFilter) const;
  /// \return a digest that is equal for equal sets of members that are not dead
  uint64_t Digest() const;

 private:
  void Replace(MemberEntry& aEntry, const Member& aRecord, Millis aNow);

  std::string mSelfId;
  std::map<std::string, MemberEntry, std::less<>> mEntries;
  size_t mDead = 0;
};

}  // namespace rillwall
