#include "log_repeat.h"

namespace rillwall {

namespace {

/// Repeats within this time after a written line are suppressed.
constexpr Millis kRepeatInterval{10000};
constexpr size_t kMaxKeys = 1024;

}  // namespace

std::optional<uint64_t> LogRepeatFilter::Pass(const std::string& aKey,
                                              Millis aNow) {
  const auto at = mKeys.find(aKey);
  if (at == mKeys.end()) {
    if (mKeys.size() >= kMaxKeys) {
      Prune(aNow);
    }
    mKeys[aKey].mLastWritten = aNow;
    return 0;
  }
  KeyState& state = at->second;
  if (aNow - state.mLastWritten < kRepeatInterval) {
    ++state.mSuppressed;
    return std::nullopt;
  }
  const uint64_t suppressed = state.mSuppressed;
  state = {aNow, 0};
  return suppressed;
}

void LogRepeatFilter::Prune(Millis aNow) {
  std::erase_if(mKeys, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastWritten >= kRepeatInterval;
  });
  if (mKeys.size() >= kMaxKeys) {
    mKeys.clear();
  }
}

}  // namespace rillwall
