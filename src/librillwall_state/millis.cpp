#include "rillwall/millis.h"

#include <chrono>
#include <ctime>

namespace rillwall {

Millis SteadyClock::Now() const {
  constexpr int64_t kPerSecond = 1000;
  constexpr int64_t kNanosPerMilli = 1000000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Millis(now.tv_sec * kPerSecond + now.tv_nsec / kNanosPerMilli);
}

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace rillwall
