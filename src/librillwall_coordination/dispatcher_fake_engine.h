/// \file
/// Fake model engine for measuring the dispatcher's decisions in one process
/// and in simulated time.

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

#include "rillwall/dispatcher.h"

namespace rillwall::fakes {

/// Step of the simulated time.
inline constexpr Millis kStep{10};

/// One call at an engine.
struct FakeStream {
  uint64_t mTicket = 0;
  size_t mNode = 0;
  CallClass mClass = CallClass::Interactive;
  uint64_t mPrefix = 0;
  double mPrefillMs = 0;
  double mTokensLeft = 0;
  double mUnsent = 0;
};

/// Progress of one stream in a step.
struct FakeEvent {
  uint64_t mTicket = 0;
  size_t mNode = 0;
  int64_t mTokens = 0;
  bool mDone = false;
};

/// Engine with continuous batching. Calls beyond its slots wait, interactive
/// ones first.
class FakeEngine {
 public:
  std::string mId;
  std::string mZone;
  int64_t mSlots = 16;      ///< slots in its reports
  int64_t mRealSlots = 16;  ///< slots that its memory allows
  double mSpeed = 1;
  bool mHidesWaiting = false;  ///< reports no calls waiting
  bool mDead = false;          ///< fails every call
  bool mFrozen = false;        ///< accepts calls but makes no progress
  uint64_t mHits = 0;          ///< of the prefix cache
  uint64_t mMisses = 0;

  /// \return whether the call was accepted
  bool Add(FakeStream aStream) {
    constexpr size_t kMaxWaiting = 128;
    if (mDead || mWaiting.size() >= kMaxWaiting) {
      return false;
    }
    const bool first = aStream.mClass == CallClass::Interactive;
    const auto behind = [](const FakeStream& aOther) {
      return aOther.mClass == CallClass::Training;
    };
    const auto position =
        first ? std::find_if(mWaiting.begin(), mWaiting.end(), behind)
              : mWaiting.end();
    mWaiting.insert(position, aStream);
    return true;
  }

  /// \return whether the call was there
  bool Remove(uint64_t aTicket) {
    const auto same = [aTicket](const FakeStream& aStream) {
      return aStream.mTicket == aTicket;
    };
    return std::erase_if(mRunning, same) + std::erase_if(mWaiting, same) > 0;
  }

  /// Stops the engine.
  /// \return the streams that were interrupted
  std::vector<FakeStream> Crash() {
    std::vector<FakeStream> cut = mRunning;
    cut.insert(cut.end(), mWaiting.begin(), mWaiting.end());
    mRunning.clear();
    mWaiting.clear();
    mDead = true;
    return cut;
  }

  /// Advances the time by kStep and appends the progress to aEvents.
  void Step(std::vector<FakeEvent>& aEvents) {
    if (mFrozen) {
      return;
    }
    const auto limit = static_cast<size_t>(std::max<int64_t>(mRealSlots, 1));
    while (mRunning.size() < limit && !mWaiting.empty()) {
      mRunning.push_back(Begin(mWaiting.front()));
      mWaiting.pop_front();
    }
    const double perStream = TokensPerStep();
    for (FakeStream& stream : mRunning) {
      Advance(stream, perStream, aEvents);
    }
    std::erase_if(mRunning, [](const FakeStream& aStream) {
      return aStream.mTokensLeft <= 0;
    });
  }

  LoadReport Load() const {
    return {
        .mRunning = static_cast<int64_t>(mRunning.size()),
        .mWaiting = mHidesWaiting ? 0 : static_cast<int64_t>(mWaiting.size()),
        .mSlots = mSlots};
  }

 private:
  static constexpr size_t kCachedPrefixes = 24;
  static constexpr int64_t kChunkTokens = 4;

  FakeStream Begin(FakeStream aStream) {
    if (aStream.mPrefix == 0) {
      return aStream;
    }
    const auto found = std::find(mCache.begin(), mCache.end(), aStream.mPrefix);
    ++(found == mCache.end() ? mMisses : mHits);
    if (found != mCache.end()) {
      mCache.erase(found);
      aStream.mPrefillMs *= 0.2;
    }
    mCache.push_front(aStream.mPrefix);
    if (mCache.size() > kCachedPrefixes) {
      mCache.pop_back();
    }
    return aStream;
  }

  double TokensPerStep() const {
    // A full batch of 16 runs each stream at about half the speed of a single
    // one.
    const double batch = static_cast<double>(mRunning.size());
    return mSpeed * 0.5 / (1 + batch / 16.0);
  }

  void Advance(FakeStream& aStream, double aTokens,
               std::vector<FakeEvent>& aEvents) const {
    if (aStream.mPrefillMs > 0) {
      aStream.mPrefillMs -= static_cast<double>(kStep.Count()) * mSpeed;
      return;
    }
    aStream.mUnsent += std::min(aTokens, aStream.mTokensLeft);
    aStream.mTokensLeft -= aTokens;
    const auto whole = static_cast<int64_t>(aStream.mUnsent);
    const bool done = aStream.mTokensLeft <= 0;
    if (done || whole >= kChunkTokens) {
      aStream.mUnsent -= static_cast<double>(whole);
      aEvents.push_back({aStream.mTicket, aStream.mNode, whole, done});
    }
  }

  std::vector<FakeStream> mRunning;
  std::deque<FakeStream> mWaiting;
  std::list<uint64_t> mCache;
};

}  // namespace rillwall::fakes
