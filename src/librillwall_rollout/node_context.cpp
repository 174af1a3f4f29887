#include "rillwall/node_context.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rillwall/event_log.h"

namespace rillwall {

asio::awaitable<void> Sleep(asio::io_context& aIo, Millis aSpan) {
  asio::steady_timer timer(aIo);
  timer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
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
