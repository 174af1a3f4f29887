/// \file
/// Spaces the runs of owed requests under which replicas have crashed.
///
/// An owed request (an item of a step, or its scorer call) is run until it is
/// done, however many replicas crash under it. After each crash it pauses, the
/// longer the more crashes are recorded, so that the number of replicas that it
/// can crash per second is bounded: one in kLongestPause after the seventh
/// crash. Equal requests share one pace: while crashes are recorded, they run
/// one at a time, so that a scorer call that all items of a step have in common
/// costs no more replicas than one item.
///
/// The number of crashes comes from the records (CrashTable), whoever made
/// them. A host that sees a higher number than before pauses from that moment,
/// so that no clocks are compared.
///
/// Pure: the time is an argument.

#pragma once

#include <cstddef>
#include <map>

#include "rillwall/millis.h"
#include "rillwall/request_digest.h"

namespace rillwall {

/// The paces of the owed requests of one host.
class CrashPacer {
 public:
  /// Replicas that end together are all seen to have ended within this time.
  static constexpr Millis kFirstPause{50};
  /// Well below the time for which an item may be at no replica.
  static constexpr Millis kLongestPause{2000};
  /// Paces kept; more are dropped once they are over.
  static constexpr size_t kMaxPaces = 1024;

  /// \return the pause after a number of crashes
  static Millis PauseAfter(size_t aCrashes);

  /// \param aCrashes CrashTable::CrashesMet() of the request
  /// \return how long the request must still wait; 0: it may run now
  Millis WaitFor(const RequestDigest& aRequest, size_t aCrashes, Millis aNow);
  /// Records that a run begins. Equal requests wait for its end, or for the
  /// pause.
  void Started(const RequestDigest& aRequest, size_t aCrashes, Millis aNow);
  /// Records that a run has ended. If its replica has crashed, the number of
  /// crashes is higher at the next WaitFor().
  void Ended(const RequestDigest& aRequest);
  size_t Size() const { return mPaces.size(); }

 private:
  struct Pace {
    size_t mCrashes = 0;
    Millis mNextAt;  ///< when the request may run again
  };
  void DropOldPaces(Millis aNow);

  std::map<RequestDigest, Pace> mPaces;
};

}  // namespace rillwall
