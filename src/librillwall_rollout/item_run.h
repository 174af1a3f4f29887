/// \file
/// One run of an item's text at one replica.

#pragma once

#include <string>

#include "rillwall/node_context.h"
#include "rollout_step.h"

namespace rillwall {

/// How a run ended.
enum class ItemRunEnd {
  Whole,       ///< the text is whole
  Refused,     ///< the replica did not run it
  NotSent,     ///< the replica could not be reached
  Broken,      ///< the stream was wrong or late; the text so far is kept
  Closed,      ///< the replica closed it early; the text so far is kept
  Failed,      ///< the replica ran it and answered with an error
  Impossible,  ///< the replica says that it can never be done
  Moved,       ///< ended here, to go on at a faster replica
  Stopped,     ///< the step ended here
};

/// Sends the item and takes in events until the stream ends. What is there of
/// its text is not generated again.
/// \param aWhy set to what happened, for the log
asio::awaitable<ItemRunEnd> GenerateText(NodeContext& aNode, RolloutStep& aStep,
                                         size_t aItem, Replica aReplica,
                                         std::string& aWhy);

/// \return whether an item may not run, as replicas have ended under it
bool ItemHeld(const NodeContext& aNode, RolloutStep& aStep, size_t aItem);

/// Keeps what a run has shown of its item: that it was held against it that a
/// replica ended as it began, or that a replica lived through it.
/// \param aEvents that the run has brought
/// \return whether the replica has ended
asio::awaitable<bool> LearnFromRun(NodeContext& aNode, RolloutStep& aStep,
                                   size_t aItem, Replica aReplica,
                                   ItemRunEnd aEnd, int64_t aEvents);

}  // namespace rillwall
