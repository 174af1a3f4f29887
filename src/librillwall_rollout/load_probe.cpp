#include "rillwall/load_probe.h"

namespace rillwall {

asio::awaitable<void> RefreshLoad(NodeContext& /*aNode*/,
                                  const ReplicaRequirements& /*aRequirements*/,
                                  Millis /*aLimit*/) {
  co_return;
}

}  // namespace rillwall
