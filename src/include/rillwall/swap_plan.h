/// \file
/// Decides when the controller of an upstream orders the upstream to load
/// weights.
///
/// Each engine has one controller: the node that holds the duty and its fencing
/// number. All nodes compute the same ranking of the engines of a model from
/// their ids and the version, and start the load of each engine at the time
/// that its rank gives. The loads together therefore respect the rate of the
/// weight store and the limit of engines that load at the same time, without
/// messages between nodes. The reports of an engine decide what is ordered
/// again: a failed swap after an exponential backoff, and the newest version
/// whenever an engine reports an older one. An engine with a version newer than
/// the newest known one is not changed.
///
/// The code performs no I/O and is not thread-safe.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/policy.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// The newest weight version of a model that this node knows.
struct NewestWeights {
  int64_t mVersion = 0;  ///< 0: none
  int64_t mBytes = 0;
  Millis mLearnedAt;  ///< time at which this node learned the version
  bool operator==(const NewestWeights&) const = default;
};

/// One engine of the model, out of the full list of hosts.
struct SwapEngine {
  std::string mId;
  bool mLeaving = false;
  bool mIsController = false;  ///< this node is the engine's controller
  uint64_t mFence = 0;         ///< this node's fencing number; 0: none yet
  std::optional<LoadReport> mReport;  ///< needed if mIsController
};

/// An order to load weights, to be sent now.
struct SwapOrder {
  std::string mUpstream;
  int64_t mVersion = 0;
  uint64_t mFence = 0;
  bool operator==(const SwapOrder&) const = default;
};

/// Times that govern the orders to load weights.
struct SwapLimits {
  Millis mBound{7000};            ///< from learning a version to the last swap
  Millis mSpreadMargin{1500};     ///< part of mBound for gossip and reports
  Millis mInitialLoadTime{1000};  ///< estimate before the first load
  Millis mOrderTimeout{3000};     ///< an order without effect is repeated
  Millis mLoadTimeout{60000};     ///< an unfinished load is ordered again
  Millis mRetryBackoff{250};      ///< after the first failure; doubles
  Millis mMaxRetryBackoff{8000};
  Millis mPauseThreshold{2000};  ///< a longer gap between ticks is a pause
};

/// Input of a tick: what the controller knows.
struct SwapInputs {
  ModelRule mRule;
  std::vector<SwapEngine> mEngines;
  NewestWeights mNewest;
  /// Time at which the fencing numbers were last confirmed to be the newest.
  /// Used after a pause of this node, for engines that ignore fencing numbers.
  Millis mFencesConfirmedAt;
};

/// Counters since the start, for metrics.
struct SwapCounts {
  uint64_t mOrders = 0;
  uint64_t mRetries = 0;     ///< orders after a failed or lost order
  uint64_t mReconciled = 0;  ///< engines that fell back to an older version
  uint64_t mStaleFences = 0;
  bool operator==(const SwapCounts&) const = default;
};

/// Plans the orders of one controller for the engines of one model.
class SwapPlan {
 public:
  explicit SwapPlan(SwapLimits aLimits = SwapLimits());
  ~SwapPlan();

  /// Call about every 100 ms.
  /// \return the orders to send now
  std::vector<SwapOrder> Tick(const SwapInputs& aInputs, Millis aNow);
  /// Reports that an engine refused an order because of its fencing number:
  /// another controller has taken over. No further order with this number or a
  /// lower one is sent to the engine.
  void StaleFence(std::string_view aUpstream, uint64_t aFence);
  /// Reports that an order could not be sent or was refused for another reason.
  void OrderFailed(std::string_view aUpstream, Millis aNow);

  /// \return number of controlled engines that do not serve the newest version
  /// yet
  size_t Behind() const;
  const SwapCounts& Counts() const;
  /// \return whether orders wait for confirmation of the fencing numbers after
  /// a pause of this node
  bool NeedsFenceCheck() const;
  /// \return the state as a JSON object, for diagnosis
  std::string Dump() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Ranks the engines for the load of a version. The ranking is the same on
/// every node.
/// \return the ids in the order in which the engines load
std::vector<std::string> SwapRanks(std::vector<std::string> aIds,
                                   int64_t aVersion);

/// \param aBytes size of the weights
/// \param aEngines number of engines
/// \param aLoadTime duration of one load
/// \return time between the starts of two consecutive loads
Millis SwapSpacing(const SwapLimits& aLimits, const ModelRule& aRule,
                   int64_t aBytes, size_t aEngines, Millis aLoadTime);

}  // namespace rillwall
