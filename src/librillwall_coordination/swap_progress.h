/// \file
/// The progress of one engine's swap to the newest version, as tracked by its
/// controller.

#pragma once

#include <cstdint>
#include <utility>

#include "rillwall/millis.h"
#include "rillwall/swap_plan.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// Phase of a swap.
enum class SwapPhase {
  Due,      ///< to be ordered at the scheduled time
  Sent,     ///< ordered, but no report shows it yet
  Loading,  ///< reported as loading
  Reached,  ///< reported as serving the version
};

const char* SwapPhaseName(SwapPhase aPhase);

/// Tracks one engine and decides whether an order may be sent.
class SwapProgress {
 public:
  explicit SwapProgress(const SwapLimits& aLimits) : mLimits(aLimits) {}

  /// Starts the swap to a version. Keeps the refused fencing number.
  void SetTarget(int64_t aVersion);
  /// Processes the last report of the engine.
  void Observe(const LoadReport& aReport, Millis aNow, SwapCounts& aCounts);
  /// Reports that the swap failed. Schedules a retry after the backoff.
  void Fail(Millis aNow);
  /// Records that an order is sent now.
  void Send(Millis aNow, SwapCounts& aCounts);
  /// Reports that the engine refused an order because of its fencing number.
  void StaleFence(uint64_t aFence);
  /// \param aFence this node's fencing number for the engine; 0: none
  /// \param aScheduledStart start time that follows from the rank of the engine
  /// \return whether an order may be sent now
  bool MaySend(uint64_t aFence, Millis aScheduledStart, Millis aNow) const;

  SwapPhase Phase() const { return mPhase; }
  int64_t TargetVersion() const { return mTargetVersion; }
  int Failures() const { return mFailures; }
  /// \return duration of a load from its order, once after the load has ended;
  /// otherwise 0
  Millis TakeLoadTime() { return std::exchange(mLoadTime, Millis(0)); }

 private:
  void ObserveBehind(Millis aNow, SwapCounts& aCounts);

  SwapLimits mLimits;
  int64_t mTargetVersion = 0;
  SwapPhase mPhase = SwapPhase::Due;
  Millis mSentAt;
  Millis mNotBefore;
  int mFailures = 0;
  uint64_t mRefusedFence = 0;
  Millis mLoadTime;
};

}  // namespace rillwall
