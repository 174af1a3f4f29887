#include "rillwall/replica_pool.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace rillwall {

namespace {

/// Weight of a new latency in the smoothed latency; a slow replica shows within
/// some five responses.
constexpr double kLatencyWeight = 0.25;
/// First pause after a failure. It doubles with every consecutive failure, up
/// to the longest pause.
constexpr Millis kFirstPause{100};
constexpr Millis kLongestPause{2000};
/// Longest pause of a replica that has never answered this host and does not
/// accept connections, while others of its service answer: its entry may
/// describe no replica at all.
constexpr Millis kLongestUnknownPause{5000};
constexpr int kMaxDoublings = 6;
/// Larger than any other cost: a paused replica is used only if all others are
/// paused too.
constexpr double kPausedCost = 1000.0;
/// Relative to a pause. Where a replica was not reached for a request, known
/// ones go first, so that a request meets few that do not exist.
constexpr double kUnknownAvoidance = 0.5;
/// Cost of another availability zone, relative to a full replica: its latency
/// is small, but its traffic is billed.
constexpr double kOtherZoneCost = 0.3;
/// Assumed latency in ms of a replica that this host has not used yet. A
/// replica that answers plain requests faster keeps being used, so that its
/// connection is reused instead of opening one to another replica for each
/// request.
constexpr double kAssumedLatencyMs = 60.0;
/// A cold replica is slower; others are preferred while they have free slots.
constexpr double kColdCost = 0.5;
/// Latency in ms that costs as much as a full set of slots.
constexpr double kLatencyScaleMs = 200.0;

/// Time for which a reported load is used; most of its requests have ended by
/// then.
constexpr Millis kReportedLoadMaxAge{1000};

/// Relative increase of the time per event by a full batch. It spreads texts
/// over replicas of the same speed.
constexpr double kFullBatchCost = 0.15;
/// Cost of the traffic of a text from another availability zone, relative to
/// the time of its events. It decides only between otherwise equal replicas.
constexpr double kOtherZoneTextCost = 0.02;

/// Larger than the cost of any replica without it.
constexpr double kVacatedCost = 1000.0;

/// Maximum age of the median pace and of the order by cost: much shorter than
/// the time constants of paces and the validity of reported loads.
constexpr Millis kRankMaxAge{50};
/// Relative difference of a replica's pace from its ranked pace that is
/// tolerated: much less than the effect of a full batch (0.15) or of slower
/// hardware (0.3).
constexpr double kPaceTolerance = 0.02;

/// \return requests as a fraction of a replica's slots
double SlotShare(const Replica& aReplica, int64_t aRequests) {
  return static_cast<double>(aRequests) /
         static_cast<double>(std::max<int64_t>(aReplica.mSlots, 1));
}

Millis PauseAfter(int aFailures, Millis aLongest) {
  const int doublings = std::min(aFailures - 1, kMaxDoublings);
  return std::min(aLongest, kFirstPause * (int64_t{1} << doublings));
}

}  // namespace

int64_t Replica::VersionOf(std::string_view aModel) const {
  for (const ModelVersion& model : mModels) {
    if (model.mModel == aModel) {
      return model.mVersion;
    }
  }
  return 0;
}

ReplicaChanges ReplicaPool::Update(const std::vector<Replica>& aReplicas,
                                   bool aKeepMissing) {
  ReplicaChanges changes;
  std::set<std::string> listed;
  for (const Replica& replica : aReplicas) {
    listed.insert(replica.mId);
    if (replica.mLapsed) {
      const auto known = mStates.find(replica.mId);
      if (known != mStates.end()) {
        // Its state as known here may be newer than the sender's.
        known->second.mReplica.mLapsed = true;
      }
      continue;
    }
    auto [at, added] = mStates.try_emplace(replica.mId);
    State& state = at->second;
    if (added) {
      changes.mAdded.push_back(replica.mId);
      state.mReplica = replica;
      continue;
    }
    if (replica.mStartedAtMs < state.mReplica.mStartedAtMs) {
      continue;
    }
    if (replica.mStartedAtMs > state.mReplica.mStartedAtMs) {
      changes.mRestarted.push_back(replica.mId);
      Restart(state, replica);
      continue;
    }
    if (replica.mDraining && !state.mReplica.mDraining) {
      changes.mDraining.push_back(replica.mId);
    }
    RefreshEntry(state, replica);
  }
  for (auto at = mStates.begin(); at != mStates.end();) {
    if (listed.contains(at->first) || aKeepMissing) {
      ++at;
      continue;
    }
    changes.mGone.push_back(at->first);
    at = mStates.erase(at);
  }
  IndexServices();
  return changes;
}

void ReplicaPool::RefreshEntry(State& aState, const Replica& aReplica) {
  const std::vector<ModelVersion> known = std::move(aState.mReplica.mModels);
  aState.mReplica = aReplica;
  // Versions only increase; a lower one is from an entry written before an
  // order took effect.
  for (ModelVersion& model : aState.mReplica.mModels) {
    for (const ModelVersion& before : known) {
      if (before.mModel == model.mModel) {
        model.mVersion = std::max(model.mVersion, before.mVersion);
      }
    }
  }
}

void ReplicaPool::Restart(State& aState, const Replica& aReplica) {
  State fresh;
  fresh.mReplica = aReplica;
  // The ends of these requests are still reported.
  fresh.mInFlight = aState.mInFlight;
  fresh.mRuns = std::move(aState.mRuns);
  aState = std::move(fresh);
}

void ReplicaPool::IndexServices() {
  mServices.clear();
  for (auto& [id, state] : mStates) {
    Service& service = mServices[state.mReplica.mService];
    state.mIndex = service.mStates.size();
    state.mService = &service;
    service.mStates.push_back(&state);
    state.mRank.reset();
    CountReport(state, 1);
  }
}

bool ReplicaPool::Rank::operator<(const Rank& aOther) const {
  if (mCost != aOther.mCost) {
    return mCost < aOther.mCost;
  }
  return mState->mIndex < aOther.mState->mIndex;
}

ReplicaPool::State* ReplicaPool::Lookup(const std::string& aId) {
  const auto found = mStates.find(aId);
  return found == mStates.end() ? nullptr : &found->second;
}

void ReplicaPool::UpdateRank(State& aState, Millis aNow) {
  const Replica& replica = aState.mReplica;
  std::optional<double> rank;
  if (!replica.mDraining && LoadOf(aState, aNow) < replica.mSlots) {
    aState.mRankedPace = aState.mPace.At(aNow);
    rank = TextCost(aState, aNow);
  }
  if (rank == aState.mRank) {
    return;
  }
  std::set<Rank>& order = aState.mService->mFree;
  if (aState.mRank) {
    order.erase({*aState.mRank, &aState});
  }
  aState.mRank = rank;
  if (rank) {
    order.insert({*rank, &aState});
  }
}

void ReplicaPool::RefreshRanks(Service& aService, Millis aNow) {
  if (!aService.mOutdated && aNow - aService.mRankedAt < kRankMaxAge) {
    return;
  }
  aService.mOutdated = false;
  aService.mRankedAt = aNow;
  aService.mTypicalPace = MedianPace(aService, aNow);
  for (State* state : aService.mStates) {
    UpdateRank(*state, aNow);
  }
}

const ReplicaPool::Service& ReplicaPool::RefreshedService(const State& aState,
                                                          Millis aNow) {
  RefreshRanks(*aState.mService, aNow);
  return *aState.mService;
}

bool ReplicaPool::Paused(const State& aState,
                         const ReplicaRequirements& aRequirements,
                         Millis aNow) {
  if (aNow < aState.mPausedUntil) {
    return true;
  }
  const auto model = aState.mModelPauses.find(aRequirements.mModel);
  return model != aState.mModelPauses.end() && aNow < model->second;
}

int64_t ReplicaPool::LoadOf(const State& aState, Millis aNow) {
  const bool recent = aNow - aState.mLoadReportedAt < kReportedLoadMaxAge;
  return aState.mInFlight + (recent ? aState.mOtherNodesRequests : 0);
}

void ReplicaPool::ObserveLoad(const std::string& aId, int64_t aRequests,
                              Millis aNow) {
  State* state = Lookup(aId);
  if (state != nullptr) {
    state->mOtherNodesRequests =
        std::max<int64_t>(0, aRequests - state->mInFlight);
    state->mLoadReportedAt = aNow;
    UpdateRank(*state, aNow);
  }
}

bool ReplicaPool::IsEligible(const State& aState,
                             const ReplicaRequirements& aRequirements,
                             Millis aNow) const {
  const Replica& replica = aState.mReplica;
  if (replica.mService != aRequirements.mService || replica.mDraining ||
      Evacuated(replica.mZone)) {
    return false;
  }
  if (aRequirements.mRegions &&
      !InRegions(aRequirements.mRegions, mRegions, replica.mZone)) {
    return false;
  }
  if (replica.mCold && !aState.mColdSends.Allows(ColdLimit(aState), aNow)) {
    return false;
  }
  if (!aRequirements.mModel.empty() &&
      replica.VersionOf(aRequirements.mModel) < aRequirements.mMinVersion) {
    return false;
  }
  if (aRequirements.mNeedsFreeSlot && LoadOf(aState, aNow) >= replica.mSlots) {
    return false;
  }
  const auto& excluded = aRequirements.mExcluded;
  return std::find(excluded.begin(), excluded.end(), replica.mId) ==
         excluded.end();
}

double ReplicaPool::MedianPace(const Service& aService, Millis aNow) {
  std::vector<double> paces;
  for (const State* state : aService.mStates) {
    const double pace = state->mPace.At(aNow);
    if (pace > 0) {
      paces.push_back(pace);
    }
  }
  if (paces.empty()) {
    return 0;
  }
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

void ReplicaPool::ObservePace(const std::string& aId, double aMsPerEvent,
                              Millis aNow) {
  State* state = Lookup(aId);
  if (state == nullptr) {
    return;
  }
  const double before = state->mPace.At(aNow);
  state->mPace.Observe(aMsPerEvent, aNow);
  if (before == 0) {
    // The first measurement of a replica changes the median at once.
    state->mService->mOutdated = true;
    return;
  }
  const double moved = std::abs(state->mPace.At(aNow) - state->mRankedPace);
  if (state->mRank && moved > kPaceTolerance * state->mRankedPace) {
    UpdateRank(*state, aNow);
  }
}

double ReplicaPool::PaceAt(const std::string& aId, int64_t aExtraTexts,
                           Millis aNow) const {
  const auto found = mStates.find(aId);
  if (found == mStates.end()) {
    return 0;
  }
  const State& state = found->second;
  double pace = state.mPace.At(aNow);
  if (pace == 0) {
    // A replica without measurements is assumed to be typical.
    pace = RefreshedService(state, aNow).mTypicalPace;
  }
  return pace * (1 + kFullBatchCost * SlotShare(state.mReplica, aExtraTexts));
}

void ReplicaPool::PauseModel(const std::string& aId, const std::string& aModel,
                             Millis aUntil) {
  const auto found = mStates.find(aId);
  if (found != mStates.end()) {
    Millis& until = found->second.mModelPauses[aModel];
    until = std::max(until, aUntil);
  }
}

void ReplicaPool::Resume(const std::string& aId) {
  const auto found = mStates.find(aId);
  if (found != mStates.end()) {
    found->second.mPausedUntil = Millis();
    found->second.mModelPauses.clear();
    found->second.mFailures = 0;
  }
}

double ReplicaPool::Cost(const State& aState,
                         const ReplicaRequirements& aRequirements,
                         Millis aNow) {
  double cost = SlotShare(aState.mReplica, LoadOf(aState, aNow));
  cost += (aState.mLatency > 0 ? aState.mLatency : kAssumedLatencyMs) /
          kLatencyScaleMs;
  if (aState.mReplica.mZone != aRequirements.mZone) {
    cost += kOtherZoneCost;
  }
  if (aState.mReplica.mCold) {
    cost += kColdCost;
  }
  return cost + kPausedCost * Avoidance(aState, aRequirements, aNow);
}

double ReplicaPool::Avoidance(const State& aState,
                              const ReplicaRequirements& aRequirements,
                              Millis aNow) {
  double avoidance =
      aRequirements.mPrefersKnown && !aState.mKnown ? kUnknownAvoidance : 0;
  if (Paused(aState, aRequirements, aNow)) {
    const bool unreachable = aState.mUnreachable && aNow < aState.mPausedUntil;
    avoidance += unreachable ? 2 : 1;
  }
  return avoidance;
}

double ReplicaPool::TextCost(const State& aState, Millis aNow) {
  const double pace = aState.mPace.At(aNow);
  const double typical = aState.mService->mTypicalPace;
  const Replica& replica = aState.mReplica;
  const bool near = replica.mZone == aState.mService->mZone;
  double cost = pace > 0 && typical > 0 ? pace / typical : 1;
  cost += kFullBatchCost * SlotShare(replica, LoadOf(aState, aNow));
  cost += aState.mVacated ? kVacatedCost : 0;
  return cost + (near ? 0 : kOtherZoneTextCost);
}

std::optional<std::string> ReplicaPool::Choose(
    const ReplicaRequirements& aRequirements, Millis aNow) const {
  if (aRequirements.mNeedsFreeSlot) {
    return ChooseFree(aRequirements, aNow);
  }
  return aRequirements.mModel.empty() && UsesCurrentLoad(aRequirements.mService)
             ? ChooseByLoad(aRequirements, aNow)
             : ChooseAny(aRequirements, aNow);
}

std::optional<std::string> ReplicaPool::ChooseFree(
    const ReplicaRequirements& aRequirements, Millis aNow) const {
  const auto found = mServices.find(aRequirements.mService);
  if (found == mServices.end()) {
    return std::nullopt;
  }
  Service& service = found->second;
  if (service.mZone != aRequirements.mZone) {
    service.mZone = aRequirements.mZone;
    service.mOutdated = true;
  }
  RefreshRanks(service, aNow);
  for (const Rank& rank : service.mFree) {
    const State& state = *rank.mState;
    if (IsEligible(state, aRequirements, aNow) &&
        !Paused(state, aRequirements, aNow)) {
      return state.mReplica.mId;
    }
  }
  return std::nullopt;
}

std::optional<std::string> ReplicaPool::ChooseAny(
    const ReplicaRequirements& aRequirements, Millis aNow) const {
  const auto found = mServices.find(aRequirements.mService);
  if (found == mServices.end()) {
    return std::nullopt;
  }
  const State* best = nullptr;
  double bestCost = 0;
  const std::vector<State*>& states = found->second.mStates;
  for (size_t i = 0; i < states.size(); ++i) {
    const State* state = states[(mTieBreakOffset + i) % states.size()];
    if (!IsEligible(*state, aRequirements, aNow)) {
      continue;
    }
    const double cost = Cost(*state, aRequirements, aNow);
    if (best == nullptr || cost < bestCost) {
      best = state;
      bestCost = cost;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mReplica.mId);
}

void ReplicaPool::Start(const std::string& aId, const std::string& aModel) {
  State* state = Lookup(aId);
  if (state == nullptr) {
    return;
  }
  ++state->mInFlight;
  if (!aModel.empty()) {
    ++state->mRuns[aModel];
  }
  UpdateRank(*state, state->mService->mRankedAt);
}

void ReplicaPool::Sent(const std::string& aId, Millis aNow) {
  State* state = Lookup(aId);
  if (state != nullptr && state->mReplica.mCold) {
    state->mColdSends.Sent(aNow, ColdLimit(*state));
  }
}

int64_t ReplicaPool::ColdLimit(const State& aState) const {
  const auto rate = mColdRates.find(aState.mReplica.mService);
  return mCold.PerSecond(aState.mReplica.mId,
                         rate == mColdRates.end() ? 0 : rate->second);
}

bool ReplicaPool::Evacuate(std::set<std::string> aZones) {
  const bool changed = aZones != mEvacuated;
  mEvacuated = std::move(aZones);
  return changed;
}

void ReplicaPool::SetServices(const std::vector<ServiceSpec>& aServices) {
  mColdRates.clear();
  for (const ServiceSpec& service : aServices) {
    mColdRates[service.mName] = service.mColdPerSecond;
  }
}

bool ReplicaPool::AnyAnswers(const Service& aService) {
  return std::any_of(aService.mStates.begin(), aService.mStates.end(),
                     [](const State* aState) {
                       return aState->mKnown && !aState->mUnreachable;
                     });
}

void ReplicaPool::End(const std::string& aId, ReplicaOutcome aOutcome,
                      Millis aLatency, Millis aNow, const std::string& aModel) {
  const auto found = mStates.find(aId);
  if (found == mStates.end()) {
    return;
  }
  State& state = found->second;
  state.mInFlight = std::max<int64_t>(state.mInFlight - 1, 0);
  const auto runs = state.mRuns.find(aModel);
  if (runs != state.mRuns.end() && --runs->second <= 0) {
    state.mRuns.erase(runs);
  }
  UpdateRank(state, aNow);
  if (aOutcome == ReplicaOutcome::Abandoned) {
    return;
  }
  state.mUnreachable = aOutcome == ReplicaOutcome::Unreachable;
  state.mKnown = state.mKnown || aOutcome == ReplicaOutcome::Served ||
                 aOutcome == ReplicaOutcome::Refused;
  if (aOutcome == ReplicaOutcome::Served) {
    state.mFailures = 0;
    const auto latency = static_cast<double>(aLatency.Count());
    if (aLatency == Millis(0)) {
      return;
    }
    state.mLatency =
        state.mLatency == 0
            ? latency
            : state.mLatency * (1 - kLatencyWeight) + latency * kLatencyWeight;
    return;
  }
  if (aOutcome == ReplicaOutcome::Refused && RefusedAsFull(state, aNow)) {
    return;
  }
  ++state.mFailures;
  const bool doubtful =
      state.mUnreachable && !state.mKnown && AnyAnswers(*state.mService);
  state.mPausedUntil =
      aNow + PauseAfter(state.mFailures,
                        doubtful ? kLongestUnknownPause : kLongestPause);
}

void ReplicaPool::Pause(const std::string& aId, Millis aUntil) {
  const auto found = mStates.find(aId);
  if (found != mStates.end()) {
    found->second.mPausedUntil = std::max(found->second.mPausedUntil, aUntil);
  }
}

void ReplicaPool::UpdateVersion(const std::string& aId,
                                const std::string& aModel, int64_t aVersion) {
  const auto found = mStates.find(aId);
  if (found == mStates.end()) {
    return;
  }
  for (ModelVersion& model : found->second.mReplica.mModels) {
    if (model.mModel == aModel) {
      model.mVersion = std::max(model.mVersion, aVersion);
    }
  }
}

const Replica* ReplicaPool::Find(const std::string& aId) const {
  const auto found = mStates.find(aId);
  return found == mStates.end() ? nullptr : &found->second.mReplica;
}

int64_t ReplicaPool::InFlight(const std::string& aId) const {
  const auto found = mStates.find(aId);
  return found == mStates.end() ? 0 : found->second.mInFlight;
}

std::map<std::string, int64_t> ReplicaPool::RunsByModel(
    const std::string& aId) const {
  const auto found = mStates.find(aId);
  return found == mStates.end() ? std::map<std::string, int64_t>()
                                : found->second.mRuns;
}

double ReplicaPool::RelativePace(const std::string& aId, Millis aNow) const {
  const auto found = mStates.find(aId);
  if (found == mStates.end()) {
    return 1;
  }
  const double typical = RefreshedService(found->second, aNow).mTypicalPace;
  const double pace = found->second.mPace.At(aNow);
  return typical > 0 && pace > 0 ? pace / typical : 1;
}

bool ReplicaPool::Failing(const std::string& aId, Millis aNow) const {
  const auto found = mStates.find(aId);
  return found != mStates.end() && found->second.mFailures > 0 &&
         aNow < found->second.mPausedUntil;
}

bool ReplicaPool::Unreachable(const std::string& aId, Millis aNow) const {
  const auto found = mStates.find(aId);
  return found != mStates.end() && found->second.mUnreachable &&
         aNow < found->second.mPausedUntil;
}

std::map<std::string, ServiceUse> ReplicaPool::Use(Millis aNow) const {
  std::map<std::string, ServiceUse> all;
  for (const auto& [name, service] : mServices) {
    ServiceUse& use = all[name];
    for (const State* state : service.mStates) {
      ++use.mReplicas;
      use.mSlots += state->mReplica.mSlots;
      use.mTaken += std::min(LoadOf(*state, aNow), state->mReplica.mSlots);
    }
  }
  return all;
}

std::vector<Replica> ReplicaPool::All() const {
  std::vector<Replica> replicas;
  for (const auto& [id, state] : mStates) {
    replicas.push_back(state.mReplica);
  }
  return replicas;
}

std::vector<const Replica*> ReplicaPool::OfService(
    std::string_view aService) const {
  std::vector<const Replica*> replicas;
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return replicas;
  }
  for (const State* state : found->second.mStates) {
    replicas.push_back(&state->mReplica);
  }
  return replicas;
}

}  // namespace rillwall
