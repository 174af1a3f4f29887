/// \file
/// The part of ReplicaPool that places plain requests by the current load of
/// the replicas.

#include <algorithm>
#include <cmath>

#include "rillwall/replica_pool.h"

namespace rillwall {

namespace {

/// Round trip to another availability zone while none has been measured.
constexpr double kOtherZoneMs = 2;
/// Cost of traffic between zones, which is billed. Small against the work of a
/// request: it decides only between replicas that are about equally good.
constexpr double kOtherZoneTrafficMs = 2;
/// Cost of a new connection: 1 ms, and it may occupy a slot at the replica.
constexpr double kNewConnectionMs = 3;
/// Cost of a full set of running requests relative to the work of one, so that
/// hosts that choose at the same moment spread over replicas with free slots.
constexpr double kFullSlotsCost = 0.25;
/// A replica without figures is assumed to have this share of the requests of
/// the others. Below 1, so that it is tried before a replica that is known to
/// be full.
constexpr double kUnknownShare = 0.5;
/// Cost of a certain server error: the request has to be sent again, in a
/// service whose target latency is 150 ms.
constexpr double kErrorMs = 200;
/// A cold replica works more slowly.
constexpr double kColdWorkShare = 0.5;
/// Larger than any other cost: such a replica is used only if all are avoided.
constexpr double kAvoidedMs = 1e6;
/// Queue from which the time in a slot can be derived with little error.
constexpr int64_t kMinQueueForSlotTime = 3;
/// Time between log lines about one replica's malformed reports.
constexpr Millis kBadReportInterval{60000};
/// Age up to which a report belongs to the refusal that has just ended.
constexpr Millis kRefusalReportAge{10};
constexpr double kPercent = 100;

}  // namespace

void ReplicaPool::CountReport(const State& aState, int64_t aSign) {
  const std::optional<ReplicaLoad>& report = aState.mLoad.Report();
  if (report) {
    aState.mService->mReporting += aSign;
    aState.mService->mWithPercent += report->mWorkPercent ? aSign : 0;
  }
}

void ReplicaPool::ObserveLoad(const std::string& aId,
                              const ReplicaLoad& aReport, Millis aNow) {
  State* state = Lookup(aId);
  if (state != nullptr) {
    CountReport(*state, -1);
    state->mLoad.Report(aReport, state->mInFlight, aNow);
    CountReport(*state, 1);
    ObserveLoad(aId, aReport.mRunning + aReport.mWaiting, aNow);
  }
}

bool ReplicaPool::DropLoad(const std::string& aId, Millis aNow) {
  State* state = Lookup(aId);
  if (state == nullptr) {
    return false;
  }
  CountReport(*state, -1);
  state->mLoad.DropReport();
  std::optional<Millis>& logged = state->mBadReportLoggedAt;
  if (logged && aNow - *logged < kBadReportInterval) {
    return false;
  }
  logged = aNow;
  return true;
}

void ReplicaPool::ObserveAnswer(const std::string& aId,
                                const std::string& aRoute, Millis aLatency,
                                bool aError, Millis aNow) {
  State* state = Lookup(aId);
  if (state == nullptr || !UsesCurrentLoad(state->mReplica.mService)) {
    return;
  }
  CurrentLoad& load = state->mLoad;
  load.ObserveAnswer(aError, aNow);
  if (aError || !load.Recent(aNow)) {
    return;
  }
  const ReplicaLoad& report = *load.Report();
  WorkTimes& times = mWork[state->mReplica.mService];
  const double span = std::max(1.0, static_cast<double>(aLatency.Count()) -
                                        load.RoundTripMs().value_or(0));
  const bool reported = report.mWorkPercent.has_value();
  const double factor = reported ? load.Percent(aNow) / kPercent : 1;
  const double usual = times.UsualMs(aRoute);
  if (report.mWaiting == 0) {
    times.ObserveWork(aRoute, span / factor);
    if (!reported) {
      load.ObservePercent(kPercent * span / usual, aNow);
    }
    return;
  }
  const double wait = span / factor - usual;
  if (report.mWaiting >= kMinQueueForSlotTime && wait > 0) {
    times.ObserveSlotTime(wait * static_cast<double>(report.mSlots) /
                          static_cast<double>(report.mWaiting));
  }
}

void ReplicaPool::ObserveProbe(const std::string& aId, bool aHealthy,
                               Millis aRoundTrip, Millis aNow) {
  State* state = Lookup(aId);
  if (state != nullptr) {
    state->mLoad.ObserveRoundTrip(aRoundTrip);
    if (aHealthy) {
      state->mLoad.ObserveHealthy();
    } else {
      state->mLoad.ObserveUnhealthy(aNow);
    }
  }
}

bool ReplicaPool::UsesCurrentLoad(std::string_view aService) const {
  const auto found = mServices.find(aService);
  return found != mServices.end() &&
         (found->second.mWithPercent > 0 ||
          (mAdmissionRequired && found->second.mReporting > 0));
}

bool ReplicaPool::RefusedAsFull(const State& aState, Millis aNow) const {
  const std::optional<ReplicaLoad>& report = aState.mLoad.Report();
  return report && aState.mLoad.Age(aNow) <= kRefusalReportAge &&
         report->mWaiting > 0 && UsesCurrentLoad(aState.mReplica.mService);
}

double ReplicaPool::TypicalRequests(const Service& aService, Millis aNow) {
  double sum = 0;
  int64_t count = 0;
  for (const State* state : aService.mStates) {
    if (state->mLoad.Recent(aNow)) {
      sum += state->mLoad.OtherRequests(0, aNow);
      ++count;
    }
  }
  return count == 0 ? 0 : kUnknownShare * sum / static_cast<double>(count);
}

ExpectedTime ReplicaPool::Expect(const State& aState,
                                 const ReplicaRequirements& aRequirements,
                                 double aTypical, Millis aNow) const {
  static const WorkTimes kUnknown;
  const auto found = mWork.find(aRequirements.mService);
  const WorkTimes& times = found == mWork.end() ? kUnknown : found->second;
  const Replica& replica = aState.mReplica;
  const CurrentLoad& load = aState.mLoad;
  const double factor = load.Percent(aNow) / kPercent;
  const auto slots = static_cast<double>(std::max<int64_t>(
      load.Report() ? load.Report()->mSlots : replica.mSlots, 1));
  const double requests = static_cast<double>(aState.mInFlight) +
                          load.OtherRequests(aTypical, aNow);
  ExpectedTime expected;
  expected.mWaitMs =
      times.SlotMs() * factor * std::max(0.0, requests + 1 - slots) / slots;
  expected.mWorkMs = times.UsualMs(aRequirements.mRoute) * factor;
  const bool near = replica.mZone == aRequirements.mZone;
  expected.mNetworkMs = load.RoundTripMs().value_or(near ? 0 : kOtherZoneMs) +
                        (near ? 0 : kOtherZoneTrafficMs);
  const std::vector<std::string>& open = aRequirements.mConnected;
  if (!std::binary_search(open.begin(), open.end(), replica.mId)) {
    expected.mNetworkMs += kNewConnectionMs;
  }
  expected.mPenaltyMs =
      load.ErrorShare(aNow) * kErrorMs +
      expected.mWorkMs * (kFullSlotsCost * std::min(1.0, requests / slots) +
                          (replica.mCold ? kColdWorkShare : 0));
  expected.mPenaltyMs += kAvoidedMs * Avoidance(aState, aRequirements, aNow);
  if (load.Unhealthy(aNow) && !Paused(aState, aRequirements, aNow)) {
    expected.mPenaltyMs += kAvoidedMs;
  }
  return expected;
}

std::optional<std::string> ReplicaPool::ChooseByLoad(
    const ReplicaRequirements& aRequirements, Millis aNow) const {
  const Service& service = mServices.find(aRequirements.mService)->second;
  const double typical = TypicalRequests(service, aNow);
  const std::vector<State*>& states = service.mStates;
  const State* best = nullptr;
  double least = 0;
  for (size_t i = 0; i < states.size(); ++i) {
    const State* state = states[(mTieBreakOffset + i) % states.size()];
    if (!IsEligible(*state, aRequirements, aNow)) {
      continue;
    }
    const double total = Expect(*state, aRequirements, typical, aNow).Total();
    if (best == nullptr || total < least) {
      best = state;
      least = total;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mReplica.mId);
}

std::optional<AnswerEstimate> ReplicaPool::EstimateAnswer(
    const ReplicaRequirements& aRequirements, Millis aNow) const {
  if (!UsesCurrentLoad(aRequirements.mService)) {
    return std::nullopt;
  }
  std::optional<AnswerEstimate> best;
  double least = 0;
  int64_t freeSlots = 0;
  const Service& service = mServices.find(aRequirements.mService)->second;
  for (const State* state : service.mStates) {
    const CurrentLoad& load = state->mLoad;
    if (!load.Recent(aNow) || load.Unhealthy(aNow) ||
        !IsEligible(*state, aRequirements, aNow) ||
        Paused(*state, aRequirements, aNow)) {
      continue;
    }
    freeSlots +=
        std::max<int64_t>(0, load.Report()->mSlots - LoadOf(*state, aNow));
    const ExpectedTime expected = Expect(*state, aRequirements, 0, aNow);
    if (best && expected.Total() >= least) {
      continue;
    }
    least = expected.Total();
    best = AnswerEstimate{
        Millis(std::llround(expected.mWaitMs + expected.mWorkMs)),
        Millis(std::llround(expected.mWaitMs)), *load.Age(aNow), 0};
  }
  if (best) {
    best->mFreeSlots = freeSlots;
  }
  return best;
}

std::vector<ReplicaFigures> ReplicaPool::Figures(
    const ReplicaRequirements& aRequirements, Millis aNow) const {
  std::vector<ReplicaFigures> all;
  const auto found = mServices.find(aRequirements.mService);
  if (found == mServices.end()) {
    return all;
  }
  const double typical = TypicalRequests(found->second, aNow);
  const std::vector<State*>& states = found->second.mStates;
  const std::vector<std::string>& open = aRequirements.mConnected;
  for (size_t i = 0; i < states.size(); ++i) {
    const State& state = *states[(mTieBreakOffset + i) % states.size()];
    if (!IsEligible(state, aRequirements, aNow)) {
      continue;
    }
    const CurrentLoad& load = state.mLoad;
    const std::string& id = state.mReplica.mId;
    all.push_back({&state.mReplica, load.Report(), load.Age(aNow),
                   load.Percent(aNow), state.mInFlight,
                   Expect(state, aRequirements, typical, aNow),
                   std::binary_search(open.begin(), open.end(), id),
                   Paused(state, aRequirements, aNow) || load.Unhealthy(aNow)});
  }
  return all;
}

}  // namespace rillwall
