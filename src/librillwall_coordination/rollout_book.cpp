#include <algorithm>
#include <tuple>
#include <utility>

#include "rillwall/rollout.h"

namespace rillwall {

namespace {

constexpr int kRankBegun = 0;
constexpr int kRankFresh = 1;

}  // namespace

void RolloutText::Append(const std::string& aData, int64_t aVersion) {
  if (mEvents > 0) {
    mOutput += '\n';
  }
  mOutput += aData;
  ++mEvents;
  if (std::find(mVersions.begin(), mVersions.end(), aVersion) ==
      mVersions.end()) {
    mVersions.push_back(aVersion);
  }
}

bool RolloutText::Fits(int64_t aMinVersion, bool aSingleVersion) const {
  if (aSingleVersion && mVersions.size() > 1) {
    return false;
  }
  return std::all_of(
      mVersions.begin(), mVersions.end(),
      [aMinVersion](int64_t aVersion) { return aVersion >= aMinVersion; });
}

bool RolloutBook::Place::operator<(const Place& aOther) const {
  // The longest first: the last item to end decides when the step is whole.
  return std::tuple(mRank, -mExpected, mItem) <
         std::tuple(aOther.mRank, -aOther.mExpected, aOther.mItem);
}

RolloutBook::RolloutBook(RolloutSpec aSpec, int aAttempts, bool aSingleVersion)
    : mSpec(std::move(aSpec)),
      mAttempts(std::max(aAttempts, 1)),
      mSingleVersion(aSingleVersion),
      mStates(mSpec.mItems.size()) {
  for (size_t i = 0; i < mSpec.mItems.size(); ++i) {
    const RolloutItem& item = mSpec.mItems[i];
    mIndex.emplace(item.mId, i);
    ++mGroups[item.mGroup].mSize;
    int64_t& expected = mGroupExpected[item.mGroup];
    expected = std::max(expected, item.mLengthHint);
  }
  for (size_t i = 0; i < mStates.size(); ++i) {
    mWaiting.insert(PlaceOf(i));
  }
}

RolloutBook::Place RolloutBook::PlaceOf(size_t aItem) const {
  const State& state = mStates[aItem];
  const bool begun = state.mText.mEvents > 0 || state.mFailures > 0;
  const auto expected = mGroupExpected.find(mSpec.mItems[aItem].mGroup);
  return {begun ? kRankBegun : kRankFresh, expected->second, aItem};
}

std::optional<size_t> RolloutBook::IndexOf(const std::string& aItem) const {
  const auto found = mIndex.find(aItem);
  if (found == mIndex.end()) {
    return std::nullopt;
  }
  return found->second;
}

void RolloutBook::Restore(const std::vector<RolloutResult>& aListed) {
  for (const RolloutResult& result : aListed) {
    const std::optional<size_t> item = IndexOf(result.mItem);
    if (!item || mStates[*item].mPhase == Phase::Ended) {
      continue;
    }
    State& state = mStates[*item];
    state.mText.mOutput = result.mOutput;
    state.mText.mVersions = result.mVersions;
    state.mText.mScore = result.mScore;
    state.mText.mWhole = result.mEnd == RolloutEnd::Completed;
    End(*item, result.mEnd);
    mUnlisted.pop_back();
  }
}

bool RolloutBook::Adopt(size_t aItem, RolloutText aText) {
  State& state = mStates[aItem];
  if (state.mPhase != Phase::Waiting ||
      !aText.Fits(mSpec.mMinVersion, mSingleVersion)) {
    return false;
  }
  mWaiting.erase(PlaceOf(aItem));
  state.mText = std::move(aText);
  // Kept for its earlier step, under that step's keys.
  state.mText.mKeptEvents = 0;
  state.mText.mKeptBytes = 0;
  if (state.mText.mWhole && !state.mText.mScore.empty()) {
    End(aItem, RolloutEnd::Completed);
  } else {
    mWaiting.insert(PlaceOf(aItem));
  }
  return true;
}

bool RolloutBook::WorthKeeping(const State& aState, int64_t aWorth) {
  const RolloutText& text = aState.mText;
  return aState.mPhase != Phase::Ended &&
         text.mEvents - text.mKeptEvents >= aWorth;
}

bool RolloutBook::HasUnkept(int64_t aWorth) const {
  return std::any_of(mStates.begin(), mStates.end(), [=](const State& aState) {
    return WorthKeeping(aState, aWorth);
  });
}

std::vector<RolloutPart> RolloutBook::TakeUnkept(int64_t aWorth,
                                                 size_t aMaxBytes) {
  std::vector<RolloutPart> parts;
  size_t bytes = 0;
  for (size_t i = 0; bytes < aMaxBytes && i < mStates.size(); ++i) {
    if (!WorthKeeping(mStates[i], aWorth)) {
      continue;
    }
    RolloutText& text = mStates[i].mText;
    RolloutPart part;
    part.mItem = mSpec.mItems[i].mId;
    part.mFrom = text.mKeptEvents;
    part.mTo = text.mEvents;
    // Without the line feed that joins it to what is kept already.
    const size_t begin = text.mKeptEvents > 0 ? text.mKeptBytes + 1 : 0;
    part.mOutput = text.mOutput.substr(begin);
    part.mVersions = text.mVersions;
    part.mWhole = text.mWhole;
    bytes += part.mOutput.size();
    text.mKeptEvents = text.mEvents;
    text.mKeptBytes = text.mOutput.size();
    parts.push_back(std::move(part));
  }
  return parts;
}

int64_t RolloutBook::RestoreTexts(const std::vector<RolloutPart>& aParts) {
  for (const RolloutPart& part : aParts) {
    const std::optional<size_t> item = IndexOf(part.mItem);
    if (!item || mStates[*item].mPhase != Phase::Waiting) {
      continue;
    }
    RolloutText& text = mStates[*item].mText;
    const bool begins = part.mFrom == 0;
    if (!begins && part.mFrom != text.mEvents) {
      continue;
    }
    mWaiting.erase(PlaceOf(*item));
    text.mOutput = begins ? part.mOutput : text.mOutput + '\n' + part.mOutput;
    text.mEvents = part.mTo;
    text.mVersions = part.mVersions;
    text.mWhole = part.mWhole;
    text.mKeptEvents = text.mEvents;
    text.mKeptBytes = text.mOutput.size();
    if (!text.Fits(mSpec.mMinVersion, mSingleVersion)) {
      text = RolloutText();
    }
    mWaiting.insert(PlaceOf(*item));
  }
  int64_t events = 0;
  for (const State& state : mStates) {
    events += state.mPhase == Phase::Waiting ? state.mText.mEvents : 0;
  }
  return events;
}

std::optional<RolloutPick> RolloutBook::Next() const {
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  const size_t item = mWaiting.begin()->mItem;
  const std::string& last = mStates[item].mLastReplica;
  return RolloutPick{item, last};
}

void RolloutBook::Started(size_t aItem, const std::string& aReplica) {
  mWaiting.erase(PlaceOf(aItem));
  mStates[aItem].mPhase = Phase::Running;
  mStates[aItem].mLastReplica = aReplica;
}

bool RolloutBook::Interrupted(size_t aItem, bool aFailed) {
  State& state = mStates[aItem];
  if (state.mPhase != Phase::Running) {
    return false;
  }
  state.mFailures += aFailed ? 1 : 0;
  if (state.mFailures >= mAttempts) {
    End(aItem, RolloutEnd::Terminated);
    return true;
  }
  state.mPhase = Phase::Waiting;
  mWaiting.insert(PlaceOf(aItem));
  return false;
}

void RolloutBook::Impossible(size_t aItem) {
  if (mStates[aItem].mPhase == Phase::Running) {
    End(aItem, RolloutEnd::Terminated);
  }
}

void RolloutBook::Finished(size_t aItem) {
  if (mStates[aItem].mPhase == Phase::Running) {
    End(aItem, RolloutEnd::Completed);
  }
}

void RolloutBook::GiveUpRest() {
  for (size_t i = 0; i < mStates.size(); ++i) {
    if (mStates[i].mPhase != Phase::Ended) {
      End(i, RolloutEnd::Terminated);
    }
  }
}

void RolloutBook::End(size_t aItem, RolloutEnd aEnd) {
  State& state = mStates[aItem];
  if (state.mPhase == Phase::Waiting) {
    mWaiting.erase(PlaceOf(aItem));
  }
  state.mPhase = Phase::Ended;
  ++mEnded;
  Group& group = mGroups[mSpec.mItems[aItem].mGroup];
  ++group.mEnded;
  mWholeGroups += group.mEnded == group.mSize ? 1 : 0;
  mUnlisted.push_back(ResultOf(aItem, aEnd));
}

RolloutResult RolloutBook::ResultOf(size_t aItem, RolloutEnd aEnd) const {
  const RolloutText& text = mStates[aItem].mText;
  RolloutResult result;
  result.mItem = mSpec.mItems[aItem].mId;
  result.mEnd = aEnd;
  if (aEnd == RolloutEnd::Completed) {
    result.mOutput = text.mOutput;
    result.mVersions = text.mVersions;
    result.mScore = text.mScore;
  }
  return result;
}

std::vector<RolloutResult> RolloutBook::TakeUnlisted() {
  return std::exchange(mUnlisted, {});
}

std::map<std::string, RolloutText> RolloutBook::TextsOfOpenGroups() const {
  std::map<std::string, RolloutText> texts;
  for (size_t i = 0; i < mStates.size(); ++i) {
    const RolloutItem& item = mSpec.mItems[i];
    const Group& group = mGroups.at(item.mGroup);
    const RolloutText& text = mStates[i].mText;
    const bool any = text.mEvents > 0 || text.mWhole;
    if (group.mEnded < group.mSize && any) {
      texts.emplace(item.mId, text);
    }
  }
  return texts;
}

}  // namespace rillwall
