#include "rillwall/millis.h"

#include <chrono>
#include <ctime>

namespace rillwall {

namespace {

Millis Read(clockid_t aClock) {
  constexpr int64_t kPerSecond = 1000;
  constexpr int64_t kNanosPerMilli = 1000000;
  timespec now{};
  clock_gettime(aClock, &now);
  return Millis(now.tv_sec * kPerSecond + now.tv_nsec / kNanosPerMilli);
}

}  // namespace

Millis SteadyClock::Now() const { return Read(CLOCK_BOOTTIME); }

Millis SuspendedFor() { return Read(CLOCK_BOOTTIME) - Read(CLOCK_MONOTONIC); }

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace rillwall
