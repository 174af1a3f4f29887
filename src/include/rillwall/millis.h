/// \file
/// Milliseconds as the type of instants and durations, and the clocks.
///
/// Decision code never reads a clock but receives the time as a Millis, so that
/// runs are reproducible. Programs read the time from a Clock.

#pragma once

#include <compare>
#include <cstdint>

namespace rillwall {

/// A number of milliseconds: a duration, or an instant of a monotonic clock.
class Millis {
 public:
  constexpr Millis() = default;
  /// \param aCount milliseconds
  constexpr explicit Millis(int64_t aCount) : mCount(aCount) {}

  /// \return the number of milliseconds
  constexpr int64_t Count() const { return mCount; }

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis aOther) const {
    return Millis(mCount + aOther.mCount);
  }
  constexpr Millis operator-(Millis aOther) const {
    return Millis(mCount - aOther.mCount);
  }
  constexpr Millis operator*(int64_t aFactor) const {
    return Millis(mCount * aFactor);
  }
  constexpr Millis operator/(int64_t aDivisor) const {
    return Millis(mCount / aDivisor);
  }
  constexpr Millis& operator+=(Millis aOther) {
    mCount += aOther.mCount;
    return *this;
  }

 private:
  int64_t mCount = 0;
};

/// Source of the current time. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// \return the current instant; it never decreases
  virtual Millis Now() const = 0;
};

/// Monotonic clock of the machine. It also advances while the host is
/// suspended, so that a lease that expired meanwhile is seen as expired.
class SteadyClock final : public Clock {
 public:
  Millis Now() const override;
};

/// \return total time that the host has been suspended since it booted. Timers
/// and std::chrono::steady_clock stop during a suspension, so anything started
/// before it, such as an idle connection, is older than they indicate.
Millis SuspendedFor();

/// Smallest increase of SuspendedFor() that counts as a suspension. Two
/// successive readings of the clocks may differ by a millisecond or two.
inline constexpr Millis kMinSuspension{100};

/// \return milliseconds since 1970 by the host's wall clock, which may jump;
/// for logs and for timestamps that must outlive the process
int64_t WallClockMs();

/// A clock that tests advance explicitly.
class ManualClock final : public Clock {
 public:
  Millis Now() const override { return mNow; }
  /// \param aSpan time by which the clock advances
  void Advance(Millis aSpan) { mNow += aSpan; }

 private:
  Millis mNow;
};

}  // namespace rillwall
