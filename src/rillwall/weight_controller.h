/// \file
/// Announced weight versions, and the orders to engines to load them.
///
/// The newest version of a model is a fact that all nodes share; it is also
/// written to the key-value service when that answers, for nodes that start
/// anew. Each engine has one controller, the owner of its duty, which orders
/// loads with a fencing number drawn from the key-value service at takeover.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gossip_loop.h"
#include "node.h"
#include "upstream_keeper.h"

namespace rillwall {

/// A weight version as its trainer announced it.
struct WeightVersion {
  std::string mModel;
  int64_t mVersion = 0;
  std::string mWeights;  ///< where engines read it
  int64_t mBytes = 0;
  bool operator==(const WeightVersion&) const = default;
};

class WeightController {
 public:
  WeightController(Node& aNode, GossipLoop& aGossip,
                   UpstreamKeeper& aUpstreams);
  ~WeightController();
  void Start();

  /// \name On the control strand only
  /// @{
  /// Takes up a version. \return why it is refused, if it is
  std::optional<Error> Announce(const WeightVersion& aVersion);
  /// \return the newest version known of a model
  std::optional<WeightVersion> Newest(const std::string& aModel) const;
  /// @}

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
