#include "rillwall/weight_orders.h"

#include <algorithm>

#include "rillwall/backoff.h"
#include "rillwall/event_log.h"
#include "rillwall/numbers.h"

namespace rillwall {

namespace {

constexpr Millis kTick{50};
/// Weight of a new step's work in its model's smoothed demand.
constexpr double kDemandWeight = 0.3;
/// One of this many replicas loads at a time: loads share the bandwidth of the
/// weight store, and the other replicas go on serving.
constexpr size_t kReplicasPerLoad = 5;
/// After a plan that ordered nothing, the next one is made after 1 ms for each
/// group of this many replicas, as the processor time of a plan grows with
/// their number. With a hundred replicas, a plan is made at each tick.
constexpr int64_t kReplicasPerPauseMs = 3;
/// First poll of a loading replica; no deployment loads faster.
constexpr Millis kFirstLoadPoll{850};
constexpr Millis kLoadPollInterval{150};
/// A load that has not ended by then is planned again.
constexpr Millis kLoadTimeout{8000};
/// Pause before an order without an answer is sent again.
constexpr Millis kRetryPause{300};
/// Longest time for which a replica without an answer is left out.
constexpr Millis kMaxDeferral{5000};
/// Records of replicas that are gone are dropped when there are this many.
constexpr size_t kMaxUnanswered = 64;

size_t LoadsAtOnce(size_t aReplicas) {
  return std::max<size_t>(
      1, (aReplicas + kReplicasPerLoad / 2) / kReplicasPerLoad);
}

void LogOrder(const Replica& aReplica, const VersionOrder& aOrder,
              const char* aOutcome) {
  Event("order")
      .Text("replica", aReplica.mId)
      .Text("model", aOrder.mModel)
      .Number("version", aOrder.mVersion)
      .Number("fence", aOrder.mFence)
      .Number("expected", aOrder.mExpected)
      .Text("outcome", aOutcome)
      .Write();
}

const char* OutcomeName(OrderOutcome aAnswer) {
  switch (aAnswer) {
    case OrderOutcome::Started:
      return "started";
    case OrderOutcome::AlreadyDone:
      return "already-done";
    case OrderOutcome::Conflict:
      return "conflict";
    case OrderOutcome::Fenced:
      return "fenced";
    case OrderOutcome::Rejected:
      return "rejected";
  }
  return "unknown";
}

}  // namespace

int64_t ReplicaReport::VersionOf(std::string_view aModel) const {
  Replica replica;
  replica.mModels = mModels;
  return replica.VersionOf(aModel);
}

WeightOrders::WeightOrders(NodeContext& aNode, LeadClaim& aLead,
                           ReplicaControl& aControl)
    : mNode(aNode), mLead(aLead), mControl(aControl) {}

void WeightOrders::SetTargetVersion(const std::string& aModel,
                                    int64_t aVersion) {
  int64_t& targetVersion = mTargetVersions[aModel];
  if (aVersion <= targetVersion) {
    return;
  }
  targetVersion = aVersion;
  mPlanPausedUntil.clear();
  Event("version-named")
      .Text("model", aModel)
      .Number("version", aVersion)
      .Write();
}

int64_t WeightOrders::TargetVersion(const std::string& aModel) const {
  const auto found = mTargetVersions.find(aModel);
  return found == mTargetVersions.end() ? 0 : found->second;
}

asio::awaitable<void> WeightOrders::Run() {
  while (!mNode.mStopping) {
    co_await Sleep(mNode.mIo, kTick);
    if (!mLead.MayOrder()) {
      continue;
    }
    const auto routes = mNode.mRoutes.Read();
    for (const ServiceSpec& service : routes->Services()) {
      if (service.mEngine) {
        StartLoads(service);
      }
    }
  }
}

void WeightOrders::StartLoads(const ServiceSpec& aService) {
  const std::vector<const Replica*> replicas =
      mNode.mReplicas.OfService(aService.mName);
  const size_t most = LoadsAtOnce(replicas.size());
  const Millis now = mNode.Now();
  if (LoadingCount(replicas) >= most ||
      now < mPlanPausedUntil[aService.mName]) {
    // The usual case, which returns before any planning.
    return;
  }
  const std::vector<LoadTarget> targets = TargetsOf(aService);
  if (targets.empty()) {
    return;
  }
  std::vector<LoadCandidate> candidates;
  for (const Replica* replica : replicas) {
    if (Deferred(replica->mId, now)) {
      continue;
    }
    LoadCandidate candidate;
    candidate.mId = replica->mId;
    candidate.mVersions = replica->mModels;
    candidate.mRuns = mNode.mReplicas.RunsByModel(replica->mId);
    candidate.mInFlight = mNode.mReplicas.InFlight(replica->mId);
    candidate.mSlots = replica->mSlots;
    candidate.mPace = mNode.mReplicas.RelativePace(replica->mId, now);
    const auto loading = mLoading.find(replica->mId);
    if (loading != mLoading.end()) {
      candidate.mLoading = loading->second;
    }
    candidate.mDraining =
        replica->mDraining || mNode.mReplicas.Evacuated(replica->mZone);
    candidate.mFailing = mNode.mReplicas.Failing(replica->mId, now);
    candidates.push_back(std::move(candidate));
  }
  const std::vector<PlannedLoad> picks =
      PlanLoads(std::move(candidates), targets, most,
                mNeeds ? mNeeds() : std::vector<VersionNeed>());
  if (picks.empty()) {
    const auto count = static_cast<int64_t>(replicas.size());
    mPlanPausedUntil[aService.mName] =
        now + Millis(count / kReplicasPerPauseMs);
  }
  for (const PlannedLoad& pick : picks) {
    mLoading[pick.mReplica] = {pick.mModel, pick.mVersion};
    if (pick.mByDueTime) {
      mNode.mMetrics.Count("loads_by_due_time_total");
    }
    const Replica replica = *mNode.mReplicas.Find(pick.mReplica);
    Launch(mNode.mIo, "load", Load(replica, pick));
  }
}

std::vector<LoadTarget> WeightOrders::TargetsOf(
    const ServiceSpec& aService) const {
  std::vector<LoadTarget> targets;
  for (const std::string& model : aService.mModels) {
    const int64_t version = TargetVersion(model);
    if (version == 0) {
      continue;
    }
    const auto lag = mLags.find(model);
    const auto texts = mMaxTexts.find(model);
    targets.push_back(
        {model, version, DemandOf(model), !MustFinishRuns(model),
         lag == mLags.end() ? AllowedLag().Versions() : lag->second.Versions(),
         texts == mMaxTexts.end() ? 0 : texts->second});
  }
  return targets;
}

std::map<std::string, size_t> WeightOrders::WantedReplicas() const {
  std::map<std::string, size_t> wanted;
  const auto routes = mNode.mRoutes.Read();
  for (const ServiceSpec& service : routes->Services()) {
    const std::vector<const Replica*> replicas =
        mNode.mReplicas.OfService(service.mName);
    if (!service.mEngine || replicas.empty()) {
      continue;
    }
    std::vector<int64_t> slots;
    for (const Replica* replica : replicas) {
      slots.push_back(replica->mSlots);
    }
    const int64_t usualSlots = MedianOr(std::move(slots), 1);
    size_t used = 0;
    for (const LoadTarget& target : TargetsOf(service)) {
      const auto steps = static_cast<size_t>(target.mAllowedLag + 1);
      used += steps * ReplicasFor(target, usualSlots);
    }
    wanted[service.mName] = used + used / 4;
  }
  return wanted;
}

size_t WeightOrders::LoadingCount(
    const std::vector<const Replica*>& aReplicas) const {
  const auto loads = [this](const Replica* aReplica) {
    return mLoading.contains(aReplica->mId);
  };
  return mLoading.empty() ? 0
                          : static_cast<size_t>(std::count_if(
                                aReplicas.begin(), aReplicas.end(), loads));
}

double WeightOrders::DemandOf(const std::string& aModel) const {
  const auto found = mDemand.find(aModel);
  return found == mDemand.end() ? 0 : found->second;
}

void WeightOrders::Observe(const RolloutSpec& aSpec, double aWork) {
  if (TargetVersion(aSpec.mModel) > 0) {
    mLags[aSpec.mModel].Observe(TargetVersion(aSpec.mModel), aSpec.mMinVersion);
  }
  int64_t& texts = mMaxTexts[aSpec.mModel];
  texts = std::max(texts, static_cast<int64_t>(aSpec.mItems.size()));
  double& demand = mDemand[aSpec.mModel];
  demand = demand == 0 ? aWork
                       : demand * (1 - kDemandWeight) + aWork * kDemandWeight;
}

bool WeightOrders::MustFinishRuns(const std::string& aModel) const {
  // A text that must be of one version cannot continue after a change, so it is
  // allowed to finish.
  const auto routes = mNode.mRoutes.Read();
  for (const Route& route : routes->Routes()) {
    for (const RouteTarget& target : route.mTargets) {
      const ServiceSpec* service = routes->Service(target.mService);
      const bool serves =
          service != nullptr &&
          std::find(service->mModels.begin(), service->mModels.end(), aModel) !=
              service->mModels.end();
      if (serves && route.mSingleVersion) {
        return true;
      }
    }
  }
  return false;
}

void WeightOrders::Defer(const std::string& aReplica, const std::string& aWhy) {
  if (mUnanswered.size() >= kMaxUnanswered) {
    std::erase_if(mUnanswered, [this](const auto& aEach) {
      return mNode.mReplicas.Find(aEach.first) == nullptr;
    });
  }
  Unanswered& record = mUnanswered[aReplica];
  const Millis pause = BackoffDelay(++record.mLoads, kRetryPause, kMaxDeferral);
  record.mUntil = mNode.Now() + pause;
  Event("load-deferred")
      .Text("replica", aReplica)
      .Number("loads", record.mLoads)
      .Number("pause_ms", pause.Count())
      .Text("why", aWhy)
      .Write();
}

bool WeightOrders::Deferred(const std::string& aReplica, Millis aNow) const {
  const auto found = mUnanswered.find(aReplica);
  return found != mUnanswered.end() && aNow < found->second.mUntil;
}

asio::awaitable<void> WeightOrders::Load(Replica aReplica, PlannedLoad aPick) {
  const std::string& model = aPick.mModel;
  const int64_t version = aPick.mVersion;
  const Result<ReplicaReport> report = co_await mControl.Report(aReplica);
  VersionOrder order;
  order.mModel = model;
  order.mVersion = version;
  order.mAbortRuns = aPick.mAbortRuns;
  order.mHolder = mNode.mIdentity.mName;
  order.mFence = mLead.Fence();
  bool started = false;
  std::string unanswered = report ? "" : report.error().Detail();
  if (report && report->VersionOf(model) >= version) {
    mNode.mReplicas.UpdateVersion(aReplica.mId, model,
                                  report->VersionOf(model));
  } else if (report && report->mBusy) {
    started = true;
  } else if (report && mLead.MayOrder()) {
    order.mExpected = report->mSequence;
    mNode.mReplicas.PauseModel(aReplica.mId, model,
                               mNode.Now() + kFirstLoadPoll);
    const Result<OrderOutcome> answer =
        co_await mControl.Order(aReplica, order);
    LogOrder(aReplica, order,
             answer ? OutcomeName(*answer) : answer.error().Detail().c_str());
    mNode.mMetrics.Count("orders_total");
    started = !answer || *answer == OrderOutcome::Started;
    if (answer && *answer == OrderOutcome::AlreadyDone) {
      mNode.mReplicas.UpdateVersion(aReplica.mId, model, version);
    }
  }
  if (started && !co_await AwaitLoaded(aReplica, model, version)) {
    unanswered = "no report after the order";
  }
  if (!unanswered.empty()) {
    Defer(aReplica.mId, unanswered);
  } else {
    mUnanswered.erase(aReplica.mId);
  }
  if (!started && unanswered.empty()) {
    co_await Sleep(mNode.mIo, kRetryPause);
  }
  mLoading.erase(aReplica.mId);
  mPlanPausedUntil.clear();
  if (mOnLoaded) {
    mOnLoaded();
  }
}

asio::awaitable<bool> WeightOrders::AwaitLoaded(Replica aReplica,
                                                std::string aModel,
                                                int64_t aVersion) {
  const Millis begun = mNode.Now();
  bool answered = false;
  co_await Sleep(mNode.mIo, kFirstLoadPoll);
  while (mNode.Now() < begun + kLoadTimeout && !mNode.mStopping) {
    const Result<ReplicaReport> report = co_await mControl.Report(aReplica);
    const int64_t version = report ? report->VersionOf(aModel) : 0;
    answered = report.has_value();
    if (report && !report->mBusy) {
      mNode.mReplicas.UpdateVersion(aReplica.mId, aModel, version);
      mNode.mReplicas.Resume(aReplica.mId);
      Event("load-ended")
          .Text("replica", aReplica.mId)
          .Text("model", aModel)
          .Number("version", version)
          .Number("wanted", aVersion)
          .Number("took_ms", (mNode.Now() - begun).Count())
          .Write();
      co_return true;
    }
    mNode.mReplicas.PauseModel(aReplica.mId, aModel,
                               mNode.Now() + kLoadPollInterval);
    co_await Sleep(mNode.mIo, kLoadPollInterval);
  }
  co_return answered;
}

}  // namespace rillwall
