/// \file
/// One run of a rollout item at one replica.

#pragma once

#include <string>

#include "rillwall/node_context.h"
#include "rollout_step.h"

namespace rillwall {

/// How a run ended.
enum class ItemRunEnd {
  Whole,       ///< the text is whole
  Refused,     ///< the replica did not run the item
  NotSent,     ///< the replica could not be reached
  Broken,      ///< the stream was wrong or late; the text so far is kept
  Closed,      ///< the replica closed the stream early; the text so far is kept
  Failed,      ///< the replica ran the item and answered with an error
  Impossible,  ///< the replica says that the item can never be run
  Moved,       ///< ended by this node, to continue at a faster replica
  Stopped,     ///< the step ended here
};

/// Sends the item and reads its events until the stream ends. Text that is
/// already there is not generated again.
/// \param aWhy set to a description of the outcome, for the log
asio::awaitable<ItemRunEnd> GenerateText(NodeContext& aNode, RolloutStep& aStep,
                                         size_t aItem, Replica aReplica,
                                         std::string& aWhy);

/// \return whether an item may not run, because replicas ended under it
bool ItemHeld(const NodeContext& aNode, RolloutStep& aStep, size_t aItem);

/// Updates the crash records of an item after a run: clears the records of
/// crashes at events that the run has passed, all of them if the text is whole,
/// and records a crash if the replica ended as the run began.
/// \param aEvents number of events that the run delivered
/// \return whether the replica has ended
asio::awaitable<bool> RecordRunOutcome(NodeContext& aNode, RolloutStep& aStep,
                                       size_t aItem, Replica aReplica,
                                       ItemRunEnd aEnd, int64_t aEvents);

}  // namespace rillwall
