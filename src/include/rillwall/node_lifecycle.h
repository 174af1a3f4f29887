/// \file
/// Lifecycle of a node: starting, ready, isolated, draining, stopped.
///
/// A node accepts work only while ready. It becomes ready once the key-value
/// service or a peer has confirmed the policy set that it has. It becomes
/// isolated when the confirmation is too old, and ready again with the next
/// confirmation. Draining is final. Single-threaded.

#pragma once

#include <memory>

#include "rillwall/millis.h"

namespace rillwall {

enum class NodePhase { Starting, Ready, Isolated, Draining, Stopped };

/// \return the name of the phase in lower case
const char* NodePhaseName(NodePhase aPhase);

/// State machine of the lifecycle. Events that do not apply in the present
/// phase are ignored.
class NodeLifecycle {
 public:
  /// \param aConfirmationTimeout how long a confirmation is valid
  explicit NodeLifecycle(Millis aConfirmationTimeout);
  ~NodeLifecycle();
  /// Records that the key-value service or a peer confirmed the policy revision
  /// that this node has.
  void PolicyConfirmed(Millis aNow);
  /// Changes from ready to isolated when the last confirmation is too old.
  void Tick(Millis aNow);
  /// Starts draining.
  void Drain();
  /// Ends draining: nothing is in flight any more.
  void Drained();
  NodePhase Phase() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
