/// \file
/// The life of a node: starting, ready, isolated, draining, stopped.
///
/// A node takes work only while ready. It is ready once it knows a policy set
/// that somebody (the key-value service or a peer) has confirmed, and becomes
/// isolated when nobody has confirmed it for a while; it goes back to ready by
/// itself. Draining is final. Single-threaded; a Boost.MSM state machine.

#pragma once

#include <memory>

#include "rillwall/millis.h"

namespace rillwall {

enum class NodePhase { Starting, Ready, Isolated, Draining, Stopped };

/// \return the phase's name, lower case
const char* NodePhaseName(NodePhase aPhase);

class NodeLifecycle {
 public:
  /// \param aConfirmWithin how long a confirmation holds
  explicit NodeLifecycle(Millis aConfirmWithin);
  ~NodeLifecycle();
  /// Somebody confirmed the policy revision that this node has.
  void PolicyConfirmed(Millis aNow);
  /// Moves to isolated when the last confirmation is too old.
  void Tick(Millis aNow);
  void Drain();
  /// Nothing is in flight any more.
  void Drained();
  NodePhase Phase() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
