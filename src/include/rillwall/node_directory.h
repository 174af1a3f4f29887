/// \file
/// The other nodes, as the store lists them.
///
/// Each node writes its address once, at its start. The list is no membership:
/// nobody counts on a node that it names. It serves to find nodes that can pass
/// calls on to the store for a node that is cut off from it.

#pragma once

#include <string>
#include <vector>

#include "rillwall/node_context.h"

namespace rillwall {

class NodeDirectory {
 public:
  explicit NodeDirectory(NodeContext& aNode) : mNode(aNode) {}
  /// Registers this node and reads the list now and then.
  asio::awaitable<void> Run();
  /// \return addresses of other nodes, ip:port
  const std::vector<std::string>& Others() const { return mOthers; }

 private:
  asio::awaitable<bool> Register();
  asio::awaitable<void> Refresh();

  NodeContext& mNode;
  std::vector<std::string> mOthers;
};

}  // namespace rillwall
