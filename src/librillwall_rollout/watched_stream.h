/// \file
/// A replica's event stream on its way to a client.

#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "crash_guard.h"
#include "rillwall/http.h"

namespace rillwall {

/// Counts the events of an event stream, without parsing their fields.
class EventCounter {
 public:
  void Feed(std::string_view aPart);
  int64_t Count() const { return mCount; }
  /// \return whether the last event has begun and not ended
  bool InEvent() const { return mInEvent; }

 private:
  int64_t mCount = 0;
  bool mInEvent = false;
  bool mLineIsEmpty = true;
};

/// Passes a replica's stream through, and updates the crash records when it
/// ends. A stream without a length that ends within an event is truncated.
class WatchedStream final : public HttpStream {
 public:
  /// \param aRun what is known of the run if its connection is closed
  /// \param aEventsBefore events that the client received from earlier runs
  WatchedStream(NodeContext& aNode, CutRun aRun, int64_t aEventsBefore,
                std::unique_ptr<HttpStream> aStream)
      : mNode(aNode),
        mRun(std::move(aRun)),
        mEventsBefore(aEventsBefore),
        mStream(std::move(aStream)) {}
  const HttpResponse& Head() const override { return mStream->Head(); }
  void Abort() override { mStream->Abort(); }
  bool EndedByClose() const override { return mStream->EndedByClose(); }
  asio::awaitable<Result<std::string>> Read(Millis aWait) override;

 private:
  bool Succeeded() const;
  /// Updates the crash records after the replica closed the connection.
  asio::awaitable<void> RecordClose();

  NodeContext& mNode;
  CutRun mRun;
  const int64_t mEventsBefore;
  EventCounter mEvents;
  const std::unique_ptr<HttpStream> mStream;
};

}  // namespace rillwall
