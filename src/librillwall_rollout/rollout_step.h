/// \file
/// The state of one step at its owner.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "result_list.h"
#include "rillwall/http.h"
#include "rillwall/memory_budget.h"
#include "rillwall/request_digest.h"
#include "rillwall/rollout.h"
#include "rillwall/rollout_record.h"
#include "rillwall/route_table.h"

namespace rillwall {

/// Marks a step as being taken over, during the lifetime of the object.
class TakeoverGuard {
 public:
  TakeoverGuard(std::set<std::string>& aInProgress, std::string aId)
      : mInProgress(aInProgress),
        mId(std::move(aId)),
        mAcquired(mInProgress.insert(mId).second) {}
  ~TakeoverGuard() {
    if (mAcquired) {
      mInProgress.erase(mId);
    }
  }
  TakeoverGuard(const TakeoverGuard&) = delete;
  TakeoverGuard& operator=(const TakeoverGuard&) = delete;
  /// \return whether the step was not marked before
  bool Acquired() const { return mAcquired; }

 private:
  std::set<std::string>& mInProgress;
  const std::string mId;
  const bool mAcquired;
};

/// A step that this node owns or is accepting.
struct RolloutStep {
  RolloutStep(asio::io_context& aIo, RolloutTracker aTracker, Route aRoute,
              StepRecord aRecord, int64_t aRevision, MemoryCharge aCharge)
      : mCharge(std::move(aCharge)),
        mTracker(std::move(aTracker)),
        mRoute(std::move(aRoute)),
        mRecord(std::move(aRecord)),
        mRevision(aRevision),
        mListed(static_cast<int64_t>(mTracker.Total())),
        mChanged(aIo) {
    mChanged.expires_at(asio::steady_timer::time_point::max());
  }

  const std::string& Id() const { return mTracker.Spec().mId; }
  /// \return whether items may run; else they wait until there is a route again
  bool HasRoute() const { return !mRoute.mTargets.empty(); }
  /// Wakes all readers that wait for a result.
  void Notify() { mChanged.cancel(); }

  MemoryCharge mCharge;  ///< for what the step takes in memory
  RolloutTracker mTracker;
  /// Text of a large submission, until the store has it.
  SharedText mSubmission;
  /// Parts of the submission that were read from the store last.
  std::map<size_t, SharedText> mSubmissionParts;
  size_t mPartBytes = 0;      ///< see SubmissionPartBytes()
  bool mReadingPart = false;  ///< a part is being read from the store
  /// As it was when the step was accepted or taken over. Without targets if the
  /// configuration had no route for the step then.
  Route mRoute;
  StepRecord mRecord;
  int64_t mRevision;   ///< of the record; guards every append
  ResultList mListed;  ///< results in the store
  /// The target was reached when results were last written.
  bool mTargetReachedAtLastWrite = false;
  bool mRunning = true;   ///< owned here and not ended
  bool mAccepted = true;  ///< the store holds the step's record
  /// Items wait while texts are fetched from another node that ran the step.
  bool mAwaitsTexts = false;
  bool mFlushing = false;  ///< results or texts are being written
  /// The step has stopped, and its record is marked as ended as soon as the
  /// store answers.
  bool mEndPending = false;
  /// The store may or may not hold the last page.
  bool mWriteUncertain = false;
  std::map<size_t, HttpStream*> mStreams;  ///< by item
  /// Items whose stream is being ended so that they continue at another
  /// replica, and the reasons.
  std::map<size_t, std::string> mMoveReasons;
  std::map<size_t, Millis> mMovedAt;  ///< last move, by item
  /// Items whose last replica has ended.
  std::set<size_t> mItemsOfEndedReplicas;
  /// By item, computed on first use. While all slots are taken, items are
  /// checked thousands of times a second, and each digest would take 1 us.
  std::map<size_t, RequestDigest> mDigests;
  /// Request priorities of started items, where the service is ordered.
  std::map<size_t, int> mPriorities;
  int64_t mNextPart = 0;   ///< number of the next write of unfinished texts
  bool mSpooling = false;  ///< texts are being written to the disk
  Millis mLastSpoolAt;     ///< when the last write to the disk began
  Millis mLastWriteAt;     ///< when the last write to the store began
  /// Since when there is an unwritten result.
  std::optional<Millis> mUnwrittenSince;
  std::optional<Millis> mDueAt;  ///< when the trainer wants the results
  Millis mGiveUpAt;              ///< when unfinished items are given up
  Millis mVerifiedAt;  ///< when the store was last asked and named this owner
  /// Cancelled by Notify().
  asio::steady_timer mChanged;
};

}  // namespace rillwall
