/// \file
/// When a second try of a request is sent before the first has failed (a hedged
/// request).
///
/// Pure: no I/O and no clock. Made for services in which a few requests, or
/// replicas, take several times the usual time: a second try then answers
/// earlier than the first. As it costs a replica's slot, the number of hedged
/// requests is bounded by a budget, and none is sent while slots are short.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "rillwall/millis.h"
#include "rillwall/replica_load.h"

namespace rillwall {

class RetryBudget;

/// Hedged requests of one host.
class HedgePlan {
 public:
  HedgePlan();
  ~HedgePlan();
  HedgePlan(const HedgePlan&) = delete;
  HedgePlan& operator=(const HedgePlan&) = delete;

  /// Records a request of the host, which adds to the budget.
  void Started();
  /// Records the time after which a first try was answered, or ended in favor
  /// of the second one.
  void ObserveTry(const std::string& aRoute, Millis aSpan);
  /// \return the time within which nearly all first tries of the route are
  /// answered, after which a second one may be sent; nothing while too few are
  /// known
  std::optional<Millis> DelayOf(const std::string& aRoute) const;
  /// Takes one hedged request from the budget.
  /// \param aEstimate for the replicas that may serve the second try
  /// \param aLeft time until the response is due
  /// \return whether it may be sent: the service has spare capacity, it can be
  /// answered in time, and the budget allows it
  bool TryHedge(const std::optional<AnswerEstimate>& aEstimate, Millis aLeft);

 private:
  struct RouteTimes {
    double mHighMs = 0;  ///< high quantile of the times
    int64_t mCount = 0;
  };
  std::map<std::string, RouteTimes> mTimes;  ///< by route
  const std::unique_ptr<RetryBudget> mBudget;
};

}  // namespace rillwall
