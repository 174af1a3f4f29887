/// \file
/// Runs a first try, and a second one if the first takes long.

#pragma once

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "rillwall/node_context.h"

namespace rillwall {

/// The result of RunHedged().
template <class Value>
struct HedgedResult {
  /// Result of the try that ended the run; nothing if both were cancelled.
  std::optional<Value> mValue;
  bool mSecond = false;  ///< it is the second try's
};

/// The two tries and how they go on when one of them fails: a failed try waits
/// for the other one, if that is under way.
template <class Value>
struct HedgedTries {
  NodeContext& mNode;
  Millis mEnd;  ///< when both tries have ended at the latest
  std::function<asio::awaitable<Value>()> mFirst;
  /// Returns nothing if it has not sent the request. Calls its argument before
  /// it sends the request.
  std::function<asio::awaitable<std::optional<Value>>(std::function<void()>)>
      mSecond;
  std::function<bool(const Value&)> mSucceeded;
  Millis mDelay;  ///< until the second try

  std::optional<Value> mFirstResult;
  std::optional<Value> mSecondResult;
  bool mSecondSent = false;
  bool mSecondEnded = false;

  asio::awaitable<void> WaitForOther() {
    co_await Sleep(mNode.mIo, std::max(Millis(1), mEnd - mNode.Now()));
  }
  asio::awaitable<void> RunFirst() {
    Value value = co_await mFirst();
    const bool cancelled = co_await Cancelled();
    if (cancelled) {
      // How a cancelled try ends says nothing about the replica.
      co_return;
    }
    mFirstResult = std::move(value);
    if (!mSucceeded(*mFirstResult) && mSecondSent && !mSecondEnded) {
      co_await WaitForOther();
    }
  }
  asio::awaitable<void> RunSecond() {
    co_await Sleep(mNode.mIo, mDelay);
    std::optional<Value> value =
        co_await mSecond([this] { mSecondSent = true; });
    const bool cancelled = co_await Cancelled();
    if (cancelled) {
      co_return;
    }
    mSecondResult = std::move(value);
    mSecondEnded = true;
    const bool succeeded = mSecondResult && mSucceeded(*mSecondResult);
    if (!succeeded && !mFirstResult) {
      co_await WaitForOther();
    }
  }
};

/// Runs the tries until one has succeeded or both have failed. The other one is
/// cancelled then, which closes its connection.
template <class Value>
asio::awaitable<HedgedResult<Value>> RunHedged(HedgedTries<Value>& aTries) {
  using asio::experimental::awaitable_operators::operator||;
  const auto ended = co_await (aTries.RunFirst() || aTries.RunSecond());
  HedgedResult<Value> result;
  result.mSecond = ended.index() == 1 && aTries.mSecondResult;
  result.mValue =
      std::move(result.mSecond ? aTries.mSecondResult : aTries.mFirstResult);
  co_return result;
}

}  // namespace rillwall
