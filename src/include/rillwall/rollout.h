/// \file
/// A rollout step as a trainer submits it, the results it collects, and the
/// decisions over its items.
///
/// Pure: no I/O and no clock. An *item* is one text to be generated and scored;
/// the items of a *group* share their prompt, and a trainer waits for whole
/// groups.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// A header of an item's request.
struct RolloutHeader {
  std::string mName;
  std::string mValue;
  bool operator==(const RolloutHeader&) const = default;
};

/// The request that scores an item's text.
struct ScorerCall {
  std::string mId;
  std::string mHost;
  std::string mPath;
  std::string mBody;
  bool operator==(const ScorerCall&) const = default;
};

/// One text to generate.
struct RolloutItem {
  std::string mId;
  std::string mGroup;
  std::string mPath;
  std::vector<RolloutHeader> mHeaders;
  std::string mBody;
  int64_t mTokens = 0;      ///< of the prompt and the longest output together
  int64_t mLengthHint = 0;  ///< expected tokens of output; 0: unknown
  std::optional<ScorerCall> mScorer;
  bool operator==(const RolloutItem&) const = default;
};

/// A submitted step. Immutable once accepted.
struct RolloutSpec {
  std::string mId;
  std::string mAccount;  ///< client account that submitted it; empty: none
  std::string mHost;     ///< with mPath: selects the route
  std::string mPath;
  int64_t mStep = 0;
  std::string mModel;         ///< empty: any weights will do
  int64_t mMinVersion = 0;    ///< oldest weights that may generate its text
  int64_t mTargetGroups = 0;  ///< the trainer goes on with so many whole groups
  std::vector<RolloutItem> mItems;
  bool operator==(const RolloutSpec&) const = default;
};

/// How far a text is written down somewhere.
struct TextMark {
  int64_t mEvents = 0;
  size_t mBytes = 0;     ///< of the output
  bool mScored = false;  ///< with the score
  bool operator==(const TextMark&) const = default;
};

/// The text of an item as far as it was generated.
struct RolloutText {
  int64_t mEvents = 0;  ///< whole events received; the last one's id
  std::string mOutput;  ///< data of these events, joined by line feeds
  std::vector<int64_t> mVersions;  ///< weights that made them, each once
  bool mWhole = false;             ///< the last event has been received
  std::string mScore;              ///< signature of the scorer's answer
  TextMark mKept;                  ///< what the store keeps of it
  TextMark mSpooled;               ///< what the host's disk keeps of it

  /// Adds one event.
  /// \param aVersion weights that made it
  void Append(const std::string& aData, int64_t aVersion);
  /// \return whether a step may use it
  bool SatisfiesVersions(int64_t aMinVersion, bool aSingleVersion) const;
  bool operator==(const RolloutText&) const = default;
};

/// A stretch of an unfinished text. Its owner writes such stretches down while
/// it generates, so that a later owner goes on where the last one ended.
struct RolloutPart {
  std::string mItem;
  int64_t mFrom = 0;    ///< events before it; 0: it begins the text anew
  int64_t mTo = 0;      ///< events of the text including it
  std::string mOutput;  ///< data of its events, joined
  std::vector<int64_t> mVersions;  ///< weights of the text so far
  bool mWhole = false;             ///< its last event ends the text
  std::string mScore;              ///< signature of the scorer's answer, if any
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

/// What to run next.
struct RolloutPick {
  size_t mItem = 0;    ///< index in the step
  std::string mAvoid;  ///< replica that failed it last; may be empty
};

/// The state of one step's items: what runs next, what is finished, what may
/// be listed. The owner of the step is its only user.
class RolloutTracker {
 public:
  /// \param aAttempts failures after which an item is given up
  RolloutTracker(RolloutSpec aSpec, int aAttempts, bool aSingleVersion);

  const RolloutSpec& Spec() const { return mSpec; }
  const RolloutItem& Item(size_t aIndex) const { return mSpec.mItems[aIndex]; }
  std::optional<size_t> IndexOf(const std::string& aItem) const;

  /// Takes over results that were listed before this owner.
  void Restore(const std::vector<RolloutResult>& aListed);
  /// Takes over text of an earlier step, if it fits this one.
  /// \return whether it was used
  bool Adopt(size_t aItem, RolloutText aText);

  /// Stretches of unfinished texts that no store keeps yet. They count as kept
  /// from then on.
  /// \param aWorth events that take long enough to be generated again
  /// \param aMaxBytes of text, at which the rest is left for the next time
  std::vector<RolloutPart> TakeUnstored(int64_t aWorth, size_t aMaxBytes);
  /// \return whether TakeUnstored would give anything out
  bool HasUnstored(int64_t aWorth) const;
  /// The same for the host's disk, of all texts that are not listed: also those
  /// that have ended.
  std::vector<RolloutPart> TakeUnspooled(int64_t aWorth, size_t aMaxBytes);
  /// These results are in the store.
  void Listed(const std::vector<RolloutResult>& aResults);
  /// Takes over what an earlier owner kept, where it is more than what is here.
  /// The parts come as they were written.
  /// \return events of unlisted texts that need not be generated again
  int64_t RestoreTexts(const std::vector<RolloutPart>& aParts);

  /// \return the next item to run, or nothing if none waits
  std::optional<RolloutPick> Next() const;
  void Started(size_t aItem, const std::string& aReplica);
  /// \return the replica that runs it, or ran it last
  const std::string& ReplicaOf(size_t aItem) const {
    return mStates[aItem].mLastReplica;
  }
  /// The text at hand; a run goes on after its last event.
  RolloutText& Text(size_t aItem) { return mStates[aItem].mText; }
  /// A run ended without the whole text and is to be made again.
  /// \param aFailed the replica ran it and failed
  /// \return whether it was given up for that
  bool Interrupted(size_t aItem, bool aFailed);
  /// An item that waits is not to run for now; TerminateUnfinished() ends it
  /// with the others if that does not change.
  void Defer(size_t aItem);
  /// Items that were set aside wait again, if a test allows it.
  /// \param aMayRun whether an item may run now
  void RequeueDeferred(const std::function<bool(size_t aItem)>& aMayRun);
  /// The replica says that the item can never be done.
  void Impossible(size_t aItem);
  /// Text and score are whole.
  void Finished(size_t aItem);
  /// Everything that has not ended is given up, as the longest wait is over.
  void TerminateUnfinished();

  /// Finished results that are not listed yet, in the order they ended.
  std::vector<RolloutResult> TakeUnlisted();
  bool HasUnlisted() const { return !mUnlisted.empty(); }
  bool AllEnded() const { return mEnded == mStates.size(); }
  size_t Waiting() const { return mWaiting.size(); }
  size_t Total() const { return mStates.size(); }
  size_t Ended() const { return mEnded; }
  /// \return groups whose items have all ended
  size_t WholeGroups() const { return mWholeGroups; }
  /// \return whether its trainer has all that it waits for: so many whole
  /// groups, and among them each that it asked for in an earlier step
  bool TargetReached() const;
  /// Texts of items, for a later step that asks for them again.
  std::map<std::string, RolloutText> TextsOfOpenGroups() const;

 private:
  enum class Phase { Waiting, Aside, Running, Ended };
  struct State {
    Phase mPhase = Phase::Waiting;
    int mFailures = 0;
    bool mListed = false;  ///< its result is in the store
    std::string mLastReplica;
    RolloutText mText;
  };
  struct Group {
    size_t mSize = 0;
    size_t mEnded = 0;
    bool mCarried = false;  ///< an earlier step had it too
  };
  /// Place in the order of starts: lower runs sooner.
  struct Place {
    int mRank = 0;  ///< 0: text at hand or carried over; 1: others
    int64_t mExpected = 0;
    size_t mItem = 0;
    bool operator<(const Place& aOther) const;
  };
  Place PlaceOf(size_t aItem) const;
  static bool WorthKeeping(const State& aState, int64_t aWorth);
  static bool WorthSpooling(const State& aState, int64_t aWorth);
  /// \return what a mark does not cover yet; the mark then does
  static RolloutPart Stretch(std::string aItem, RolloutText& aText,
                             TextMark RolloutText::*aMark);
  std::vector<RolloutPart> TakeWorthy(bool (*aWorthy)(const State&, int64_t),
                                      int64_t aWorth, size_t aMaxBytes,
                                      TextMark RolloutText::*aMark);
  void AdoptRestored(size_t aItem, RolloutText aText);
  void End(size_t aItem, RolloutEnd aEnd);
  RolloutResult ResultOf(size_t aItem, RolloutEnd aEnd) const;

  const RolloutSpec mSpec;
  const int mAttempts;
  const bool mSingleVersion;
  std::map<std::string, size_t> mIndex;
  std::map<std::string, Group> mGroups;
  std::vector<State> mStates;
  std::set<Place> mWaiting;
  std::set<size_t> mAside;
  std::vector<RolloutResult> mUnlisted;
  size_t mEnded = 0;
  size_t mWholeGroups = 0;
};

}  // namespace rillwall
