/// \file
/// A deadline for a socket's operations, cheap to move.
///
/// Moving the deadline costs no timer operation: the timer stays armed and
/// looks at the deadline when it fires. On expiry the socket is shut down by
/// its descriptor, which wakes any pending operation; that is safe from every
/// thread, so that no strand is needed for it.

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
  StopReading,  ///< wakes the reader; an answer can still be written
  StopAll
};

class SocketDeadline : public std::enable_shared_from_this<SocketDeadline> {
 public:
  explicit SocketDeadline(boost::asio::io_context& aContext);
  /// Watches this descriptor from now on.
  void Attach(int aDescriptor);
  /// Forgets the descriptor; to be called before it is closed.
  void Detach();
  /// Lets the operations run at most this long from now.
  void Set(Millis aSpan, DeadlineEffect aEffect = DeadlineEffect::StopAll);
  /// Removes the deadline.
  /// \return whether it had not expired
  bool Clear();
  /// Shuts the socket down now.
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
  TimePoint mDue = TimePoint::max();
  TimePoint mArmedFor = TimePoint::max();  ///< max: not armed
  std::atomic<bool> mExpired{false};
};

}  // namespace rillwall
