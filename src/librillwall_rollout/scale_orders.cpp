#include "rillwall/scale_orders.h"

#include <algorithm>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

/// Interval of the plans. A termination notice gives some 2.5 s.
constexpr Millis kTick{200};
/// Pauses before an order that was not answered, or that was put off, is sent
/// again. A new replica takes seconds to start, so that a short pause counts.
constexpr Millis kFirstPause{150};
constexpr Millis kLongestPause{1000};
/// Longer than the registry takes to show which replicas leave.
constexpr Millis kVacatedAfterReduction{2000};

std::string KindName(bool aSpot) { return aSpot ? "spot" : "ordinary"; }

const char* AnswerName(ScaleAnswer::Kind aKind) {
  switch (aKind) {
    case ScaleAnswer::Kind::Accepted:
      return "accepted";
    case ScaleAnswer::Kind::NoneAvailable:
      return "none-available";
    case ScaleAnswer::Kind::TryLater:
      return "try-later";
    case ScaleAnswer::Kind::Unknown:
      return "unknown";
  }
  return "unknown";
}

/// \return a replica whose zone has no price, or null
const Replica* FindUnpriced(const ScalingSpec& aSpec,
                            const std::vector<Replica>& aReplicas) {
  const auto found = std::find_if(
      aReplicas.begin(), aReplicas.end(), [&](const Replica& aReplica) {
        return !aSpec.mZonePrices.contains(aReplica.mZone);
      });
  return found == aReplicas.end() ? nullptr : &*found;
}

}  // namespace

ScaleOrders::ScaleOrders(NodeContext& aNode, LeadClaim& aLead, ScalePort& aPort)
    : mNode(aNode), mLead(aLead), mPort(aPort) {}

bool ScaleOrders::MayOrder() const {
  return mActive && mLead.MayOrder() && mFence == mLead.Fence();
}

void ScaleOrders::OnStep() {
  for (const auto& [name, service] : mServices) {
    Observe(*service);
  }
}

asio::awaitable<void> ScaleOrders::Run() {
  mJitter = Jitter(std::hash<std::string>()(mNode.mIdentity.mRun));
  while (!mNode.mStopping) {
    co_await Sleep(mNode.mIo, kTick);
    if (mActive && mLead.MayOrder()) {
      co_await Tick();
    } else if (!mServices.empty()) {
      mServices.clear();
      mVacated.clear();
      mNode.mReplicas.SetVacated({});
    }
  }
}

asio::awaitable<void> ScaleOrders::Tick() {
  if (mFence != mLead.Fence()) {
    mServices.clear();
    mFence = mLead.Fence();
  }
  const auto routes = mNode.mRoutes.Read();
  for (const ServiceSpec& spec : routes->Services()) {
    std::vector<Replica> replicas;
    std::string fault = spec.mScalingFault;
    if (spec.mScaling) {
      replicas = RegisteredOf(spec.mName);
      const Replica* unpriced = FindUnpriced(*spec.mScaling, replicas);
      if (unpriced != nullptr) {
        fault = "Field 'scaling.zone-prices' has no price for zone '" +
                unpriced->mZone + "', which has replicas; add it.";
      }
    }
    ReportFault(spec.mName, fault);
    if (!spec.mScaling || !fault.empty()) {
      mServices.erase(spec.mName);
      continue;
    }
    ServicePtr service;
    const auto known = mServices.find(spec.mName);
    if (known != mServices.end()) {
      service = known->second;
      service->mPlanner.SetSpec(*spec.mScaling);
    } else {
      service = co_await Recover(spec);
    }
    if (service && MayOrder()) {
      co_await PlanService(service, std::move(replicas));
    }
  }
}

void ScaleOrders::ReportFault(const std::string& aService,
                              const std::string& aFault) {
  std::string& logged = mFaults[aService];
  if (logged == aFault) {
    return;
  }
  logged = aFault;
  Event("scale-fault")
      .Text("service", aService)
      .Flag("scaled", aFault.empty())
      .Text("why", aFault)
      .Write();
}

std::vector<Replica> ScaleOrders::RegisteredOf(
    const std::string& aService) const {
  std::vector<Replica> replicas = mRegistered();
  std::erase_if(replicas, [&](const Replica& aReplica) {
    return aReplica.mService != aService;
  });
  return replicas;
}

std::vector<ScaleReplica> ScaleOrders::StatesOf(
    const std::vector<Replica>& aReplicas) const {
  std::vector<ScaleReplica> states;
  const Millis now = mNode.Now();
  for (const Replica& replica : aReplicas) {
    const bool revoked = replica.mDraining && replica.mLeavesIn > Millis(0);
    states.push_back({{replica.mZone, replica.mSpot},
                      replica.mSlots,
                      replica.mDraining,
                      replica.mSpot && revoked,
                      mNode.mReplicas.LoadAt(replica.mId, now) > 0});
  }
  return states;
}

asio::awaitable<ScaleOrders::ServicePtr> ScaleOrders::Recover(
    const ServiceSpec& aSpec) {
  // Copied, as the configuration may change during the read.
  const std::string name = aSpec.mName;
  auto service = std::make_shared<Service>(name, *aSpec.mScaling);
  const int64_t fence = mFence;
  const Result<std::optional<StoreItem>> item =
      co_await mNode.mStore.Get(ScaleKey(name));
  const std::vector<ScaleReplica> replicas = StatesOf(RegisteredOf(name));
  if (!item || fence != mLead.Fence() || replicas.empty()) {
    co_return nullptr;
  }
  service->mPlanner.StartFrom(replicas);
  Result<ScaleRecord> record = Error(ErrorKind::NotFound, "no order");
  if (*item) {
    record = DecodeScaleRecord(name, (*item)->mValue);
  }
  if (record) {
    // An order of the earlier lead may not have reached the platform. Raises
    // are repeated. What was to be removed may have work again, so the plan
    // decides about it anew.
    const auto present = service->mPlanner.Groups();
    for (ScaleOrder& order : record->mOrders) {
      const ReplicaGroup group{order.mZone, order.mSpot};
      const auto found = present.find(group);
      const int64_t count = found == present.end() ? 0 : found->second.mOrdered;
      if (order.mCount > count) {
        service->mOpen[group] = {order, count, true, 0, Millis()};
      }
      order.mCount = std::max(order.mCount, count);
    }
    service->mPlanner.ContinueFrom(record->mOrders, record->mNeed, mNode.Now());
  }
  Event("scale-duty")
      .Text("service", name)
      .Number("fence", fence)
      .Number("replicas", static_cast<int64_t>(replicas.size()))
      .Number("repeated", static_cast<int64_t>(service->mOpen.size()))
      .Text("from", record ? "the store" : "the registry")
      .Write();
  mServices[name] = service;
  co_return service;
}

void ScaleOrders::Observe(Service& aService) const {
  int64_t others = 0;
  const Millis now = mNode.Now();
  for (const Replica* replica : mNode.mReplicas.OfService(aService.mName)) {
    others += mNode.mReplicas.LoadAt(replica->mId, now) -
              mNode.mReplicas.InFlight(replica->mId);
  }
  aService.mPlanner.Demand().Observe(mDemand(aService.mName), others, now);
}

void ScaleOrders::LogNotices(Service& aService,
                             const std::vector<Replica>& aReplicas) {
  std::map<std::string, std::pair<int64_t, Millis>> noticed;
  std::set<std::string> all;
  for (const Replica& replica : aReplicas) {
    if (!replica.mDraining || replica.mLeavesIn <= Millis(0)) {
      continue;
    }
    all.insert(replica.mId);
    if (!aService.mNoticed.contains(replica.mId)) {
      ++noticed[replica.mZone].first;
      noticed[replica.mZone].second = replica.mLeavesIn;
    }
  }
  aService.mNoticed = std::move(all);
  for (const auto& [zone, notice] : noticed) {
    Event("scale-notice")
        .Text("service", aService.mName)
        .Text("zone", zone)
        .Number("replicas", notice.first)
        .Number("leaves_in_ms", notice.second.Count())
        .Write();
    mNode.mMetrics.Count("scale_notices_total", "zone=\"" + zone + "\"",
                         static_cast<uint64_t>(notice.first));
  }
}

asio::awaitable<void> ScaleOrders::PlanService(ServicePtr aService,
                                               std::vector<Replica> aReplicas) {
  LogNotices(*aService, aReplicas);
  Observe(*aService);
  ScalePlan plan = aService->mPlanner.Plan(
      StatesOf(aReplicas), mNode.mReplicas.EvacuatedZones(), mNode.Now());
  aService->mReason = plan.mReason;
  UpdateVacated(*aService, plan.mVacated);
  SetMetrics();
  // A newer order waits until the platform has answered one that may have taken
  // effect.
  std::erase_if(plan.mOrders, [&](const ScaleOrder& aOrder) {
    const auto open = aService->mOpen.find({aOrder.mZone, aOrder.mSpot});
    return open != aService->mOpen.end() &&
           (open->second.mUnknown || open->second.mOrder == aOrder);
  });
  if (!plan.mOrders.empty()) {
    co_await Open(aService, std::move(plan.mOrders));
  }
  co_await Send(aService);
}

asio::awaitable<void> ScaleOrders::Open(ServicePtr aService,
                                        std::vector<ScaleOrder> aOrders) {
  ScalePlanner planned = aService->mPlanner;
  for (const ScaleOrder& order : aOrders) {
    planned.Ordered(order, mNode.Now());
  }
  StoreChange change;
  change.mGuards = {mLead.Guard()};
  change.mPuts.push_back({ScaleKey(aService->mName),
                          EncodeScaleRecord({planned.Orders(), planned.Need()}),
                          0});
  const int64_t fence = mFence;
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(std::move(change));
  const bool written = done && done->mApplied && fence == mLead.Fence();
  if (!written) {
    // The next tick plans and writes again, or the next holder does.
    if (!mWriteFailed) {
      Event("scale-unwritten")
          .Text("service", aService->mName)
          .Text("why", done ? "the claim has changed" : done.error().Detail())
          .Write();
    }
    mWriteFailed = true;
    if (done && !done->mApplied) {
      mFence = 0;
    }
    co_return;
  }
  mWriteFailed = false;
  for (const ScaleOrder& order : aOrders) {
    const ReplicaGroup group{order.mZone, order.mSpot};
    OpenOrder& open = aService->mOpen[group];
    const bool known = !open.mOrder.mZone.empty();
    const int64_t before = aService->mPlanner.Groups().at(group).mOrdered;
    open = {order, known ? open.mBefore : before, false, 0, Millis()};
    aService->mPlanner.Ordered(order, mNode.Now());
  }
  Event("scale-plan")
      .Text("service", aService->mName)
      .Number("orders", static_cast<int64_t>(aOrders.size()))
      .Text("why", aService->mReason)
      .Write();
}

bool ScaleOrders::WouldEndWork(const OpenOrder& aOpen) const {
  const ReplicaGroup group{aOpen.mOrder.mZone, aOpen.mOrder.mSpot};
  const std::vector<ScaleReplica> replicas =
      StatesOf(RegisteredOf(aOpen.mOrder.mService));
  int64_t present = 0;
  bool busy = false;
  for (const ScaleReplica& replica : replicas) {
    if (replica.mGroup == group && !replica.mLeaving) {
      ++present;
      busy = busy || replica.mBusy;
    }
  }
  return present > aOpen.mOrder.mCount && busy;
}

asio::awaitable<void> ScaleOrders::Send(ServicePtr aService) {
  std::vector<ReplicaGroup> due;
  for (const auto& [group, open] : aService->mOpen) {
    if (mNode.Now() >= open.mNextTry) {
      due.push_back(group);
    }
  }
  // Reductions make room for raises in the same zone.
  std::stable_partition(due.begin(), due.end(), [&](const ReplicaGroup& aOne) {
    const OpenOrder& open = aService->mOpen[aOne];
    return open.mOrder.mCount < open.mBefore;
  });
  for (const ReplicaGroup& group : due) {
    if (!MayOrder()) {
      co_return;
    }
    OpenOrder& open = aService->mOpen[group];
    if (!open.mUnknown && WouldEndWork(open)) {
      ScaleOrder before = open.mOrder;
      before.mCount = open.mBefore;
      aService->mPlanner.Ordered(before, mNode.Now());
      aService->mOpen.erase(group);
      continue;
    }
    FencingToken claim{mNode.mIdentity.mName, mFence};
    ScaleOrder order = open.mOrder;
    const ScaleAnswer answer =
        co_await mPort.Order(std::move(order), std::move(claim));
    Apply(*aService, group, answer);
  }
}

void ScaleOrders::Apply(Service& aService, const ReplicaGroup& aGroup,
                        const ScaleAnswer& aAnswer) {
  OpenOrder& open = aService.mOpen[aGroup];
  const Millis now = mNode.Now();
  ++open.mTries;
  Event("scale-order")
      .Text("service", aService.mName)
      .Text("zone", aGroup.mZone)
      .Text("kind", KindName(aGroup.mSpot))
      .Number("count", open.mOrder.mCount)
      .Number("before", open.mBefore)
      .Number("fence", mFence)
      .Number("tries", open.mTries)
      .Text("answer", AnswerName(aAnswer.mKind))
      .Text("why", aAnswer.mWhy)
      .Write();
  mNode.mMetrics.Count(
      "scale_orders_total",
      "answer=\"" + std::string(AnswerName(aAnswer.mKind)) + "\"");
  const bool lowers = open.mOrder.mCount < open.mBefore;
  if (lowers) {
    aService.mVacatedUntil[aGroup] = now + kVacatedAfterReduction;
  }
  switch (aAnswer.mKind) {
    case ScaleAnswer::Kind::Accepted:
      aService.mOpen.erase(aGroup);
      return;
    case ScaleAnswer::Kind::NoneAvailable:
      aService.mPlanner.Refused(open.mOrder, open.mBefore, now);
      aService.mOpen.erase(aGroup);
      return;
    case ScaleAnswer::Kind::Unknown:
      open.mUnknown = true;
      break;
    case ScaleAnswer::Kind::TryLater:
      break;
  }
  const Millis pause = BackoffDelay(open.mTries, kFirstPause, kLongestPause);
  open.mNextTry = now + mJitter.EqualJitter(pause);
}

void ScaleOrders::UpdateVacated(Service& aService,
                                const std::set<ReplicaGroup>& aPlanned) {
  const Millis now = mNode.Now();
  std::set<ReplicaGroup> groups = aPlanned;
  std::erase_if(aService.mVacatedUntil,
                [&](const auto& aEntry) { return now >= aEntry.second; });
  for (const auto& [group, until] : aService.mVacatedUntil) {
    groups.insert(group);
  }
  std::set<std::string> ids;
  for (const Replica* replica : mNode.mReplicas.OfService(aService.mName)) {
    if (groups.contains({replica->mZone, replica->mSpot})) {
      ids.insert(replica->mId);
    }
  }
  mVacated[aService.mName] = std::move(ids);
  std::set<std::string> all;
  for (const auto& [service, vacated] : mVacated) {
    all.insert(vacated.begin(), vacated.end());
  }
  mNode.mReplicas.SetVacated(std::move(all));
}

void ScaleOrders::SetMetrics() const {
  int64_t needed = 0;
  int64_t ordered = 0;
  int64_t present = 0;
  for (const auto& [name, service] : mServices) {
    for (const auto& [group, plan] : service->mPlanner.Groups()) {
      needed += plan.mNeeded;
      ordered += plan.mOrdered;
      present += plan.mPresent;
    }
  }
  mNode.mMetrics.Set("scale_replicas_needed", needed);
  mNode.mMetrics.Set("scale_replicas_ordered", ordered);
  mNode.mMetrics.Set("scale_replicas_present", present);
}

}  // namespace rillwall
