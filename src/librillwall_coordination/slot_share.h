/// \file
/// How many calls one node may have at an engine until the next report.
///
/// Many nodes read the same report. If each took all the slots that it shows
/// free, the engine would be swamped, and no node knows how many others there
/// are. So a node takes a part of them: the part of the load that is its own,
/// or, where it has little there yet, a part that falls with the engine's
/// fullness. That part is doubled while the node has used all that it was
/// allowed and the engine is still half empty. An overfull engine's nodes all
/// yield in proportion to what they hold. Sans-IO.

#pragma once

#include <cstdint>

namespace rillwall {

/// What a report says, seen from one node.
struct SlotReport {
  double mOwn = 0;     ///< this node's calls there
  double mTotal = 0;   ///< streams at the engine by the report
  double mTarget = 0;  ///< streams that it should hold
  double mRandom = 0;  ///< in [0, 1), to round by
};

/// How boldly free slots are taken.
struct SlotShareGain {
  double mGain = 1;             ///< part of the gap to close by one report
  double mEmptyFraction = 0.5;  ///< part of an empty engine's slots to take
  double mRebalance = 0;     ///< part of the own calls given back, see Report()
  bool mAtLeastOne = false;  ///< of an engine that is half empty
};

class SlotShare {
 public:
  /// \param aFirst calls allowed until the first report
  SlotShare(SlotShareGain aGain, int64_t aFirst)
      : mGain(aGain), mAllowed(aFirst) {}

  void Report(const SlotReport& aReport);
  /// \return calls that the node may have there until the next report
  int64_t Allowed() const { return mAllowed; }

 private:
  void Adapt(const SlotReport& aReport);

  SlotShareGain mGain;
  int64_t mAllowed;
  double mBoost = 1;
  int mOpenReports = 0;  ///< in a row of a half empty engine, all allowed used
};

}  // namespace rillwall
