#include "watched_stream.h"

namespace rillwall {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kSuccessClass = 2;  // status / 100

}  // namespace

void EventCounter::Feed(std::string_view aPart) {
  while (!aPart.empty()) {
    const size_t end = aPart.find('\n');
    const std::string_view line = aPart.substr(0, end);
    if (line.find_first_not_of('\r') != std::string_view::npos) {
      mInEvent = true;
      mLineIsEmpty = false;
    }
    if (end == std::string_view::npos) {
      return;
    }
    // An empty line ends an event.
    mCount += mInEvent && mLineIsEmpty ? 1 : 0;
    mInEvent = mInEvent && !mLineIsEmpty;
    mLineIsEmpty = true;
    aPart.remove_prefix(end + 1);
  }
}

bool WatchedStream::Succeeded() const {
  return Head().mStatus / 100 == kSuccessClass;
}

asio::awaitable<Result<std::string>> WatchedStream::Read(Millis aWait) {
  Result<std::string> part = co_await mStream->Read(aWait);
  if (part) {
    mEvents.Feed(*part);
  }
  if (part && part->empty() && EndedByClose() && Succeeded() &&
      mEvents.InEvent()) {
    part = Error(ErrorKind::ConnectionLost,
                 "The replica closed the connection within an event.",
                 RunState::Run);
  }
  if (part && part->empty() && Head().mStatus < kFirstServerError) {
    ClearRequest(mNode, mRun.mRequest, mRun.mId);
  }
  if (!part && part.error().Kind() == ErrorKind::ConnectionLost) {
    co_await RecordClose();
  }
  co_return part;
}

asio::awaitable<void> WatchedStream::RecordClose() {
  mRun.mEvents = mEventsBefore + mEvents.Count();
  if (mEvents.Count() > 0) {
    PassEvent(mNode, mRun.mRequest, mRun.mId, mRun.mEvents);
  }
  co_await RecordCrashIfEnded(mNode, mRun);
}

}  // namespace rillwall
