#include "rillwall/move_plan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace rillwall {

namespace {

/// The two cheapest replicas with a free slot: the second is for texts that run
/// at the first. Their paces are those with one more text.
struct Targets {
  std::optional<std::string> mFirst;
  std::optional<std::string> mSecond;
  double mFirstPace = 0;
  double mSecondPace = 0;
};

Targets FindTargets(const ReplicaPool& aReplicas, ReplicaRequirements aWish,
                    Millis aNow) {
  Targets targets;
  targets.mFirst = aReplicas.Choose(aWish, aNow);
  if (!targets.mFirst) {
    return targets;
  }
  targets.mFirstPace = aReplicas.PaceAt(*targets.mFirst, 1, aNow);
  aWish.mExcluded.push_back(*targets.mFirst);
  targets.mSecond = aReplicas.Choose(aWish, aNow);
  if (targets.mSecond) {
    targets.mSecondPace = aReplicas.PaceAt(*targets.mSecond, 1, aNow);
  }
  return targets;
}

}  // namespace

std::vector<PlannedMove> PlanMoves(const std::vector<RunningText>& aTexts,
                                   const ReplicaPool& aReplicas,
                                   ReplicaRequirements aWish, size_t aMost,
                                   Millis aNow) {
  std::map<std::string, Targets> byService;
  std::vector<PlannedMove> moves;
  for (const RunningText& text : aTexts) {
    auto [at, added] = byService.try_emplace(text.mService);
    Targets& targets = at->second;
    if (added) {
      aWish.mService = text.mService;
      targets = FindTargets(aReplicas, aWish, aNow);
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
    if (MovePays(move)) {
      moves.push_back({text.mItem, move});
    }
  }
  std::stable_sort(moves.begin(), moves.end(),
                   [](const PlannedMove& aOne, const PlannedMove& aOther) {
                     return MoveGain(aOne.mMove) > MoveGain(aOther.mMove);
                   });
  moves.resize(std::min(moves.size(), aMost));
  return moves;
}

}  // namespace rillwall
