/// \file
/// Moves texts away from replicas that the platform takes away.
///
/// A draining replica gets no new texts. Some 2.5 s after its notice it ends,
/// and with it each stream. The texts that would not end before that move at
/// once, so that they lose no time to the failure, as far as other replicas
/// have free slots.

#include <algorithm>
#include <map>

#include "rillwall/event_log.h"
#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// Shortly before the replica leaves, its texts end even without a free slot
/// elsewhere. They wait for a slot among the first.
constexpr Millis kLastMoment{250};

/// \return free slots of the replicas of a service that do not leave
int64_t FreeSlots(const ReplicaPool& aReplicas, const std::string& aService,
                  Millis aNow) {
  int64_t slots = 0;
  for (const Replica* replica : aReplicas.OfService(aService)) {
    const int64_t free = replica->mSlots - aReplicas.LoadAt(replica->mId, aNow);
    slots += replica->mDraining ? 0 : std::max<int64_t>(0, free);
  }
  return slots;
}

}  // namespace

void RolloutService::MoveFromLeavingReplicas() {
  const Millis now = mNode.Now();
  const ReplicaPool& replicas = mNode.mReplicas;
  std::map<std::string, int64_t> freeSlots;  // by service
  std::map<std::string, int64_t> moved;      // by replica
  for (const StepPtr& step : RunningSteps()) {
    for (const auto& [item, stream] : step->mStreams) {
      const std::string& from = step->mTracker.ReplicaOf(item);
      const std::optional<Millis> leavesAt = replicas.LeavesAt(from);
      // An item with a reason is being moved already.
      if (!leavesAt || step->mMoveReasons.contains(item)) {
        continue;
      }
      const Millis left = *leavesAt - now;
      const int64_t expected =
          mLengths.Events(step->mTracker.Item(item).mLengthHint);
      if (EndsBeforeLeaving(step->mTracker.Text(item).mEvents, expected,
                            replicas.PaceAt(from, 0, now), left)) {
        continue;
      }
      const std::string& service = replicas.Find(from)->mService;
      auto free = freeSlots.find(service);
      if (free == freeSlots.end()) {
        const int64_t slots = FreeSlots(replicas, service, now);
        free = freeSlots.emplace(service, slots).first;
      }
      if (free->second <= 0 && left > kLastMoment) {
        continue;
      }
      --free->second;
      ++moved[from];
      step->mMovedAt[item] = now;
      step->mMoveReasons[item] =
          "the replica leaves in " + std::to_string(left.Count()) + " ms";
      stream->Abort();
    }
  }
  for (const auto& [replica, texts] : moved) {
    Event("texts-moved")
        .Text("replica", replica)
        .Number("texts", texts)
        .Number("leaves_in_ms", (*replicas.LeavesAt(replica) - now).Count())
        .Write();
    mNode.mMetrics.Count("texts_moved_from_leaving_total", {},
                         static_cast<uint64_t>(texts));
  }
}

}  // namespace rillwall
