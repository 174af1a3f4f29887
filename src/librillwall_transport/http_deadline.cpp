#include "http_deadline.h"

#include <sys/socket.h>

namespace rillwall {

SocketDeadline::SocketDeadline(boost::asio::io_context& aContext)
    : mTimer(aContext) {}

void SocketDeadline::Attach(int aDescriptor) {
  const std::lock_guard lock(mMutex);
  mDescriptor = aDescriptor;
}

void SocketDeadline::Detach() {
  const std::lock_guard lock(mMutex);
  mDescriptor = -1;
  mDeadline = TimePoint::max();
}

void SocketDeadline::Set(Millis aSpan, DeadlineEffect aEffect) {
  const TimePoint deadline = std::chrono::steady_clock::now() +
                             std::chrono::milliseconds(aSpan.Count());
  const std::lock_guard lock(mMutex);
  mDeadline = deadline;
  mEffect = aEffect;
  if (mDeadline < mArmedFor) {
    Arm();
  }
}

bool SocketDeadline::Clear() {
  const std::lock_guard lock(mMutex);
  mDeadline = TimePoint::max();
  return !Expired();
}

void SocketDeadline::Shutdown() {
  const std::lock_guard lock(mMutex);
  if (mDescriptor >= 0) {
    ::shutdown(mDescriptor, SHUT_RDWR);
  }
}

void SocketDeadline::Arm() {
  mArmedFor = mDeadline;
  mTimer.expires_at(mDeadline);
  mTimer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& aCode) {
        const std::shared_ptr<SocketDeadline> self = weak.lock();
        if (!aCode && self) {
          self->Fire();
        }
      });
}

void SocketDeadline::Fire() {
  const std::lock_guard lock(mMutex);
  mArmedFor = TimePoint::max();
  if (mDeadline == TimePoint::max()) {
    return;
  }
  if (std::chrono::steady_clock::now() < mDeadline) {
    Arm();
    return;
  }
  mDeadline = TimePoint::max();
  mExpired.store(true, std::memory_order_release);
  if (mDescriptor >= 0) {
    const bool all = mEffect == DeadlineEffect::StopAll;
    ::shutdown(mDescriptor, all ? SHUT_RDWR : SHUT_RD);
  }
}

}  // namespace rillwall
