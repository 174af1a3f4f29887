/// \file
/// Constants of the dispatcher's mechanisms, in one place so that a benchmark
/// can switch off each mechanism and measure its effect. The reasons for the
/// values are in docs/design/routing.md, limits.md, fairness.md and retries.md.

#pragma once

#include "rillwall/millis.h"

namespace rillwall {

/// Tuning parameters of routing, limits and queueing.
struct DispatchTuning {
  // Routing.
  int mChoices = 2;               ///< random engines compared per zone
  Millis mReportDecayTime{1000};  ///< age at which a report weighs 1/e
  bool mSubtractOwnCalls = true;  ///< subtract own calls from the reported load
  bool mDecayToPeerMean = true;  ///< decay reports to the peers' mean, not to 0
  double mAwaitingWeight = 2;  ///< extra load of a call before its first token
  double mZonePenalty = 0.3;   ///< for another zone, as a share of the slots
  /// Give a popular prefix several home engines.
  bool mMultiplePrefixHomes = true;
  double mPrefixBonus = 0.2;  ///< for a home engine, as a share of the slots
  /// Maximum load of a home engine, as a multiple of the mean load.
  double mPrefixLoadBound = 1.25;
  // Limits.
  bool mShareSlots = true;  ///< claim only a part of the reported free slots
  double mInteractiveGain = 1;  ///< part claimed per report, see SlotShareGain
  double mTrainingGain = 0.5;   ///< likewise, for training calls
  double mInteractiveEmptyFraction = 0.5;  ///< part claimed of an empty engine
  double mTrainingEmptyFraction = 0.1;     ///< likewise, for training calls
  double mInteractiveRebalance = 0.5;      ///< evens out the parts of the nodes
  bool mMoveTraining = true;  ///< move training calls off stuck or slow engines
  /// Time constant of the average of own calls, which matches them with reports
  /// that lag.
  Millis mOwnSmoothingTime{500};
  bool mLimitByReports = true;      ///< lower the limit by load reports
  bool mLimitByFirstTokens = true;  ///< lower it by overdue first tokens
  bool mWeightBySpeed = true;       ///< lower the limit of slow engines
  Millis mSlowStart{10000};  ///< from a breaker's closing to all calls admitted
  // Queue.
  bool mRefuseEarly = true;  ///< refuse at once if the wait is too long
  double mWaitMargin = 1.5;  ///< factor for the estimated wait
  Millis mPreemptAfter{40};  ///< wait of an interactive call; 0: never
};

}  // namespace rillwall
