#include <algorithm>
#include <array>
#include <cstdint>
#include <tuple>
#include <utility>

#include "rillwall/rollout.h"

namespace rillwall {

namespace {

constexpr int kRankStarted = 0;
constexpr int kRankNew = 1;
constexpr size_t kQuotes = 2;

/// \return the size of each character in JSON
constexpr std::array<uint8_t, 256> EncodedSizes() {
  constexpr uint8_t kShortEscape = 2;
  constexpr uint8_t kLongEscape = 6;
  std::array<uint8_t, 256> sizes{};
  for (size_t i = 0; i < sizes.size(); ++i) {
    sizes[i] = i < ' ' ? kLongEscape : 1;
  }
  for (const char each : {'"', '\\', '\b', '\f', '\n', '\r', '\t'}) {
    sizes[static_cast<unsigned char>(each)] = kShortEscape;
  }
  return sizes;
}
constexpr std::array<uint8_t, 256> kEncodedSizes = EncodedSizes();

}  // namespace

size_t EncodedBytes(std::string_view aText) {
  size_t bytes = kQuotes;
  for (const char each : aText) {
    bytes += kEncodedSizes[static_cast<unsigned char>(each)];
  }
  return bytes;
}

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

bool RolloutText::SatisfiesVersions(int64_t aMinVersion,
                                    bool aSingleVersion) const {
  if (aSingleVersion && mVersions.size() > 1) {
    return false;
  }
  return std::all_of(
      mVersions.begin(), mVersions.end(),
      [aMinVersion](int64_t aVersion) { return aVersion >= aMinVersion; });
}

bool RolloutTracker::StartOrder::operator<(const StartOrder& aOther) const {
  // Each item is ordered by its own hint, the longest first, because the step
  // is complete only when its last item has ended.
  return std::tuple(mRank, -mExpectedTokens, mItem) <
         std::tuple(aOther.mRank, -aOther.mExpectedTokens, aOther.mItem);
}

RolloutTracker::RolloutTracker(RolloutSpec aSpec, int aAttempts,
                               bool aSingleVersion)
    : mSpec(std::move(aSpec)),
      mAttempts(std::max(aAttempts, 1)),
      mSingleVersion(aSingleVersion),
      mStates(mSpec.mItems.size()) {
  for (size_t i = 0; i < mSpec.mItems.size(); ++i) {
    const RolloutItem& item = mSpec.mItems[i];
    mIndex.emplace(item.mId, i);
    ++mGroups[item.mGroup].mSize;
  }
  std::map<std::string, size_t> positions;
  for (size_t i = 0; i < mStates.size(); ++i) {
    const std::string& group = mSpec.mItems[i].mGroup;
    mGroupOf.push_back(
        positions.emplace(group, positions.size()).first->second);
    Enqueue(i);
  }
}

void RolloutTracker::SetLimits(int aAttempts, bool aSingleVersion) {
  mAttempts = std::max(aAttempts, 1);
  mSingleVersion = aSingleVersion;
}

RolloutTracker::StartOrder RolloutTracker::StartOrderOf(size_t aItem) const {
  const State& state = mStates[aItem];
  const bool started = state.mText.mEvents > 0 || state.mFailures > 0;
  return {started ? kRankStarted : kRankNew, mSpec.mItems[aItem].mLengthHint,
          aItem};
}

void RolloutTracker::Enqueue(size_t aItem) {
  mWaiting.insert(StartOrderOf(aItem));
  ++mQueued;
}

std::optional<size_t> RolloutTracker::IndexOf(const std::string& aItem) const {
  const auto found = mIndex.find(aItem);
  if (found == mIndex.end()) {
    return std::nullopt;
  }
  return found->second;
}

void RolloutTracker::Restore(const std::vector<RolloutResult>& aListed) {
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
    state.mListed = true;
    mUnlisted.pop_back();
  }
}

bool RolloutTracker::Adopt(size_t aItem, RolloutText aText) {
  State& state = mStates[aItem];
  mGroups.at(mSpec.mItems[aItem].mGroup).mCarriedOver = true;
  if (state.mPhase != Phase::Waiting ||
      !aText.SatisfiesVersions(mSpec.mMinVersion, mSingleVersion)) {
    return false;
  }
  mWaiting.erase(StartOrderOf(aItem));
  state.mText = std::move(aText);
  // Parts that are already persisted are stored under the keys of the earlier
  // step, so this step has to persist the text again.
  state.mText.mStored = PersistedPrefix();
  state.mText.mSpooled = PersistedPrefix();
  if (state.mText.mWhole && !state.mText.mScore.empty()) {
    End(aItem, RolloutEnd::Completed);
  } else {
    Enqueue(aItem);
  }
  return true;
}

bool RolloutTracker::WorthStoring(const State& aState, int64_t aMinEvents) {
  const RolloutText& text = aState.mText;
  return aState.mPhase != Phase::Ended &&
         text.mEvents - text.mStored.mEvents >= aMinEvents;
}

bool RolloutTracker::WorthSpooling(const State& aState, int64_t aMinEvents) {
  const RolloutText& text = aState.mText;
  const bool scored = !text.mScore.empty() && !text.mSpooled.mScored;
  return !aState.mListed && text.mEvents > 0 &&
         (scored || text.mEvents - text.mSpooled.mEvents >= aMinEvents);
}

bool RolloutTracker::HasUnstored(int64_t aMinEvents) const {
  return std::any_of(mStates.begin(), mStates.end(), [=](const State& aState) {
    return WorthStoring(aState, aMinEvents);
  });
}

std::string_view RolloutTracker::PartAfter(const RolloutText& aText,
                                           const PersistedPrefix& aPrefix) {
  if (aText.mEvents <= aPrefix.mEvents) {
    return {};
  }
  // Skips the line feed that joins the part to the persisted prefix.
  const size_t begin = aPrefix.mEvents > 0 ? aPrefix.mBytes + 1 : 0;
  return std::string_view(aText.mOutput).substr(begin);
}

RolloutPart RolloutTracker::TakePart(std::string aItem, RolloutText& aText,
                                     PersistedPrefix RolloutText::*aPrefix) {
  PersistedPrefix& prefix = aText.*aPrefix;
  RolloutPart part;
  part.mItem = std::move(aItem);
  part.mFrom = prefix.mEvents;
  part.mTo = aText.mEvents;
  part.mOutput = PartAfter(aText, prefix);
  part.mVersions = aText.mVersions;
  part.mWhole = aText.mWhole;
  part.mScore = aText.mScore;
  prefix = {aText.mEvents, aText.mOutput.size(), !aText.mScore.empty()};
  return part;
}

std::vector<RolloutPart> RolloutTracker::TakeParts(
    bool (*aSelects)(const State&, int64_t), int64_t aMinEvents,
    size_t aMaxBytes, bool aMayExceed, PersistedPrefix RolloutText::*aPrefix) {
  std::vector<RolloutPart> parts;
  size_t bytes = 0;
  for (size_t i = 0; bytes < aMaxBytes && i < mStates.size(); ++i) {
    if (!aSelects(mStates[i], aMinEvents)) {
      continue;
    }
    RolloutText& text = mStates[i].mText;
    const size_t size = EncodedBytes(PartAfter(text, text.*aPrefix));
    if (bytes + size <= aMaxBytes || (aMayExceed && parts.empty())) {
      parts.push_back(TakePart(mSpec.mItems[i].mId, text, aPrefix));
      bytes += size;
    }
  }
  return parts;
}

std::vector<RolloutPart> RolloutTracker::TakeUnstored(int64_t aMinEvents,
                                                      size_t aMaxBytes,
                                                      bool aMayExceed) {
  return TakeParts(&WorthStoring, aMinEvents, aMaxBytes, aMayExceed,
                   &RolloutText::mStored);
}

std::vector<RolloutPart> RolloutTracker::TakeUnspooled(int64_t aMinEvents,
                                                       size_t aMaxBytes) {
  return TakeParts(&WorthSpooling, aMinEvents, aMaxBytes, true,
                   &RolloutText::mSpooled);
}

void RolloutTracker::Listed(const std::vector<RolloutResult>& aResults) {
  for (const RolloutResult& result : aResults) {
    const std::optional<size_t> item = IndexOf(result.mItem);
    if (item) {
      mStates[*item].mListed = true;
    }
  }
}

void RolloutTracker::AdoptRestored(size_t aItem, RolloutText aText) {
  State& state = mStates[aItem];
  const RolloutText& here = state.mText;
  const bool more = std::tuple(aText.mEvents, aText.mScore.size()) >
                    std::tuple(here.mEvents, here.mScore.size());
  if (state.mPhase != Phase::Waiting || !more ||
      !aText.SatisfiesVersions(mSpec.mMinVersion, mSingleVersion)) {
    return;
  }
  mWaiting.erase(StartOrderOf(aItem));
  state.mText = std::move(aText);
  Enqueue(aItem);
  if (state.mText.mWhole && !state.mText.mScore.empty()) {
    End(aItem, RolloutEnd::Completed);
  }
}

int64_t RolloutTracker::RestoreTexts(const std::vector<RolloutPart>& aParts,
                                     bool aInStore) {
  std::map<size_t, RolloutText> texts;
  for (const RolloutPart& part : aParts) {
    const std::optional<size_t> item = IndexOf(part.mItem);
    if (!item) {
      continue;
    }
    RolloutText& text = texts[*item];
    if (part.mFrom == 0) {
      text = RolloutText();
    } else if (part.mFrom != text.mEvents) {
      continue;
    }
    if (part.mTo > part.mFrom) {
      text.mOutput += (part.mFrom > 0 ? "\n" : "") + part.mOutput;
    }
    text.mEvents = part.mTo;
    text.mVersions = part.mVersions;
    text.mWhole = part.mWhole;
    text.mScore = part.mScore;
    if (aInStore) {
      text.mStored = {text.mEvents, text.mOutput.size(), false};
    }
  }
  for (auto& [item, text] : texts) {
    AdoptRestored(item, std::move(text));
  }
  int64_t events = 0;
  for (const State& state : mStates) {
    events += state.mListed ? 0 : state.mText.mEvents;
  }
  return events;
}

std::vector<RolloutPart> RolloutTracker::UnlistedTexts(size_t aMaxBytes) const {
  std::vector<RolloutPart> parts;
  size_t bytes = 0;
  for (const bool whole : {true, false}) {
    for (size_t i = 0; bytes < aMaxBytes && i < mStates.size(); ++i) {
      RolloutText text = mStates[i].mText;
      if (mStates[i].mListed || text.mEvents == 0 || text.mWhole != whole) {
        continue;
      }
      text.mStored = PersistedPrefix();
      parts.push_back(
          TakePart(mSpec.mItems[i].mId, text, &RolloutText::mStored));
      bytes += parts.back().mOutput.size();
    }
  }
  return parts;
}

size_t RolloutTracker::CompleteUnlistedTexts() const {
  return static_cast<size_t>(
      std::count_if(mStates.begin(), mStates.end(), [](const State& aState) {
        return !aState.mListed && aState.mText.mWhole;
      }));
}

std::optional<RolloutPick> RolloutTracker::Next() const {
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  const size_t item = mWaiting.begin()->mItem;
  const std::string& last = mStates[item].mLastReplica;
  return RolloutPick{item, last};
}

void RolloutTracker::Started(size_t aItem, const std::string& aReplica) {
  mWaiting.erase(StartOrderOf(aItem));
  mStates[aItem].mPhase = Phase::Running;
  mStates[aItem].mLastReplica = aReplica;
}

bool RolloutTracker::Interrupted(size_t aItem, bool aFailed) {
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
  Enqueue(aItem);
  return false;
}

void RolloutTracker::Defer(size_t aItem, bool aHeld) {
  State& state = mStates[aItem];
  state.mHeld = aHeld;
  if (state.mPhase == Phase::Waiting) {
    mWaiting.erase(StartOrderOf(aItem));
    state.mPhase = Phase::Deferred;
    mDeferred.insert(aItem);
  }
}

void RolloutTracker::RequeueDeferred(
    const std::function<bool(size_t aItem)>& aMayRun) {
  for (auto at = mDeferred.begin(); at != mDeferred.end();) {
    if (!aMayRun(*at)) {
      ++at;
      continue;
    }
    mStates[*at].mPhase = Phase::Waiting;
    Enqueue(*at);
    at = mDeferred.erase(at);
  }
}

void RolloutTracker::Impossible(size_t aItem) {
  if (mStates[aItem].mPhase == Phase::Running) {
    End(aItem, RolloutEnd::Terminated);
  }
}

void RolloutTracker::Finished(size_t aItem) {
  if (mStates[aItem].mPhase == Phase::Running) {
    End(aItem, RolloutEnd::Completed);
  }
}

void RolloutTracker::TerminateUnfinished() {
  for (size_t i = 0; i < mStates.size(); ++i) {
    if (mStates[i].mPhase != Phase::Ended) {
      End(i, RolloutEnd::Terminated);
    }
  }
}

void RolloutTracker::End(size_t aItem, RolloutEnd aEnd) {
  State& state = mStates[aItem];
  if (state.mPhase == Phase::Waiting) {
    mWaiting.erase(StartOrderOf(aItem));
  }
  mDeferred.erase(aItem);
  state.mPhase = Phase::Ended;
  ++mEnded;
  Group& group = mGroups[mSpec.mItems[aItem].mGroup];
  ++group.mEnded;
  mWholeGroups += group.mEnded == group.mSize ? 1 : 0;
  mUnlisted.push_back(ResultOf(aItem, aEnd));
}

RolloutResult RolloutTracker::ResultOf(size_t aItem, RolloutEnd aEnd) const {
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

std::vector<RolloutResult> RolloutTracker::TakeUnlisted() {
  return std::exchange(mUnlisted, {});
}

bool RolloutTracker::TargetReached() const {
  if (static_cast<int64_t>(mWholeGroups) <
      std::max<int64_t>(mSpec.mTargetGroups, 1)) {
    return false;
  }
  return std::all_of(mGroups.begin(), mGroups.end(), [](const auto& aEntry) {
    const Group& group = aEntry.second;
    return !group.mCarriedOver || group.mEnded == group.mSize;
  });
}

std::vector<OpenGroup> RolloutTracker::OpenGroups(
    const LengthHints& aLengths) const {
  std::vector<OpenGroup> groups(mGroups.size());
  for (size_t i = 0; i < mStates.size(); ++i) {
    const State& state = mStates[i];
    OpenGroup& group = groups[mGroupOf[i]];
    const bool begun = state.mPhase == Phase::Running ||
                       state.mPhase == Phase::Ended || state.mText.mEvents > 0;
    group.mBegun = group.mBegun || begun;
    if (state.mPhase == Phase::Ended) {
      continue;
    }
    OpenItem item;
    item.mItem = i;
    item.mLengthHint = mSpec.mItems[i].mLengthHint;
    item.mWaiting = state.mPhase == Phase::Waiting;
    item.mHeld = state.mPhase == Phase::Deferred && state.mHeld;
    item.mWhole = state.mText.mWhole;
    if (!item.mWhole) {
      item.mEventsLeft = ExpectedRemainingEvents(
          state.mText.mEvents, aLengths.Events(item.mLengthHint));
    }
    group.mItems.push_back(item);
  }
  for (OpenGroup& group : groups) {
    if (!group.mItems.empty()) {
      const RolloutItem& first = mSpec.mItems[group.mItems.front().mItem];
      group.mCarriedOver = mGroups.at(first.mGroup).mCarriedOver;
    }
  }
  std::erase_if(groups,
                [](const OpenGroup& aGroup) { return aGroup.mItems.empty(); });
  return groups;
}

std::map<std::string, RolloutText> RolloutTracker::TextsOfOpenGroups() const {
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
