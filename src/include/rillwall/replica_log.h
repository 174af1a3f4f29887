/// \file
/// Change log of the replicas that one node lists, so that other nodes receive
/// only what they lack.
///
/// Pure: no I/O and no clock. Sequence numbers are comparable within one run of
/// the node that assigns them. Across runs, a digest of the whole list shows
/// that a listener already has it, so that after a change of the lead (the
/// elected host) an unchanged list is not sent again. The digest also shows a
/// listener that it missed or misread a change; it then requests the whole
/// list.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "rillwall/replica_pool.h"

namespace rillwall {

/// Update that brings a listener up to date.
struct ReplicaDelta {
  int64_t mNumber = 0;  ///< sequence number of the newest change in it
  bool mFull = false;   ///< it contains all replicas
  std::vector<Replica> mChanged;   ///< added and changed replicas
  std::vector<std::string> mGone;  ///< ids of removed replicas; empty if mFull
  uint64_t mDigest = 0;            ///< digest of the resulting list
  bool operator==(const ReplicaDelta&) const = default;
};

/// \return a digest that, with overwhelming probability, differs if any field
/// differs. The digest of a list is the sum of the digests of its replicas
uint64_t DigestOf(const Replica& aReplica);

/// \return the list without weight versions, which change many times a second
/// and matter only to owners of steps
std::vector<Replica> WithoutVersions(std::vector<Replica> aReplicas);

/// State of a listener.
struct ReplicaCursor {
  int64_t mNumber = 0;   ///< newest known change; 0: none
  uint64_t mDigest = 0;  ///< digest of its list; 0: it has none
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ReplicaCursor&) const = default;
};

/// Sender's side: the replicas and when each of them changed.
class ReplicaLog {
 public:
  /// Replaces the replicas with a complete list.
  void Replace(const std::vector<Replica>& aReplicas);
  /// \param aCursor state of the listener; its number must be 0 if another run
  /// assigned it
  /// \return the update for the listener
  ReplicaDelta Since(const ReplicaCursor& aCursor) const;
  /// \return sequence number of the newest change
  int64_t Number() const { return mNumber; }

 private:
  struct Entry {
    Replica mReplica;
    int64_t mNumber = 0;  ///< sequence number of its last change
  };
  struct Removal {
    std::string mId;
    int64_t mNumber = 0;
  };
  int64_t mNumber = 0;
  uint64_t mDigest = 0;
  /// Removals up to this sequence number are no longer known.
  int64_t mForgottenUpTo = 0;
  std::map<std::string, Entry> mEntries;
  std::deque<Removal> mRemovals;
};

/// Listener's side: a copy of the sender's replicas.
class ReplicaMirror {
 public:
  /// Applies an update.
  /// \param aRun run of the node that sent it
  /// \return false if the resulting list differs from the sender's. The copy is
  /// then cleared, and the whole list must be requested
  bool Apply(const std::string& aRun, const ReplicaDelta& aDelta);
  const std::string& Run() const { return mRun; }
  ReplicaCursor Cursor() const { return {mNumber, mDigest}; }
  void Clear();
  std::vector<Replica> All() const;

 private:
  std::string mRun;
  int64_t mNumber = 0;
  uint64_t mDigest = 0;
  std::map<std::string, Replica> mReplicas;
};

}  // namespace rillwall
