/// \file
/// The clock type: a count of milliseconds, used for instants and for spans.
///
/// Decisions never read a clock. They are given the time as a Millis, so that
/// a run can be repeated. Programs take the time from a Clock.

#pragma once

#include <compare>
#include <cstdint>

namespace rillwall {

/// A number of milliseconds: a span, or an instant on a monotonic clock.
class Millis {
 public:
  constexpr Millis() = default;
  /// \param aCount milliseconds
  constexpr explicit Millis(int64_t aCount) : mCount(aCount) {}

  /// \return the number of milliseconds
  constexpr int64_t Count() const { return mCount; }

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
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

/// Where programs take the time from. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// \return the instant now; it never goes back
  virtual Millis Now() const = 0;
};

/// The machine's monotonic clock. It counts on while the host is suspended,
/// so that a lease is seen to have lapsed after a pause.
class SteadyClock final : public Clock {
 public:
  Millis Now() const override;
};

/// \return how long the host has been suspended since it was started. Timers
/// and std::chrono::steady_clock stand still meanwhile: what was begun before,
/// such as an idle connection, is older than they tell
Millis SuspendedFor();

/// A host that stood still for so long was suspended; two readings of clocks
/// differ by a ms or two.
inline constexpr Millis kMinSuspension{100};

/// \return milliseconds since 1970 by the host's time of day, which may jump;
/// for logs and for what must outlive a process
int64_t WallClockMs();

/// A clock that tests set by hand.
class ManualClock final : public Clock {
 public:
  Millis Now() const override { return mNow; }
  /// \param aSpan how far to move the clock on
  void Advance(Millis aSpan) { mNow += aSpan; }

 private:
  Millis mNow;
};

}  // namespace rillwall
