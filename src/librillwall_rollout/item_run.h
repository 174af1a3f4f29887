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

/// Further facts about the end of a run.
struct ItemRunDetails {
  std::string mWhy;      ///< a description of the outcome, for the log
  HttpCallTrace mTrace;  ///< what the call shows about the replica
  int64_t mOrder = 1;    ///< see CrashRecord::mOrder
  Listing mListing;      ///< list in use when the replica was chosen
};

/// Sends the item and reads its events until the stream ends. Text that is
/// already there is not generated again.
/// \param aBody of the item's request
asio::awaitable<ItemRunEnd> GenerateText(NodeContext& aNode, RolloutStep& aStep,
                                         size_t aItem, std::string aBody,
                                         Replica aReplica,
                                         ItemRunDetails& aDetails);

/// \return whether an operator holds an item
bool ItemHeld(const NodeContext& aNode, RolloutStep& aStep, size_t aItem);
/// \return whether an item pauses, because replicas ended under it
bool ItemPauses(NodeContext& aNode, RolloutStep& aStep, size_t aItem);
/// Records that a run of an item begins, for its pauses.
void ItemRunStarted(NodeContext& aNode, RolloutStep& aStep, size_t aItem);

/// A run of an item that has ended.
struct EndedItemRun {
  Replica mReplica;
  Millis mSentAt;
  ItemRunEnd mEnd = ItemRunEnd::NotSent;
  int64_t mEvents = 0;  ///< number of events that the run delivered
  ItemRunDetails mDetails;
};

/// Updates the crash records of an item after a run: marks the records of
/// crashes at events that the run has passed, clears all of them if the text is
/// whole, and records a crash if the replica has ended. The item then pauses
/// (CrashPacer), and its next run begins only at a replica that accepts a
/// connection.
/// \return whether the replica has ended
asio::awaitable<bool> RecordRunOutcome(NodeContext& aNode, RolloutStep& aStep,
                                       size_t aItem, EndedItemRun aRun);

}  // namespace rillwall
