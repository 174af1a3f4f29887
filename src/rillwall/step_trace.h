/// \file
/// Where the time of rollout steps went, read from the logs of their owners.
///
/// A step is as long as its critical path: the item that was whole last when
/// its trainer could go on. The path is told in parts that add up to the time
/// from the acceptance to the end.

#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace rillwall {

/// One step's critical path. All times in ms.
struct StepPath {
  std::string mId;
  std::string mModel;
  int64_t mStep = 0;
  int64_t mAcceptedAt = 0;  ///< wall clock of its owner
  int64_t mStore = 0;       ///< its record was written, before the acceptance
  std::string mItem;        ///< that decided
  int64_t mEvents = 0;      ///< of its text
  int64_t mRuns = 0;        ///< that its text took
  int64_t mWeights = 0;     ///< until any item of the step ran
  int64_t mSlot = 0;        ///< from then until this item ran
  int64_t mBound = 0;       ///< its events at the pace of the fastest replicas
  int64_t mSlow = 0;        ///< what its runs took beyond that
  int64_t mMoves = 0;       ///< between its runs, and events made again
  int64_t mScore = 0;       ///< until the write that listed it began
  int64_t mListing = 0;     ///< that write
  int64_t mRead = 0;        ///< until the trainer ended the step
  int64_t mLate = 0;        ///< listing after the due time; negative: before

  /// \return from the acceptance until the trainer could go on
  int64_t Reached() const {
    return mWeights + mSlot + mBound + mSlow + mMoves + mScore + mListing;
  }
  bool operator==(const StepPath&) const = default;
};

/// A part of the path, for tables: its name and its member.
struct StepPart {
  const char* mName;
  int64_t StepPath::*mValue;
};
/// \return the parts in the order in which they pass
const std::vector<StepPart>& StepParts();

/// Gathers the lines that tell of steps.
class StepTrace {
 public:
  /// Reads one node's log: JSON lines, each with words before it or not.
  void Read(std::istream& aLog, const std::string& aName);
  /// \return steps whose target was reached, in the order of acceptance
  std::vector<StepPath> Paths() const;
  /// \return what a reader should know: lines or steps that are left out
  std::vector<std::string> Gaps() const;

 private:
  struct Run {
    std::string mEnd;
    int64_t mEndedAt = 0;
    int64_t mTook = 0;
    int64_t mFrom = 0;
    int64_t mEvents = 0;
  };
  struct Step {
    StepPath mPath;
    bool mAccepted = false;
    int64_t mDue = 0;
    bool mHasDue = false;
    int64_t mListedAt = 0;
    int64_t mListing = 0;
    bool mReached = false;
    int64_t mEndedAt = 0;
    int64_t mEarliest = 0;  ///< its earliest line of any node
    std::map<std::string, std::vector<Run>> mRuns;  ///< by item
  };
  struct Line;

  void Take(const Line& aLine);
  void TakeRun(const Line& aLine);
  void TakePage(const Line& aLine);
  /// \return ms an event of the fastest replicas, 0 if no run tells
  double FastestPace() const;
  /// \return the item that was whole last at the decisive listing, empty if
  /// none is known
  static std::string Deciding(const Step& aStep);
  static StepPath PathOf(const Step& aStep, double aPace);

  std::map<std::string, Step> mSteps;
  std::map<std::string, int64_t> mLatest;  ///< time by node
  std::vector<std::string> mGaps;
  uint64_t mBroken = 0;
};

}  // namespace rillwall
