/// \file
/// One step as its owner holds it.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rillwall/http.h"
#include "rillwall/request_digest.h"
#include "rillwall/rollout.h"
#include "rillwall/rollout_record.h"
#include "rillwall/route_table.h"

namespace rillwall {

/// Marks a step as being taken over, for as long as it lives.
class TakingMark {
 public:
  TakingMark(std::set<std::string>& aMarks, std::string aId)
      : mMarks(aMarks), mId(std::move(aId)), mOwn(mMarks.insert(mId).second) {}
  ~TakingMark() {
    if (mOwn) {
      mMarks.erase(mId);
    }
  }
  TakingMark(const TakingMark&) = delete;
  TakingMark& operator=(const TakingMark&) = delete;
  /// \return whether nobody else had marked it
  bool Own() const { return mOwn; }

 private:
  std::set<std::string>& mMarks;
  const std::string mId;
  const bool mOwn;
};

struct RolloutStep {
  RolloutStep(asio::io_context& aIo, RolloutTracker aTracker, Route aRoute,
              StepRecord aRecord, int64_t aRevision)
      : mTracker(std::move(aTracker)),
        mRoute(std::move(aRoute)),
        mRecord(std::move(aRecord)),
        mRevision(aRevision),
        mChanged(aIo) {
    mChanged.expires_at(asio::steady_timer::time_point::max());
  }

  const std::string& Id() const { return mTracker.Spec().mId; }
  /// Wakes everybody who waits for a result.
  void Notify() { mChanged.cancel(); }

  RolloutTracker mTracker;
  const Route mRoute;
  StepRecord mRecord;
  int64_t mRevision;                   ///< of the record; guards every append
  std::vector<RolloutResult> mListed;  ///< in the store, by position
  bool mTargetReachedAtLastWrite =
      false;                ///< its target was reached at the last page
  bool mRunning = true;     ///< owned here, and not ended
  bool mAccepted = true;    ///< the store holds its record
  bool mFlushing = false;   ///< results or texts are being written
  bool mUnsettled = false;  ///< a page may or may not be in the store
  std::map<size_t, HttpStream*> mStreams;  ///< by item
  /// Items whose stream is ended to go elsewhere, and why.
  std::map<size_t, std::string> mMoving;
  std::map<size_t, Millis> mMovedAt;  ///< by item, the last such move
  /// By item, once it is needed. While all slots are taken, items are looked at
  /// thousands of times a second: a digest each time would take 1 us.
  std::map<size_t, RequestDigest> mDigests;
  int64_t mNextPart = 0;   ///< number of the next write of unfinished texts
  bool mSpooling = false;  ///< texts are being written to the disk
  Millis mSpooledAt;       ///< when that last began
  Millis mWrittenAt;       ///< when the last write began
  std::optional<Millis> mGatherFrom;  ///< since when a result is unwritten
  std::optional<Millis> mDueAt;       ///< when the trainer wants its results
  Millis mGiveUpAt;                   ///< then unfinished items are given up
  Millis mVerifiedAt;  ///< when the store was last asked and named this owner
  asio::steady_timer mChanged;
};

}  // namespace rillwall
