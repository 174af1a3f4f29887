/// \file
/// Adaptive limit on the number of streams of an engine.
///
/// An engine may run fewer streams than the slots that it reports, for instance
/// when its memory is short. Two signals lower the limit to the observed number
/// of running streams: load reports with waiting calls despite free slots, and
/// own calls whose first token is overdue compared with the usual time of their
/// class. While neither is seen and the engine is well utilized, the limit
/// rises in steps up to the reported slots. It is never below 1. Sans-IO.

#pragma once

#include <array>
#include <cstdint>

#include "rillwall/dispatcher.h"
#include "rillwall/millis.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// Signals that the limit reacts to.
struct LimiterSignals {
  bool mReports = true;
  bool mFirstTokens = true;
};

/// Concurrency limit of one engine.
class Limiter {
 public:
  explicit Limiter(LimiterSignals aSignals) : mSignals(aSignals) {}

  /// Applies a load report of the engine; its slots are the upper limit.
  void Report(const LoadReport& aReport);
  /// Records the first token of a call.
  /// \param aTime time since the call started
  void FirstToken(CallClass aClass, Millis aTime);
  /// \return whether a call without a token has waited unusually long
  /// \param aTime time since the call started
  bool Overdue(CallClass aClass, Millis aTime) const;
  /// Lowers the limit because own calls are overdue.
  /// \param aSustained estimated number of streams that the engine runs without
  /// the overdue calls
  void Lower(double aSustained);
  /// Records that the engine refused a call because it is full.
  void Refused();
  /// \return the limit on streams; at least 1
  double Limit() const { return mLimit; }
  double Slots() const { return mSlots; }

 private:
  static constexpr double kDefaultSlots = 16;
  LimiterSignals mSignals;
  double mSlots = kDefaultSlots;
  double mLimit = kDefaultSlots;
  /// Consecutive reports with waiting calls beside free slots.
  int mShortfallReports = 0;
  bool mLowered = false;  ///< Lower() was called since the last report
  /// Usual time to the first token in ms, by class; 0: unknown.
  std::array<double, 2> mUsual = {0, 0};
};

}  // namespace rillwall
