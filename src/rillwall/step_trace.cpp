#include "step_trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

#include "log_line.h"

namespace rillwall {

namespace {

/// Shorter runs tell little of a replica's pace: the prompt is most of them.
constexpr int64_t kTellingEvents = 20;
/// The pace of the fastest replicas: this part of all runs was faster.
constexpr double kFastShare = 0.05;
/// A log that goes back by this holds two runs of its node; smaller steps back
/// come from clocks that are set.
constexpr int64_t kOtherRunMs = 60000;
/// Lines of one step on two hosts whose clocks differ by more are not compared.
constexpr int64_t kClockSlackMs = 1000;

}  // namespace

/// One line of a log.
struct StepTrace::Line {
  const json::object& mFields;
  std::string mNode;
  std::string mEvent;
  int64_t mTime;

  std::string Text(std::string_view aName) const {
    return LineText(mFields, aName);
  }
  int64_t Number(std::string_view aName) const {
    return LineNumber(mFields, aName);
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
      mBroken += HoldsLogLine(text) ? 1 : 0;
      continue;
    }
    int64_t& latest = mLatest[line->mNode];
    if (line->mTime + kOtherRunMs < latest) {
      mGaps.push_back("The log of " + line->mNode +
                      " goes back in time: it holds two runs.");
    }
    latest = line->mTime;
    Take({line->mFields, line->mNode, LineText(line->mFields, "event"),
          line->mTime});
  }
}

void StepTrace::Take(const Line& aLine) {
  if (aLine.mEvent == "item-run") {
    TakeRun(aLine);
    return;
  }
  if (aLine.mEvent == "page-listed") {
    TakePage(aLine);
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

void StepTrace::TakeRun(const Line& aLine) {
  Step& step = mSteps[aLine.Text("step")];
  const Run run{aLine.Text("end"), aLine.mTime, aLine.Number("took_ms"),
                aLine.Number("from_event"), aLine.Number("events")};
  const int64_t begun = run.mEndedAt - run.mTook;
  step.mEarliest =
      step.mEarliest == 0 ? begun : std::min(step.mEarliest, begun);
  step.mRuns[aLine.Text("id")].push_back(run);
}

void StepTrace::TakePage(const Line& aLine) {
  Step& step = mSteps[aLine.Text("id")];
  const json::value* reached = aLine.mFields.if_contains("reached");
  const bool now =
      reached != nullptr && reached->is_bool() && reached->get_bool();
  if (now && !step.mReached) {
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
        const int64_t events = run.mEvents - run.mFrom;
        if (events >= kTellingEvents) {
          paces.push_back(static_cast<double>(run.mTook) /
                          static_cast<double>(events));
        }
      }
    }
  }
  if (paces.empty()) {
    return 0;
  }
  std::sort(paces.begin(), paces.end());
  const double place = kFastShare * static_cast<double>(paces.size() - 1);
  return paces[static_cast<size_t>(place)];
}

std::string StepTrace::Deciding(const Step& aStep) {
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
  path.mItem = Deciding(aStep);
  const std::vector<Run>& runs = aStep.mRuns.at(path.mItem);
  const int64_t first = runs.front().mEndedAt - runs.front().mTook;
  path.mWeights = std::max<int64_t>(0, aStep.mEarliest - path.mAcceptedAt);
  path.mSlot = first - path.mAcceptedAt - path.mWeights;
  path.mEvents = runs.back().mEvents;
  path.mRuns = static_cast<int64_t>(runs.size());
  int64_t made = 0;
  int64_t ran = 0;
  for (const Run& run : runs) {
    made += run.mEvents - run.mFrom;
    ran += run.mTook;
  }
  const auto bound = [aPace](int64_t aEvents) {
    return std::llround(static_cast<double>(aEvents) * aPace);
  };
  const int64_t again =
      std::max<int64_t>(0, made - (path.mEvents - runs.front().mFrom));
  path.mBound = bound(made - again);
  path.mMoves = runs.back().mEndedAt - first - ran + bound(again);
  path.mSlow = ran - path.mBound - bound(again);
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
    if (step.mAccepted && step.mReached && !Deciding(step).empty()) {
      paths.push_back(PathOf(step, pace));
    }
  }
  std::sort(paths.begin(), paths.end(),
            [](const StepPath& aOne, const StepPath& aOther) {
              return aOne.mAcceptedAt < aOther.mAcceptedAt;
            });
  return paths;
}

std::vector<std::string> StepTrace::Gaps() const {
  std::vector<std::string> gaps = mGaps;
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
  if (mBroken > 0) {
    gaps.push_back(std::to_string(mBroken) + " lines can't be read.");
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
    gaps.push_back(std::to_string(clocks) +
                   " steps have lines from before their acceptance: they ran "
                   "while the store was away, or the hosts' clocks differ.");
  }
  return gaps;
}

}  // namespace rillwall
