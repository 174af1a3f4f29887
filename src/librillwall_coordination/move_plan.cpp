#include "rillwall/move_plan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace rillwall {

namespace {

/// The two cheapest replicas with a free slot; the second is for texts that run
/// at the first. The paces include one more text.
struct MoveTargets {
  std::optional<std::string> mFirst;
  std::optional<std::string> mSecond;
  double mFirstPace = 0;
  double mSecondPace = 0;
};

MoveTargets FindTargets(const ReplicaPool& aReplicas,
                        ReplicaRequirements aRequirements, Millis aNow) {
  MoveTargets targets;
  targets.mFirst = aReplicas.Choose(aRequirements, aNow);
  if (!targets.mFirst) {
    return targets;
  }
  targets.mFirstPace = aReplicas.PaceAt(*targets.mFirst, 1, aNow);
  aRequirements.mExcluded.push_back(*targets.mFirst);
  targets.mSecond = aReplicas.Choose(aRequirements, aNow);
  if (targets.mSecond) {
    targets.mSecondPace = aReplicas.PaceAt(*targets.mSecond, 1, aNow);
  }
  return targets;
}

}  // namespace

std::vector<PlannedMove> PlanMoves(const std::vector<RunningText>& aTexts,
                                   const ReplicaPool& aReplicas,
                                   ReplicaRequirements aRequirements,
                                   size_t aMaxMoves, Millis aNow) {
  std::map<std::string, MoveTargets> byService;
  std::vector<PlannedMove> moves;
  for (const RunningText& text : aTexts) {
    auto [at, added] = byService.try_emplace(text.mService);
    MoveTargets& targets = at->second;
    if (added) {
      aRequirements.mService = text.mService;
      targets = FindTargets(aReplicas, aRequirements, aNow);
    }
    const bool atFirst = targets.mFirst && *targets.mFirst == text.mReplica;
    const std::optional<std::string>& other =
        atFirst ? targets.mSecond : targets.mFirst;
    if (!other) {
      continue;
    }
    const TextMove move{text.mEvents, text.mExpected,
                        aReplicas.PaceAt(text.mReplica, 0, aNow),
                        atFirst ? targets.mSecondPace : targets.mFirstPace};
    if (IsMoveWorthwhile(move)) {
      moves.push_back({text.mItem, move});
    }
  }
  std::stable_sort(moves.begin(), moves.end(),
                   [](const PlannedMove& aOne, const PlannedMove& aOther) {
                     return MoveGain(aOne.mMove) > MoveGain(aOther.mMove);
                   });
  moves.resize(std::min(moves.size(), aMaxMoves));
  return moves;
}

}  // namespace rillwall
