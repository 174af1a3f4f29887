/// \file
/// A deadline for the operations of a socket that is cheap to postpone.
///
/// Postponing the deadline needs no timer operation: the timer stays armed and
/// compares the deadline with the clock when it fires. On expiry the socket is
/// shut down through its descriptor, which wakes any pending operation. This is
/// safe from every thread, so that the deadline needs no strand.

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <mutex>

#include "rillwall/millis.h"

namespace rillwall {

/// What an expired deadline does to the socket.
enum class DeadlineEffect {
  StopReading,  ///< wakes the reader; a response can still be written
  StopAll       ///< wakes reader and writer
};

/// Shuts a socket down when a deadline passes. Thread-safe.
class SocketDeadline : public std::enable_shared_from_this<SocketDeadline> {
 public:
  explicit SocketDeadline(boost::asio::io_context& aContext);
  /// Sets the descriptor that is shut down on expiry.
  void Attach(int aDescriptor);
  /// Removes the descriptor. Must be called before the descriptor is closed.
  void Detach();
  /// Sets the deadline.
  /// \param aSpan time from now
  void Set(Millis aSpan, DeadlineEffect aEffect = DeadlineEffect::StopAll);
  /// Removes the deadline.
  /// \return whether it had not expired
  bool Clear();
  /// Shuts the socket down immediately.
  void Shutdown();
  /// \return whether the deadline passed while it was set
  bool Expired() const { return mExpired.load(std::memory_order_acquire); }

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  void Arm();
  void Fire();

  std::mutex mMutex;
  boost::asio::basic_waitable_timer<
      std::chrono::steady_clock,
      boost::asio::wait_traits<std::chrono::steady_clock>,
      boost::asio::io_context::executor_type>
      mTimer;
  int mDescriptor = -1;
  DeadlineEffect mEffect = DeadlineEffect::StopAll;
  TimePoint mDeadline = TimePoint::max();
  TimePoint mArmedFor = TimePoint::max();  ///< max: not armed
  std::atomic<bool> mExpired{false};
};

}  // namespace rillwall
