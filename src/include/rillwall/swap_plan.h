/// \file
/// The decisions of an upstream's controller about orders to load weights.
///
/// Each engine has one controller, a node that holds the duty and its fencing
/// number. All nodes put the engines of a model into one order that they
/// compute alike from the ids and the version, and begin each engine's load at
/// the instant of its rank. So the loads together keep to the weight store's
/// rate and to the limit of engines loading at once, and no node needs to ask
/// another. What an engine reports decides what is ordered again: a failed
/// swap after a pause that doubles, a version older than the newest whenever it
/// is read back. A version newer than the newest known is left alone.
///
/// Sans-IO and single-threaded.

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

/// The newest weight version of a model, as this node knows it.
struct WeightsFact {
  int64_t mVersion = 0;  ///< 0: none
  int64_t mBytes = 0;
  Millis mLearnedAt;  ///< when this node learned of it
  bool operator==(const WeightsFact&) const = default;
};

/// One engine of the model, of the whole host list.
struct SwapEngine {
  std::string mId;
  bool mLeaving = false;
  bool mIsController = false;  ///< this node is its controller
  uint64_t mFence = 0;  ///< this node's fencing number for it; 0: none yet
  std::optional<LoadReport> mReport;  ///< needed for engines of the duty only
};

/// An order to send now.
struct SwapOrder {
  std::string mUpstream;
  int64_t mVersion = 0;
  uint64_t mFence = 0;
  bool operator==(const SwapOrder&) const = default;
};

struct SwapLimits {
  Millis mBound{7000};         ///< from learning to the last engine swapped
  Millis mSpreadMargin{1500};  ///< of the bound, for gossip and reports
  Millis mFirstLoad{1000};     ///< a load's time before one was seen
  Millis mOrderTimeout{3000};  ///< an order without effect is sent again
  Millis mLoadTimeout{60000};  ///< a load without end is ordered again
  Millis mRetryPause{250};     ///< after the first failure; doubles
  Millis mRetryLongest{8000};
  Millis mPauseGap{2000};  ///< ticks further apart: the node was paused
};

/// What the controller knows at a tick.
struct SwapInputs {
  ModelRule mRule;
  std::vector<SwapEngine> mEngines;
  WeightsFact mNewest;
  /// When the fences were last confirmed to be the newest. Matters after a
  /// pause of this node, for engines that ignore fencing numbers.
  Millis mFencesConfirmedAt;
};

/// Counts since the start, for metrics.
struct SwapCounts {
  uint64_t mOrders = 0;
  uint64_t mRetries = 0;     ///< orders after a failed or lost one
  uint64_t mReconciled = 0;  ///< engines found back on an older version
  uint64_t mStaleFences = 0;
  bool operator==(const SwapCounts&) const = default;
};

class SwapPlan {
 public:
  explicit SwapPlan(SwapLimits aLimits = SwapLimits());
  ~SwapPlan();

  /// Call every 100 ms or so.
  std::vector<SwapOrder> Tick(const SwapInputs& aInputs, Millis aNow);
  /// The engine refused an order for its fencing number: another controller
  /// took over. No order is sent to it with this number or a lower one.
  void StaleFence(std::string_view aUpstream, uint64_t aFence);
  /// An order could not be sent or was refused for another reason.
  void OrderFailed(std::string_view aUpstream, Millis aNow);

  /// \return engines of the duty that do not serve the newest version yet
  size_t Behind() const;
  const SwapCounts& Counts() const;
  /// \return whether orders wait for the fences to be confirmed after a pause
  bool NeedsFenceCheck() const;
  std::string Dump() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// The order in which engines load a version; the same on every node.
/// \return the ids, the first to load first
std::vector<std::string> SwapRanks(std::vector<std::string> aIds,
                                   int64_t aVersion);

/// \param aLoad time that one load takes
/// \return time from the start of one engine's load to the next one's
Millis SwapSpacing(const SwapLimits& aLimits, const ModelRule& aRule,
                   int64_t aBytes, size_t aEngines, Millis aLoad);

}  // namespace rillwall
