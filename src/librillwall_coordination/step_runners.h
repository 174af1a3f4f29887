/// \file
/// The runners of a step: which failed lately, and which takes the next group.

#pragma once

#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/step.h"

namespace rillwall {

/// Remembers failures. A runner that failed is left alone for a pause that
/// doubles, and then tried with one group until one finishes there.
class RunnerHealth {
 public:
  void Failed(std::string_view aRunner, Millis aNow);
  void Succeeded(std::string_view aRunner);
  void Forget(std::string_view aRunner);
  /// \return whether the runner failed since a group last finished there
  bool Suspect(std::string_view aRunner) const;
  /// \return how many of aRoom groups the runner may be given now
  int64_t Allowed(std::string_view aRunner, int64_t aRoom, int64_t aRunning,
                  Millis aNow) const;

 private:
  struct Record {
    int mFailures = 0;
    Millis mNotBefore;
  };
  std::map<std::string, Record, std::less<>> mRecords;
};

/// Hands out room during one tick, the runner with most room left first; among
/// equals the one named first by the owner, whose order differs between steps.
class RoomPool {
 public:
  explicit RoomPool(std::vector<RunnerCapacity> aRunners);
  int64_t Total() const { return mTotal; }
  /// Takes room for one group.
  /// \param aAvoid a runner taken only if aStrict is false and no other has
  /// room; empty: none
  /// \return the runner; empty if there is none
  std::string Take(std::string_view aAvoid, bool aStrict);

 private:
  struct Entry {
    RunnerCapacity mRunner;
    size_t mPlace = 0;  ///< in the order given
  };
  struct LessRoom {
    bool operator()(const Entry& aLeft, const Entry& aRight) const {
      return aLeft.mRunner.mCapacity != aRight.mRunner.mCapacity
                 ? aLeft.mRunner.mCapacity < aRight.mRunner.mCapacity
                 : aLeft.mPlace > aRight.mPlace;
    }
  };
  Entry Pop();
  void Push(Entry aEntry);

  std::priority_queue<Entry, std::vector<Entry>, LessRoom> mRunners;
  int64_t mTotal = 0;
};

}  // namespace rillwall
