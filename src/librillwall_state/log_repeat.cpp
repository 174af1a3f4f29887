#include "log_repeat.h"

namespace rillwall {

namespace {

constexpr Millis kQuiet{10000};
constexpr size_t kMaxKeys = 1024;

}  // namespace

std::optional<uint64_t> LogRepeat::Pass(const std::string& aKey, Millis aNow) {
  const auto at = mSeen.find(aKey);
  if (at == mSeen.end()) {
    if (mSeen.size() >= kMaxKeys) {
      Forget(aNow);
    }
    mSeen[aKey].mWritten = aNow;
    return 0;
  }
  Seen& seen = at->second;
  if (aNow - seen.mWritten < kQuiet) {
    ++seen.mLeftOut;
    return std::nullopt;
  }
  const uint64_t leftOut = seen.mLeftOut;
  seen = {aNow, 0};
  return leftOut;
}

// Lines that no longer repeat; if that frees nothing, all.
void LogRepeat::Forget(Millis aNow) {
  std::erase_if(mSeen, [&](const auto& aEntry) {
    return aNow - aEntry.second.mWritten >= kQuiet;
  });
  if (mSeen.size() >= kMaxKeys) {
    mSeen.clear();
  }
}

}  // namespace rillwall
