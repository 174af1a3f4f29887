/// \file
/// What a controller remembers of one engine's swap to the newest version.

#pragma once

#include <cstdint>
#include <utility>

#include "rillwall/millis.h"
#include "rillwall/swap_plan.h"
#include "rillwall/upstream.h"

namespace rillwall {

enum class SwapPhase {
  Due,      ///< to be ordered once its instant has come
  Sent,     ///< ordered; no report shows it yet
  Loading,  ///< reported to be loading
  Reached,  ///< reported to serve the version
};

const char* SwapPhaseName(SwapPhase aPhase);

class SwapTrack {
 public:
  explicit SwapTrack(const SwapLimits& aLimits) : mLimits(aLimits) {}

  /// Starts anew for a version; keeps what is known of fences.
  void Want(int64_t aVersion);
  /// Takes in what the engine last reported.
  void Observe(const LoadReport& aReport, Millis aNow, SwapCounts& aCounts);
  /// The order failed at once.
  void Fail(Millis aNow);
  /// Notes that an order is sent now.
  void Send(Millis aNow, SwapCounts& aCounts);
  void StaleFence(uint64_t aFence);
  /// \param aSlot the instant of its rank
  bool MaySend(uint64_t aFence, Millis aSlot, Millis aNow) const;

  SwapPhase Phase() const { return mPhase; }
  int64_t Wanted() const { return mWanted; }
  int Failures() const { return mFailures; }
  /// \return once, how long a load took from its order; otherwise 0
  Millis TakeLoadTime() { return std::exchange(mLoadTime, Millis(0)); }

 private:
  void ObserveBehind(Millis aNow, SwapCounts& aCounts);

  SwapLimits mLimits;
  int64_t mWanted = 0;
  SwapPhase mPhase = SwapPhase::Due;
  Millis mSentAt;
  Millis mNotBefore;
  int mFailures = 0;
  uint64_t mRefusedFence = 0;
  Millis mLoadTime;
};

}  // namespace rillwall
