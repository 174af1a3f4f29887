#include "tasks.h"

#include <boost/asio/detached.hpp>

namespace rillwall {

void SpawnDetached(const asio::any_io_executor& aExecutor,
                   asio::awaitable<void> aRun) {
  asio::co_spawn(aExecutor, std::move(aRun), asio::detached);
}

}  // namespace rillwall
