/// \file
/// Hand-over of a step between two owners.
///
/// A new lead asks the owner of each open step, once per address, for its state
/// (GET kHandoverPath). A step stays with an owner that answers and reaches the
/// store. Otherwise the new owner changes the step's record first, which fences
/// the old owner, and then fetches the texts that the old owner holds in its
/// memory (POST kHandoverPath). The old owner stops its runs of the step before
/// it answers. docs/design/handover.md describes the failures halfway.

#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rillwall/node_context.h"
#include "rillwall/rollout.h"

namespace rillwall {

class RolloutService;

/// Path of a node's state as an owner of steps (GET), and of the hand-over of
/// one step (POST).
inline constexpr char kHandoverPath[] = "/node/handover";

/// Asks the old owner of a step for the step's texts.
struct HandoverRequest {
  std::string mStep;
  std::string mRun;       ///< run id of the old owner
  int64_t mRevision = 0;  ///< of the record that names the new owner
  std::string mAddress;   ///< where the new owner serves other nodes
  bool operator==(const HandoverRequest&) const = default;
};

/// What a node says about the steps that it owns.
struct OwnerState {
  std::string mRun;
  bool mReachesStore = false;    ///< the store has answered the node recently
  bool mLeaving = false;         ///< the stop signal has arrived
  std::set<std::string> mSteps;  ///< owned, accepted or taken over at present
  /// Steps of which it has texts: that run here, or ran here a moment ago.
  std::set<std::string> mHolding;
  /// The node runs an older build, of which only the health is known.
  bool mOlderBuild = false;
  bool operator==(const OwnerState&) const = default;
};

/// \return whether steps of the route are handed over: the rollout routes of
/// one of its services differ in priority
bool HandsOverSteps(const RouteTable& aRoutes, const Route* aRoute);

/// \return whether steps of any route are handed over
bool HandsOverAnySteps(const RouteTable& aRoutes);

/// \param aOwner the owner's state; nothing if it does not answer
/// \param aRun run id of the owner in the step's record
/// \return whether a step may stay with its owner
bool MayKeepStep(const std::optional<OwnerState>& aOwner,
                 const std::string& aStep, const std::string& aRun);

/// Asks a node for its state as an owner.
/// \return nothing if the node does not answer in time
asio::awaitable<std::optional<OwnerState>> AskOwnerState(NodeContext& aNode,
                                                         std::string aAddress);

/// Asks the old owner of a step for its texts, within a short time limit.
/// \return the texts; empty if none arrived completely and in time
asio::awaitable<std::vector<RolloutPart>> FetchTexts(NodeContext& aNode,
                                                     std::string aAddress,
                                                     HandoverRequest aRequest);

/// Removes parts that do not describe a text of the step from its first event.
/// \return the remaining parts
std::vector<RolloutPart> UsableParts(const RolloutTracker& aTracker,
                                     std::vector<RolloutPart> aParts);

/// Serves a request to kHandoverPath.
/// \param aReachesStore whether the store has answered this node recently
/// \return 200 with JSON; 400 for a malformed request; 404 if the step is not
/// here; 409 if the request is for another process or revision
HttpResponse HandleHandoverRequest(RolloutService& aRollouts,
                                   const HttpRequest& aRequest,
                                   bool aReachesStore);

}  // namespace rillwall
