/// \file
/// Constants of the dispatcher's mechanisms, in one place so that benchmarks
/// can switch each one off and measure what it brings. docs/design/routing.md,
/// limits.md, fairness.md and retries.md give the reasons for the values.

#pragma once

#include "rillwall/millis.h"

namespace rillwall {

struct DispatchTuning {
  // Routing.
  int mChoices = 2;             ///< engines drawn per zone
  Millis mReportMemory{1000};   ///< age at which a report counts 1/e
  bool mOwnCountedOnce = true;  ///< take own calls out of the reported load
  bool mDecayToPeers = true;    ///< towards the peers' mean, not to nothing
  double mAwaitingWeight = 2;   ///< extra load of a call without a token yet
  double mZonePenalty = 0.3;    ///< of another zone, as a share of the slots
  bool mPrefixHomes = true;     ///< several for a popular prefix
  double mPrefixBonus = 0.2;    ///< of the prefix's engine, likewise
  double mPrefixBound = 1.25;   ///< of the mean load, for the prefix's engine
  // Limits.
  bool mShareSlots = true;      ///< claim only a part of reported free slots
  double mInteractiveGain = 1;  ///< part claimed by one report, see SlotShare()
  double mTrainingGain = 0.5;
  double mInteractiveEmpty = 0.5;  ///< part of an empty engine's slots
  double mTrainingEmpty = 0.1;
  double mInteractiveBack = 0.5;  ///< evens out the nodes' parts
  bool mMoveTraining = true;      ///< off engines that cannot run it now
  Millis mOwnMemory{500};  ///< for own calls as a lagging report saw them
  bool mLimitByReports = true;
  bool mLimitByFirstTokens = true;
  bool mWeighSpeed = true;   ///< weigh engines down that are slower
  Millis mSlowStart{10000};  ///< from a breaker's closing to a full share
  // Queue.
  bool mRefuseEarly = true;  ///< at once when the wait would be too long
  double mWaitMargin = 1.5;  ///< the estimated wait is taken this much longer
  Millis mPreemptAfter{40};  ///< wait of an interactive call; 0: never
};

}  // namespace rillwall
