/// \file
/// Computes the critical paths of rollout steps from the logs of the nodes.
///
/// The critical path of a step is that of the item that was completed last
/// before the trainer could continue. It is split into parts that add up to the
/// time from the acceptance of the step until the trainer could continue.

#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace rillwall {

/// Critical path of one step. All times are in ms.
struct StepPath {
  std::string mId;
  std::string mModel;
  int64_t mStep = 0;
  int64_t mAcceptedAt = 0;  ///< wall clock of the owner
  int64_t mStore = 0;       ///< writing its record, before the acceptance
  std::string mItem;        ///< id of the item on the critical path
  int64_t mEvents = 0;      ///< number of events in the item's text
  int64_t mRuns = 0;        ///< number of runs of the item
  int64_t mWeights = 0;     ///< from the acceptance until an item ran
  int64_t mSlot = 0;        ///< from the end of mWeights until mItem ran
  int64_t mBound = 0;       ///< the item's events at the fastest replicas' pace
  int64_t mSlow = 0;        ///< time of its runs beyond mBound
  int64_t mMoves = 0;       ///< gaps between its runs, and repeated events
  int64_t mScore = 0;       ///< from its last run until its listing began
  int64_t mListing = 0;     ///< the write that listed it
  int64_t mRead = 0;        ///< from the listing until the step was ended
  int64_t mLate = 0;        ///< listing after the due time; negative if before

  /// \return time from the acceptance until the trainer could continue
  int64_t Reached() const {
    return mWeights + mSlot + mBound + mSlow + mMoves + mScore + mListing;
  }
  bool operator==(const StepPath&) const = default;
};

/// A part of the critical path: its name in tables and its member.
struct StepPart {
  const char* mName;
  int64_t StepPath::*mValue;
};
/// \return the parts in chronological order
const std::vector<StepPart>& StepParts();

/// Collects the log lines about steps.
class StepTrace {
 public:
  /// Reads the log of one node. Other text may precede the JSON of a line.
  /// \param aName name of the file
  void Read(std::istream& aLog, const std::string& aName);
  /// \return the steps that reached their target, in the order of acceptance
  std::vector<StepPath> Paths() const;
  /// \return messages about lines and steps that were left out or are doubtful
  std::vector<std::string> Warnings() const;

 private:
  struct Run {
    std::string mEnd;
    int64_t mEndedAt = 0;
    int64_t mDuration = 0;
    int64_t mFirstEvent = 0;
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
    int64_t mEarliest = 0;  ///< earliest start of a run on any node
    std::map<std::string, std::vector<Run>> mRuns;  ///< by item
  };
  struct Line;

  void ReadEvent(const Line& aLine);
  void ReadRun(const Line& aLine);
  void ReadPage(const Line& aLine);
  /// \return ms per event of the fastest replicas, 0 if no run is long enough
  double FastestPace() const;
  /// \return the item that was completed last before the listing with which the
  /// step reached its target, empty if none is known
  static std::string LastCompletedItem(const Step& aStep);
  static StepPath PathOf(const Step& aStep, double aPace);

  std::map<std::string, Step> mSteps;
  std::map<std::string, int64_t> mLatest;  ///< time of the last line, by node
  std::vector<std::string> mWarnings;
  uint64_t mUnparsedLines = 0;
};

}  // namespace rillwall
