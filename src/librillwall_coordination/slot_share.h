/// \file
/// Number of calls that one node may have at an engine until the next report.
///
/// Many nodes read the same load report. If each claimed all the slots that it
/// shows as free, the engine would be overloaded, and no node knows how many
/// others there are. So a node claims only a part of the free slots: the part
/// of the load that is its own or, if it has little load there yet, a part that
/// falls as the engine fills. The latter part is doubled while the node has
/// used its whole allowance and the engine is still half empty. At an
/// overloaded engine all nodes give slots back in proportion to what they hold.
/// Sans-IO.

#pragma once

#include <cstdint>

namespace rillwall {

/// Contents of a load report as seen by one node.
struct SlotReport {
  double mOwn = 0;     ///< calls of this node at the engine
  double mTotal = 0;   ///< streams at the engine according to the report
  double mTarget = 0;  ///< streams that the engine should hold
  double mRandom = 0;  ///< in [0, 1), used for rounding
};

/// How fast a node claims free slots.
struct SlotShareGain {
  double mGain = 1;             ///< part of the gap to close per report
  double mEmptyFraction = 0.5;  ///< part of an empty engine's slots to claim
  /// Part of the own calls to give back, so that the parts of nodes even out.
  double mRebalance = 0;
  bool mAtLeastOne = false;  ///< claim at least one slot of a half-empty engine
};

/// Allowance of one node at one engine for one class of calls.
class SlotShare {
 public:
  /// \param aFirst calls allowed until the first report
  SlotShare(SlotShareGain aGain, int64_t aFirst)
      : mGain(aGain), mAllowed(aFirst) {}

  /// Computes the allowance until the next report.
  void Report(const SlotReport& aReport);
  /// \return calls that the node may have at the engine until the next report
  int64_t Allowed() const { return mAllowed; }

 private:
  void UpdateBoost(const SlotReport& aReport);

  SlotShareGain mGain;
  int64_t mAllowed;
  double mBoost = 1;
  /// Consecutive reports of a half-empty engine while the allowance was used
  /// up.
  int mUnderusedReports = 0;
};

}  // namespace rillwall
