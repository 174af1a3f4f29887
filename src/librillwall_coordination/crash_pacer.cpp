#include "rillwall/crash_pacer.h"

#include <algorithm>

#include "rillwall/backoff.h"

namespace rillwall {

Millis CrashPacer::PauseAfter(size_t aCrashes) {
  return aCrashes == 0 ? Millis()
                       : BackoffDelay(static_cast<int>(aCrashes), kFirstPause,
                                      kLongestPause);
}

Millis CrashPacer::WaitFor(const RequestDigest& aRequest, size_t aCrashes,
                           Millis aNow) {
  if (aCrashes == 0) {
    mPaces.erase(aRequest);
    return {};
  }
  DropOldPaces(aNow);
  Pace& pace = mPaces[aRequest];
  if (aCrashes > pace.mCrashes) {
    pace.mNextAt = aNow + PauseAfter(aCrashes);
  }
  pace.mCrashes = aCrashes;
  return std::max(Millis(), pace.mNextAt - aNow);
}

void CrashPacer::Started(const RequestDigest& aRequest, size_t aCrashes,
                         Millis aNow) {
  if (aCrashes > 0) {
    mPaces[aRequest] = {aCrashes, aNow + PauseAfter(aCrashes)};
  }
}

void CrashPacer::Ended(const RequestDigest& aRequest) {
  const auto pace = mPaces.find(aRequest);
  if (pace != mPaces.end()) {
    pace->second.mNextAt = Millis();
  }
}

void CrashPacer::DropOldPaces(Millis aNow) {
  if (mPaces.size() >= kMaxPaces) {
    std::erase_if(mPaces, [aNow](const auto& aEntry) {
      return aEntry.second.mNextAt + kLongestPause < aNow;
    });
  }
}

}  // namespace rillwall
