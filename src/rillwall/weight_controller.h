/// \file
/// Announces weight versions and orders engines to load them.
///
/// The newest version of a model is a fact that gossip spreads to all nodes. It
/// is also written to the key-value service, from which nodes read it at their
/// start. Each engine has one controller, the node that owns the engine's duty.
/// The controller orders loads with a fencing token that it obtains from the
/// key-value service when it takes the duty over.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gossip_loop.h"
#include "node.h"
#include "upstream_keeper.h"

namespace rillwall {

/// A weight version announced by its trainer.
struct WeightVersion {
  std::string mModel;
  int64_t mVersion = 0;
  std::string mWeights;  ///< location from which engines load the weights
  int64_t mBytes = 0;    ///< size of the weights
  bool operator==(const WeightVersion&) const = default;
};

/// Accepts announcements and controls the engines whose duties this node owns.
class WeightController {
 public:
  WeightController(Node& aNode, GossipLoop& aGossip,
                   UpstreamKeeper& aUpstreams);
  ~WeightController();
  void Start();

  /// \name On the control strand only
  /// @{
  /// Publishes a version to all nodes. Announcing the newest version again has
  /// no effect.
  /// \return Stale if a newer version, or another one with the same number, is
  /// already known
  std::optional<Error> Announce(const WeightVersion& aVersion);
  /// \return the newest known version of a model
  std::optional<WeightVersion> Newest(const std::string& aModel) const;
  /// @}

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
