#include "step_trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

#include "log_line.h"

namespace rillwall {

namespace {

/// Runs with fewer events are ignored for the pace, because processing the
/// prompt takes most of their time.
constexpr int64_t kMinEventsForPace = 20;
/// The fastest replicas' pace is the pace that only this fraction of runs
/// beats.
constexpr double kFastestFraction = 0.05;
/// A log whose time goes back by more than this contains two runs of its node.
/// Smaller steps back come from clock adjustments.
constexpr int64_t kNewRunBackstepMs = 60000;
/// A run that starts earlier than this before the acceptance of its step is
/// reported as a clock difference.
constexpr int64_t kClockSlackMs = 1000;

}  // namespace

/// One line of a log.
struct StepTrace::Line {
  const json::object& mFields;
  std::string mNode;
  std::string mEvent;
  int64_t mTime;

  std::string Text(std::string_view aName) const {
    return TextField(mFields, aName);
  }
  int64_t Number(std::string_view aName) const {
    return NumberField(mFields, aName);
  }
};

const std::vector<StepPart>& StepParts() {
  static const std::vector<StepPart> kParts = {
      {"weights", &StepPath::mWeights}, {"slot", &StepPath::mSlot},
      {"bound", &StepPath::mBound},     {"slow", &StepPath::mSlow},
      {"moves", &StepPath::mMoves},     {"score", &StepPath::mScore},
      {"listing", &StepPath::mListing}, {"read", &StepPath::mRead}};
  return kParts;
}

void StepTrace::Read(std::istream& aLog, const std::string& aName) {
  std::string text;
  while (std::getline(aLog, text)) {
    const std::optional<LogLine> line = ParseLogLine(text, aName);
    if (!line) {
      mUnparsedLines += ContainsLogLine(text) ? 1 : 0;
      continue;
    }
    int64_t& latest = mLatest[line->mNode];
    if (line->mTime + kNewRunBackstepMs < latest) {
      mWarnings.push_back("The log of " + line->mNode +
                          " goes back in time: it holds two runs.");
    }
    latest = line->mTime;
    ReadEvent({line->mFields, line->mNode, TextField(line->mFields, "event"),
               line->mTime});
  }
}

void StepTrace::ReadEvent(const Line& aLine) {
  if (aLine.mEvent == "item-run") {
    ReadRun(aLine);
    return;
  }
  if (aLine.mEvent == "page-listed") {
    ReadPage(aLine);
    return;
  }
  if (aLine.mEvent == "step-accepted") {
    Step& step = mSteps[aLine.Text("id")];
    step.mAccepted = true;
    step.mPath.mId = aLine.Text("id");
    step.mPath.mModel = aLine.Text("model");
    step.mPath.mStep = aLine.Number("step");
    step.mPath.mAcceptedAt = aLine.mTime;
    step.mPath.mStore = aLine.Number("store_ms");
    step.mHasDue = aLine.mFields.contains("due_in_ms");
    step.mDue = aLine.mTime + aLine.Number("due_in_ms");
  } else if (aLine.mEvent == "step-ended") {
    mSteps[aLine.Text("id")].mEndedAt = aLine.mTime;
  }
}

void StepTrace::ReadRun(const Line& aLine) {
  Step& step = mSteps[aLine.Text("step")];
  const Run run{aLine.Text("end"), aLine.mTime, aLine.Number("took_ms"),
                aLine.Number("from_event"), aLine.Number("events")};
  const int64_t startedAt = run.mEndedAt - run.mDuration;
  step.mEarliest =
      step.mEarliest == 0 ? startedAt : std::min(step.mEarliest, startedAt);
  step.mRuns[aLine.Text("id")].push_back(run);
}

void StepTrace::ReadPage(const Line& aLine) {
  Step& step = mSteps[aLine.Text("id")];
  const json::value* reached = aLine.mFields.if_contains("reached");
  const bool targetReached =
      reached != nullptr && reached->is_bool() && reached->get_bool();
  if (targetReached && !step.mReached) {
    step.mReached = true;
    step.mListedAt = aLine.mTime;
    step.mListing = aLine.Number("store_ms");
  }
}

double StepTrace::FastestPace() const {
  std::vector<double> paces;
  for (const auto& [id, step] : mSteps) {
    for (const auto& [item, runs] : step.mRuns) {
      for (const Run& run : runs) {
        const int64_t events = run.mEvents - run.mFirstEvent;
        if (events >= kMinEventsForPace) {
          paces.push_back(static_cast<double>(run.mDuration) /
                          static_cast<double>(events));
        }
      }
    }
  }
  if (paces.empty()) {
    return 0;
  }
  std::sort(paces.begin(), paces.end());
  const double index = kFastestFraction * static_cast<double>(paces.size() - 1);
  return paces[static_cast<size_t>(index)];
}

std::string StepTrace::LastCompletedItem(const Step& aStep) {
  std::string deciding;
  int64_t latest = 0;
  for (const auto& [item, runs] : aStep.mRuns) {
    const Run& last = runs.back();
    const bool listed = last.mEndedAt <= aStep.mListedAt;
    if (last.mEnd == "whole" && listed && last.mEndedAt > latest) {
      latest = last.mEndedAt;
      deciding = item;
    }
  }
  return deciding;
}

StepPath StepTrace::PathOf(const Step& aStep, double aPace) {
  StepPath path = aStep.mPath;
  path.mItem = LastCompletedItem(aStep);
  const std::vector<Run>& runs = aStep.mRuns.at(path.mItem);
  const int64_t first = runs.front().mEndedAt - runs.front().mDuration;
  path.mWeights = std::max<int64_t>(0, aStep.mEarliest - path.mAcceptedAt);
  path.mSlot = first - path.mAcceptedAt - path.mWeights;
  path.mEvents = runs.back().mEvents;
  path.mRuns = static_cast<int64_t>(runs.size());
  int64_t produced = 0;
  int64_t runTime = 0;
  for (const Run& run : runs) {
    produced += run.mEvents - run.mFirstEvent;
    runTime += run.mDuration;
  }
  const auto bound = [aPace](int64_t aEvents) {
    return std::llround(static_cast<double>(aEvents) * aPace);
  };
  const int64_t repeated = std::max<int64_t>(
      0, produced - (path.mEvents - runs.front().mFirstEvent));
  path.mBound = bound(produced - repeated);
  path.mMoves = runs.back().mEndedAt - first - runTime + bound(repeated);
  path.mSlow = runTime - path.mBound - bound(repeated);
  path.mListing = aStep.mListing;
  path.mScore = aStep.mListedAt - aStep.mListing - runs.back().mEndedAt;
  path.mRead = aStep.mEndedAt == 0 ? 0 : aStep.mEndedAt - aStep.mListedAt;
  path.mLate = aStep.mHasDue ? aStep.mListedAt - aStep.mDue : 0;
  return path;
}

std::vector<StepPath> StepTrace::Paths() const {
  const double pace = FastestPace();
  std::vector<StepPath> paths;
  for (const auto& [id, step] : mSteps) {
    if (step.mAccepted && step.mReached && !LastCompletedItem(step).empty()) {
      paths.push_back(PathOf(step, pace));
    }
  }
  std::sort(paths.begin(), paths.end(),
            [](const StepPath& aOne, const StepPath& aOther) {
              return aOne.mAcceptedAt < aOther.mAcceptedAt;
            });
  return paths;
}

std::vector<std::string> StepTrace::Warnings() const {
  std::vector<std::string> gaps = mWarnings;
  size_t unknown = 0;
  size_t open = 0;
  size_t clocks = 0;
  for (const auto& [id, step] : mSteps) {
    unknown += step.mAccepted ? 0 : 1;
    open += step.mAccepted && !step.mReached ? 1 : 0;
    const bool earlier =
        step.mEarliest + kClockSlackMs < step.mPath.mAcceptedAt;
    clocks += step.mAccepted && step.mEarliest > 0 && earlier ? 1 : 0;
  }
  if (mUnparsedLines > 0) {
    gaps.push_back(std::to_string(mUnparsedLines) + " lines can't be read.");
  }
  if (unknown > 0) {
    gaps.push_back(std::to_string(unknown) +
                   " steps were accepted by nodes whose logs are missing; add "
                   "these logs.");
  }
  if (open > 0) {
    gaps.push_back(std::to_string(open) +
                   " steps did not reach their target in these logs.");
  }
  if (clocks > 0) {
    gaps.push_back(
        std::to_string(clocks) +
        " steps have lines from before their acceptance: they ran "
        "while the store was unreachable, or the hosts' clocks differ.");
  }
  return gaps;
}

}  // namespace rillwall
