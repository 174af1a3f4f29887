#include "rillwall/node_context.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

#include "rillwall/event_log.h"

namespace rillwall {

void ObserveLoad(NodeContext& aNode, const std::string& aReplica,
                 const HttpResponse& aHead) {
  const std::string* load = aHead.Find(aNode.mHeaders.mReplicaLoad);
  if (load == nullptr) {
    return;
  }
  const Result<ReplicaLoad> report = ParseReplicaLoad(*load);
  if (report) {
    aNode.mReplicas.ObserveLoad(aReplica, *report, aNode.Now());
  } else if (aNode.mReplicas.DropLoad(aReplica, aNode.Now())) {
    Event("load-report-unusable")
        .Text("replica", aReplica)
        .Text("why", report.error().Detail())
        .Write();
  }
}

asio::awaitable<std::optional<int>> AskHealth(NodeContext& aNode,
                                              std::string aAddress,
                                              Millis aLimit) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aAddress);
  if (!endpoint) {
    co_return std::nullopt;
  }
  HttpRequest request;
  request.mTarget = kHealthPath;
  const Result<HttpResponse> answer =
      co_await aNode.mClient.Send(*endpoint, std::move(request), aLimit);
  co_return answer ? std::optional(answer->mStatus) : std::nullopt;
}

asio::awaitable<void> WaitOnTimer(asio::steady_timer& aTimer, Millis aSpan) {
  aTimer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  co_await aTimer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> Sleep(asio::io_context& aIo, Millis aSpan) {
  asio::steady_timer timer(aIo);
  co_await WaitOnTimer(timer, aSpan);
}

void Launch(asio::io_context& aIo, std::string aName,
            asio::awaitable<void> aRun) {
  asio::co_spawn(aIo, std::move(aRun),
                 [name = std::move(aName)](const std::exception_ptr& aThrown) {
                   if (!aThrown) {
                     return;
                   }
                   try {
                     std::rethrow_exception(aThrown);
                   } catch (const std::exception& failure) {
                     Event("task-failed")
                         .Text("task", name)
                         .Text("error", failure.what())
                         .Write();
                   }
                 });
}

asio::awaitable<bool> Cancelled() {
  const asio::cancellation_state state =
      co_await asio::this_coro::cancellation_state;
  co_return state.cancelled() != asio::cancellation_type::none;
}

}  // namespace rillwall
