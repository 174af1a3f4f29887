/// \file
/// How many texts of a service need a slot at once, as seen and as expected.
///
/// Load: each trainer submits a step every few seconds. All texts of a step
/// arrive at once, and the longest of them need nearly all of the time until
/// the step is due. Which ones these are is not known when they start. A text
/// that waits for a slot may therefore make its step late, so the peak counts
/// and not the average. Peaks are kept for minutes, because a trainer may
/// return at any moment and a new replica serves only after its boot time.
///
/// Pure: no I/O and no clock.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// The unfinished texts of one open step.
struct StepDemand {
  std::string mTrainer;   ///< identity of the trainer across its steps
  int64_t mTexts = 0;     ///< texts that are not complete
  double mWorkMs = 0;     ///< slot time that they are expected to need
  double mLongestMs = 0;  ///< slot time of the longest text seen; 0: unknown
  Millis mDueIn;          ///< may be negative
};

/// \return slots with which the step's texts end in time, whatever their order;
/// never more than one for each text
int64_t SlotsByDueTime(const StepDemand& aStep);

/// How the number of slots is chosen.
enum class ScalePolicy {
  DueTimes,     ///< every open step ends in time
  Utilization,  ///< the average utilization stays within two bounds
};

/// Slots that a service needs.
struct SlotNeed {
  int64_t mUsual = 0;  ///< with all replicas present; batches are not full
  int64_t mLeast = 0;  ///< must remain when replicas are lost
  int64_t mTextsByTrainer = 0;  ///< sum of the trainers' peaks
  int64_t mTextsAtOnce = 0;     ///< peak of all trainers together
  bool operator==(const SlotNeed&) const = default;
};

/// Collects the demand of one service.
class ScaleDemand {
 public:
  explicit ScaleDemand(ScalePolicy aPolicy = ScalePolicy::DueTimes)
      : mPolicy(aPolicy) {}

  /// Records the demand at one instant. To be called at each submission, where
  /// the peaks are, and regularly in between.
  /// \param aOther requests in slots that belong to no step
  void Observe(const std::vector<StepDemand>& aSteps, int64_t aOther,
               Millis aNow);
  /// \return whether a step has been seen
  bool Seen() const { return mSeen; }
  SlotNeed Need() const;

 private:
  /// Peaks of one interval.
  struct Peaks {
    Millis mFrom;
    std::map<std::string, int64_t> mByTrainer;
    int64_t mAtOnce = 0;
    int64_t mOther = 0;
  };
  void ObserveAverage(int64_t aTexts, Millis aNow);

  ScalePolicy mPolicy;
  std::deque<Peaks> mPeaks;  ///< of the last minutes, oldest first
  /// Slot time of the longest text seen, by trainer.
  std::map<std::string, double> mLongestMs;
  double mAverage = 0;  ///< of texts; only for ScalePolicy::Utilization
  int64_t mUtilizationSlots = 0;  ///< only for ScalePolicy::Utilization
  Millis mObservedAt;
  bool mSeen = false;
};

}  // namespace rillwall
