/// \file
/// An adaptive limit of the streams that an engine should hold.
///
/// An engine may hold fewer streams than the slots it reports, for instance
/// when its memory is short. Two signs lower the limit to what the engine is
/// seen to hold: reports that show calls waiting beside free slots, and own
/// calls whose first token is long overdue, compared with the usual time of
/// their class. While neither is seen and the engine is well used, the limit
/// rises by steps to the reported slots. It is never below 1. Sans-IO.

#pragma once

#include <array>
#include <cstdint>

#include "rillwall/dispatcher.h"
#include "rillwall/millis.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// Signs that the limit follows.
struct LimiterSignals {
  bool mReports = true;
  bool mFirstTokens = true;
};

class Limiter {
 public:
  explicit Limiter(LimiterSignals aSigns) : mSigns(aSigns) {}

  /// The engine's report; its slots are the upper bound.
  void Report(const LoadReport& aReport);
  /// A call's first token came.
  /// \param aTime since the call was started
  void FirstToken(CallClass aClass, Millis aTime);
  /// \return whether a call without a token has waited unusually long
  /// \param aTime since the call was started
  bool Overdue(CallClass aClass, Millis aTime) const;
  /// Own calls are overdue.
  /// \param aHeld streams that the engine runs, estimated without them
  void Lower(double aHeld);
  /// The engine refused a call as full.
  void Refused();
  /// \return streams that the engine should hold at most; at least 1
  double Limit() const { return mLimit; }
  double Slots() const { return mSlots; }

 private:
  static constexpr double kDefaultSlots = 16;
  LimiterSignals mSigns;
  double mSlots = kDefaultSlots;
  double mLimit = kDefaultSlots;
  int mShortReports = 0;  ///< in a row with calls waiting beside free slots
  bool mLowered = false;  ///< since the last report
  std::array<double, 2> mUsual = {0, 0};  ///< ms, by class; 0: not known
};

}  // namespace rillwall
