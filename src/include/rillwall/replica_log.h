/// \file
/// The replicas that one node lists, numbered by change, so that other nodes
/// are told only what they lack.
///
/// Pure: no I/O and no clock. Numbers are comparable within one run of the
/// node that gives them.

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
  bool operator==(const ReplicaDelta&) const = default;
};

/// The giver's side.
class ReplicaLog {
 public:
  /// Takes in all replicas that there are.
  void Take(const std::vector<Replica>& aReplicas);
  /// \param aNumber newest change that the listener knows; 0: none
  ReplicaDelta Since(int64_t aNumber) const;

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
  int64_t mForgotten = 0;  ///< removals up to this number are not known
  std::map<std::string, Entry> mEntries;
  std::deque<Removal> mRemovals;
};

/// The listener's side.
class ReplicaMirror {
 public:
  /// \param aRun of the node that gave it
  void Take(const std::string& aRun, const ReplicaDelta& aDelta);
  /// \return the newest change known of a node's run; 0: none
  int64_t Number(const std::string& aRun) const;
  const std::string& Run() const { return mRun; }
  std::vector<Replica> All() const;

 private:
  std::string mRun;
  int64_t mNumber = 0;
  std::map<std::string, Replica> mReplicas;
};

}  // namespace rillwall
