/// \file
/// Runs several coroutines concurrently and waits for all of them.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace rillwall {

namespace asio = boost::asio;

/// Starts a detached coroutine. This function is not inline: g++ 12 emits a
/// detached coroutine inside a template differently in each translation unit,
/// and the linker refuses the duplicates.
void SpawnDetached(const asio::any_io_executor& aExecutor,
                   asio::awaitable<void> aRun);

namespace internal {

/// Results of tasks that all run on one strand, and the timer that wakes the
/// coroutine that waits for them.
template <class Value>
struct Gathered {
  explicit Gathered(const asio::any_io_executor& aExecutor, size_t aCount)
      : mWake(aExecutor), mValues(aCount), mMissing(aCount) {
    mWake.expires_at(asio::steady_timer::time_point::max());
  }
  asio::steady_timer mWake;
  std::vector<std::optional<Value>> mValues;
  size_t mMissing;
};

template <class Value>
asio::awaitable<void> GatherOne(std::shared_ptr<Gathered<Value>> aGathered,
                                size_t aIndex, asio::awaitable<Value> aTask) {
  aGathered->mValues[aIndex] = co_await std::move(aTask);
  if (--aGathered->mMissing == 0) {
    aGathered->mWake.cancel();
  }
}

template <class Value>
asio::awaitable<std::vector<Value>> Gather(
    std::vector<asio::awaitable<Value>> aTasks) {
  const auto executor = co_await asio::this_coro::executor;
  auto gathered = std::make_shared<Gathered<Value>>(executor, aTasks.size());
  for (size_t i = 0; i < aTasks.size(); ++i) {
    SpawnDetached(executor, GatherOne(gathered, i, std::move(aTasks[i])));
  }
  while (gathered->mMissing > 0) {
    boost::system::error_code ignored;
    co_await gathered->mWake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  std::vector<Value> values;
  for (std::optional<Value>& value : gathered->mValues) {
    values.push_back(std::move(*value));
  }
  co_return values;
}

}  // namespace internal

/// Runs all tasks concurrently on a strand.
/// \return the results in the order of the tasks
template <class Strand, class Value>
asio::awaitable<std::vector<Value>> RunAll(
    const Strand& aStrand, std::vector<asio::awaitable<Value>> aTasks) {
  co_return co_await asio::co_spawn(
      aStrand, internal::Gather<Value>(std::move(aTasks)), asio::use_awaitable);
}

}  // namespace rillwall
