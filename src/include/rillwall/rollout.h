/// \file
/// A rollout step as submitted by a trainer, its results, and the tracker that
/// decides which of its items run next.
///
/// The code performs no I/O and reads no clock. An *item* is one text to be
/// generated and scored. The items of a *group* share their prompt, and a
/// trainer waits for complete groups.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/text_move.h"

namespace rillwall {

/// A header of an item's request.
struct RolloutHeader {
  std::string mName;
  std::string mValue;
  bool operator==(const RolloutHeader&) const = default;
};

/// The request to a scorer for the text of an item.
struct ScorerCall {
  std::string mId;
  std::string mHost;
  std::string mPath;
  std::string mBody;
  bool operator==(const ScorerCall&) const = default;
};

/// Where an item stands in the text of its submission. The bodies of a large
/// submission are not kept in memory; they are read from there.
struct ItemPlace {
  size_t mAt = 0;    ///< of the item's first byte
  size_t mSize = 0;  ///< in bytes
  bool operator==(const ItemPlace&) const = default;
};

/// One text to generate, with the request that generates it.
struct RolloutItem {
  std::string mId;
  std::string mGroup;
  std::string mPath;
  std::vector<RolloutHeader> mHeaders;
  std::string mBody;
  int64_t mTokens = 0;      ///< prompt and longest possible output together
  int64_t mLengthHint = 0;  ///< expected output tokens; 0: unknown
  std::optional<ScorerCall> mScorer;
  /// Set if the bodies of the item and of its scorer are left out.
  std::optional<ItemPlace> mPlace;
  bool operator==(const RolloutItem&) const = default;
};

/// A submitted step. It does not change after it has been accepted.
struct RolloutSpec {
  std::string mId;
  std::string mAccount;  ///< client account of the submitter; empty: none
  std::string mHost;     ///< selects the route together with mPath
  std::string mPath;
  int64_t mStep = 0;
  std::string mModel;         ///< empty: any model
  int64_t mMinVersion = 0;    ///< oldest weight version that may generate text
  int64_t mTargetGroups = 0;  ///< complete groups that the trainer waits for
  std::vector<RolloutItem> mItems;
  bool operator==(const RolloutSpec&) const = default;
};

/// The part of a text that has been persisted.
struct PersistedPrefix {
  int64_t mEvents = 0;
  size_t mBytes = 0;     ///< of the output
  bool mScored = false;  ///< the score has been persisted too
  bool operator==(const PersistedPrefix&) const = default;
};

/// The text of an item as generated so far.
struct RolloutText {
  int64_t mEvents = 0;  ///< complete events received; id of the last one
  std::string mOutput;  ///< data of the events, joined by line feeds
  std::vector<int64_t> mVersions;  ///< weight versions used, each once
  bool mWhole = false;             ///< the last event has been received
  std::string mScore;              ///< signature of the scorer's response
  PersistedPrefix mStored;         ///< part that is in the store
  PersistedPrefix mSpooled;        ///< part that is on the host's disk

  /// Appends one event.
  /// \param aVersion weight version that generated it
  void Append(const std::string& aData, int64_t aVersion);
  /// \return whether a step may use the text
  /// \param aMinVersion oldest weight version that the step allows
  /// \param aSingleVersion whether one version must have generated all of it
  bool SatisfiesVersions(int64_t aMinVersion, bool aSingleVersion) const;
  bool operator==(const RolloutText&) const = default;
};

/// A part of an unfinished text. The owner of a step persists such parts while
/// the text is generated, so that a later owner resumes after the last of them.
struct RolloutPart {
  std::string mItem;
  int64_t mFrom = 0;    ///< events before the part; 0: replaces the text
  int64_t mTo = 0;      ///< events of the text up to the end of the part
  std::string mOutput;  ///< data of its events, joined by line feeds
  std::vector<int64_t> mVersions;  ///< weight versions of the text so far
  bool mWhole = false;             ///< its last event ends the text
  std::string mScore;  ///< signature of the scorer's response, if any
  bool operator==(const RolloutPart&) const = default;
};

/// How an item ended.
enum class RolloutEnd { Completed, Terminated };

/// A result as the trainer reads it.
struct RolloutResult {
  std::string mItem;
  RolloutEnd mEnd = RolloutEnd::Completed;
  std::string mOutput;
  std::vector<int64_t> mVersions;
  std::string mScore;
  bool operator==(const RolloutResult&) const = default;
};

/// \return the size in bytes of a text as a string of JSON
size_t EncodedBytes(std::string_view aText);

/// The next item to run.
struct RolloutPick {
  size_t mItem = 0;    ///< index in the step
  std::string mAvoid;  ///< replica that ran it last; may be empty
};

/// An item that has not ended, as the order of steps needs it.
struct OpenItem {
  size_t mItem = 0;         ///< index in the step
  int64_t mEventsLeft = 0;  ///< expected; 0: unknown, or the text is whole
  int64_t mLengthHint = 0;
  bool mWaiting = false;  ///< it may start
  bool mHeld = false;     ///< it may not start for now
  bool mWhole = false;    ///< only the score is missing
  bool operator==(const OpenItem&) const = default;
};

/// A group that is not complete.
struct OpenGroup {
  std::vector<OpenItem> mItems;  ///< that have not ended
  bool mCarriedOver = false;     ///< an earlier step contained the group too
  bool mBegun = false;  ///< an item runs, has ended or has a part of its text
};

/// Tracks the items of one step: which item runs next, which have ended, and
/// which results can be listed, that is written to the store for the trainer to
/// read. Used by the owner of the step only.
class RolloutTracker {
 public:
  /// \param aAttempts failures after which an item is terminated
  /// \param aSingleVersion whether adopted and restored texts must come from
  /// one weight version
  RolloutTracker(RolloutSpec aSpec, int aAttempts, bool aSingleVersion);
  /// Replaces the limits that were passed to the constructor.
  void SetLimits(int aAttempts, bool aSingleVersion);

  const RolloutSpec& Spec() const { return mSpec; }
  const RolloutItem& Item(size_t aIndex) const { return mSpec.mItems[aIndex]; }
  std::optional<size_t> IndexOf(const std::string& aItem) const;

  /// Restores results that an earlier owner listed.
  void Restore(const std::vector<RolloutResult>& aListed);
  /// Adopts the text of an item of an earlier step, if this step may use it.
  /// \return whether the text was adopted
  bool Adopt(size_t aItem, RolloutText aText);

  /// Returns parts of unfinished texts that are not in the store yet, and marks
  /// them as stored.
  /// \param aMinEvents least number of unstored events of a text for which a
  /// write costs less than to generate them again
  /// \param aMaxBytes limit for the encoded parts; the others are returned by
  /// the next call
  /// \param aMayExceed whether the first part may be larger
  std::vector<RolloutPart> TakeUnstored(int64_t aMinEvents, size_t aMaxBytes,
                                        bool aMayExceed = true);
  /// \return whether TakeUnstored would return a part
  bool HasUnstored(int64_t aMinEvents) const;
  /// Like TakeUnstored, for the host's disk. Covers all texts that are not
  /// listed, including those that have ended.
  std::vector<RolloutPart> TakeUnspooled(int64_t aMinEvents, size_t aMaxBytes);
  /// Reports that these results have been written to the store.
  void Listed(const std::vector<RolloutResult>& aResults);
  /// Restores texts that an earlier owner persisted, where they are longer than
  /// the texts of this tracker.
  /// \param aParts in the order in which they were written
  /// \param aInStore the store holds the parts; otherwise the texts are
  /// persisted again from their first event
  /// \return events of unlisted texts that need not be generated again
  int64_t RestoreTexts(const std::vector<RolloutPart>& aParts,
                       bool aInStore = true);
  /// \param aMaxBytes size of the parts after which no further text is added
  /// \return the texts that are not listed, each from its first event; complete
  /// texts come first
  std::vector<RolloutPart> UnlistedTexts(size_t aMaxBytes) const;
  /// \return number of complete texts that are not listed
  size_t CompleteUnlistedTexts() const;

  /// \return the next item to run, or nothing if no item waits
  std::optional<RolloutPick> Next() const;
  /// \return whether an item waits, that is whether it may start now
  bool IsWaiting(size_t aItem) const {
    return mStates[aItem].mPhase == Phase::Waiting;
  }
  /// \return the groups that are not complete, with their expected lengths
  std::vector<OpenGroup> OpenGroups(const LengthHints& aLengths) const;
  /// \return how often an item was queued; a change means that an order of the
  /// waiting items may lack some
  uint64_t Queued() const { return mQueued; }
  /// Reports that a replica began to run an item.
  void Started(size_t aItem, const std::string& aReplica);
  /// \return the replica that runs an item or ran it last
  const std::string& ReplicaOf(size_t aItem) const {
    return mStates[aItem].mLastReplica;
  }
  /// The text of an item so far. A new run resumes after its last event.
  RolloutText& Text(size_t aItem) { return mStates[aItem].mText; }
  /// Reports that a run ended before the text was complete. The item waits
  /// again, unless it has failed too often.
  /// \param aFailed the replica ran the item and failed, which counts as an
  /// attempt
  /// \return whether the item was terminated for its failures
  bool Interrupted(size_t aItem, bool aFailed);
  /// Excludes a waiting item from Next() until RequeueDeferred() admits it
  /// again. TerminateUnfinished() also terminates deferred items.
  /// \param aHeld it is not known when the item may run; else it pauses for
  /// some seconds at most
  void Defer(size_t aItem, bool aHeld = true);
  /// Queues deferred items again.
  /// \param aMayRun predicate that selects the items that may run now
  void RequeueDeferred(const std::function<bool(size_t aItem)>& aMayRun);
  /// Reports that the replica declared the item impossible; terminates it.
  void Impossible(size_t aItem);
  /// Reports that text and score are complete.
  void Finished(size_t aItem);
  /// Terminates all items that have not ended, after the longest wait.
  void TerminateUnfinished();

  /// Returns the results that are not listed yet, in the order in which their
  /// items ended, and clears them.
  std::vector<RolloutResult> TakeUnlisted();
  bool HasUnlisted() const { return !mUnlisted.empty(); }
  bool AllEnded() const { return mEnded == mStates.size(); }
  size_t Waiting() const { return mWaiting.size(); }
  size_t Total() const { return mStates.size(); }
  size_t Ended() const { return mEnded; }
  bool HasEnded(size_t aItem) const {
    return mStates[aItem].mPhase == Phase::Ended;
  }
  /// \return groups whose items have all ended
  size_t WholeGroups() const { return mWholeGroups; }
  /// \return whether the trainer can go on: at least mTargetGroups groups are
  /// complete, including every group carried over from an earlier step
  bool TargetReached() const;
  /// \return texts of the items of incomplete groups by item id, for a later
  /// step that requests the items again
  std::map<std::string, RolloutText> TextsOfOpenGroups() const;

 private:
  enum class Phase { Waiting, Deferred, Running, Ended };
  struct State {
    Phase mPhase = Phase::Waiting;
    int mFailures = 0;
    bool mListed = false;  ///< the result is in the store
    std::string mLastReplica;
    bool mHeld = false;  ///< deferred for an unknown time
    RolloutText mText;
  };
  struct Group {
    size_t mSize = 0;
    size_t mEnded = 0;
    bool mCarriedOver = false;  ///< an earlier step contained the group too
  };
  /// Sort key of waiting items; lower values start first.
  struct StartOrder {
    int mRank = 0;  ///< 0: begun, adopted or failed before; 1: others
    int64_t mExpectedTokens = 0;
    size_t mItem = 0;
    bool operator<(const StartOrder& aOther) const;
  };
  StartOrder StartOrderOf(size_t aItem) const;
  void Enqueue(size_t aItem);
  static bool WorthStoring(const State& aState, int64_t aMinEvents);
  static bool WorthSpooling(const State& aState, int64_t aMinEvents);
  /// \return what a persisted prefix does not cover
  static std::string_view PartAfter(const RolloutText& aText,
                                    const PersistedPrefix& aPrefix);
  /// Extends a persisted prefix to the end of the text.
  /// \return the part that the prefix did not cover before
  static RolloutPart TakePart(std::string aItem, RolloutText& aText,
                              PersistedPrefix RolloutText::*aPrefix);
  std::vector<RolloutPart> TakeParts(bool (*aSelects)(const State&, int64_t),
                                     int64_t aMinEvents, size_t aMaxBytes,
                                     bool aMayExceed,
                                     PersistedPrefix RolloutText::*aPrefix);
  void AdoptRestored(size_t aItem, RolloutText aText);
  void End(size_t aItem, RolloutEnd aEnd);
  RolloutResult ResultOf(size_t aItem, RolloutEnd aEnd) const;

  const RolloutSpec mSpec;
  int mAttempts;
  bool mSingleVersion;
  std::map<std::string, size_t> mIndex;
  std::map<std::string, Group> mGroups;
  std::vector<size_t> mGroupOf;  ///< by item: position of its group
  std::vector<State> mStates;
  std::set<StartOrder> mWaiting;
  uint64_t mQueued = 0;
  std::set<size_t> mDeferred;
  std::vector<RolloutResult> mUnlisted;
  size_t mEnded = 0;
  size_t mWholeGroups = 0;
};

}  // namespace rillwall
