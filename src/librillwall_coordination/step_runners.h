/// \file
/// The runners of a step: their recent failures, and the choice of the runner
/// for the next group.

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

/// Tracks failures of runners. A runner that failed receives no groups for an
/// exponential backoff, and then one group at a time until a group finishes
/// there.
class RunnerHealth {
 public:
  void Failed(std::string_view aRunner, Millis aNow);
  void Succeeded(std::string_view aRunner);
  void Forget(std::string_view aRunner);
  /// \return whether the runner has failed since a group last finished there
  bool IsSuspect(std::string_view aRunner) const;
  /// \param aCapacity groups that the runner can start
  /// \param aRunning groups that the runner runs already
  /// \return how many groups the runner may receive now
  int64_t Allowed(std::string_view aRunner, int64_t aCapacity, int64_t aRunning,
                  Millis aNow) const;

 private:
  struct Record {
    int mFailures = 0;
    Millis mNotBefore;
  };
  std::map<std::string, Record, std::less<>> mRecords;
};

/// Allocates the capacity of the runners during one tick. The runner with the
/// most free capacity comes first. Among equals the order of the constructor's
/// argument decides, which differs between steps.
class CapacityPool {
 public:
  explicit CapacityPool(std::vector<RunnerCapacity> aRunners);
  int64_t Total() const { return mTotal; }
  /// Allocates capacity for one group.
  /// \param aAvoid runner that is chosen only if aStrict is false and no other
  /// runner has capacity; empty: none
  /// \return the runner; empty if there is none
  std::string Take(std::string_view aAvoid, bool aStrict);

 private:
  struct Entry {
    RunnerCapacity mRunner;
    size_t mIndex = 0;  ///< in the argument of the constructor
  };
  struct LessCapacity {
    bool operator()(const Entry& aLeft, const Entry& aRight) const {
      return aLeft.mRunner.mCapacity != aRight.mRunner.mCapacity
                 ? aLeft.mRunner.mCapacity < aRight.mRunner.mCapacity
                 : aLeft.mIndex > aRight.mIndex;
    }
  };
  Entry Pop();
  void Push(Entry aEntry);

  std::priority_queue<Entry, std::vector<Entry>, LessCapacity> mRunners;
  int64_t mTotal = 0;
};

}  // namespace rillwall
