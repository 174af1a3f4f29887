/// \file
/// The replicas that one node lists, numbered by change, so that other nodes
/// are told only what they lack.
///
/// Pure: no I/O and no clock. Numbers are comparable within one run of the
/// node that gives them. Across runs a digest of the whole list tells that a
/// listener has it already: after a change of the lead, nobody is told again
/// what has stayed the same. The digest also shows a listener that it has
/// missed or misread something; it then asks for the whole list.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "rillwall/replica_pool.h"

namespace rillwall {

/// What brings a listener up to date.
struct ReplicaDelta {
  int64_t mNumber = 0;             ///< of the newest change in it
  bool mFull = false;              ///< it lists all replicas there are
  std::vector<Replica> mChanged;   ///< new ones among them
  std::vector<std::string> mGone;  ///< ids; empty if mFull
  uint64_t mDigest = 0;            ///< of the list that it leads to
  bool operator==(const ReplicaDelta&) const = default;
};

/// \return a number that differs, with overwhelming likelihood, if any field
/// does; the digest of a list is the sum of those of its replicas
uint64_t DigestOf(const Replica& aReplica);

/// The same list without the weight versions. They change many times a second
/// and concern only those who own steps.
std::vector<Replica> WithoutVersions(std::vector<Replica> aReplicas);

/// What a listener has.
struct ReplicaCursor {
  int64_t mNumber = 0;   ///< newest change known; 0: none
  uint64_t mDigest = 0;  ///< of its list; 0: it has none
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ReplicaCursor&) const = default;
};

/// The giver's side.
class ReplicaLog {
 public:
  /// Takes in all replicas that there are.
  void Take(const std::vector<Replica>& aReplicas);
  /// \param aMark of the listener; its number is 0 if another run gave it
  ReplicaDelta Since(const ReplicaCursor& aMark) const;
  /// \return the newest change
  int64_t Number() const { return mNumber; }

 private:
  struct Entry {
    Replica mReplica;
    int64_t mNumber = 0;  ///< of its last change
  };
  struct Removal {
    std::string mId;
    int64_t mNumber = 0;
  };
  int64_t mNumber = 0;
  uint64_t mDigest = 0;
  int64_t mForgotten = 0;  ///< removals up to this number are not known
  std::map<std::string, Entry> mEntries;
  std::deque<Removal> mRemovals;
};

/// The listener's side.
class ReplicaMirror {
 public:
  /// \param aRun of the node that gave it
  /// \return false if the list differs from the giver's: nothing is kept, and
  /// the whole list is to be asked for
  bool Take(const std::string& aRun, const ReplicaDelta& aDelta);
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
