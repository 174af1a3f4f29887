#include "rillwall/weight_orders.h"

#include <algorithm>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

constexpr Millis kTick{50};
/// One of so many replicas loads at once: loads share the bandwidth of the
/// weight store, and the others go on serving.
constexpr size_t kReplicasPerLoad = 5;
/// First look at a loading replica; no deployment loads faster.
constexpr Millis kFirstLook{850};
constexpr Millis kLookEvery{150};
/// A load that is not done by then is looked at anew.
constexpr Millis kLoadLimit{8000};
/// Before an order that got no answer is sent again.
constexpr Millis kRetryPause{300};

size_t LoadsAtOnce(size_t aReplicas) {
  return std::max<size_t>(1, (aReplicas + kReplicasPerLoad / 2) /
                                 kReplicasPerLoad);
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

const char* AnswerName(OrderAnswer aAnswer) {
  switch (aAnswer) {
    case OrderAnswer::Started:
      return "started";
    case OrderAnswer::AlreadyDone:
      return "already-done";
    case OrderAnswer::Conflict:
      return "conflict";
    case OrderAnswer::Fenced:
      return "fenced";
    case OrderAnswer::Rejected:
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

void WeightOrders::Name(const std::string& aModel, int64_t aVersion) {
  int64_t& named = mNamed[aModel];
  if (aVersion <= named) {
    return;
  }
  named = aVersion;
  Event("version-named").Text("model", aModel).Number("version", aVersion).Write();
}

int64_t WeightOrders::Named(const std::string& aModel) const {
  const auto found = mNamed.find(aModel);
  return found == mNamed.end() ? 0 : found->second;
}

asio::awaitable<void> WeightOrders::Run() {
  while (!mNode.mStopping) {
    co_await Sleep(mNode.mIo, kTick);
    if (!mLead.MayOrder()) {
      continue;
    }
    for (const auto& [model, version] : mNamed) {
      StartLoads(model, version);
    }
  }
}

size_t WeightOrders::LoadingOf(
    const std::vector<const Replica*>& aReplicas) const {
  return static_cast<size_t>(std::count_if(
      aReplicas.begin(), aReplicas.end(), [this](const Replica* aReplica) {
        return mLoading.contains(aReplica->mId);
      }));
}

void WeightOrders::StartLoads(const std::string& aModel, int64_t aVersion) {
  const auto routes = mNode.mRoutes.Read();
  for (const std::string& service : routes->ServicesOfModel(aModel)) {
    const std::vector<const Replica*> all = mNode.mReplicas.OfService(service);
    std::vector<const Replica*> due;
    for (const Replica* replica : all) {
      const int64_t version = replica->VersionOf(aModel);
      const bool old = version > 0 && version < aVersion;
      if (old && !replica->mDraining && !mLoading.contains(replica->mId)) {
        due.push_back(replica);
      }
    }
    // The oldest weights first, since the next step can't use them; then the
    // replica that is least busy.
    std::sort(due.begin(), due.end(),
              [&](const Replica* aOne, const Replica* aOther) {
                const int64_t one = aOne->VersionOf(aModel);
                const int64_t other = aOther->VersionOf(aModel);
                if (one != other) {
                  return one < other;
                }
                return mNode.mReplicas.InFlight(aOne->mId) <
                       mNode.mReplicas.InFlight(aOther->mId);
              });
    size_t loading = LoadingOf(all);
    const size_t most = LoadsAtOnce(all.size());
    for (const Replica* replica : due) {
      if (loading >= most) {
        break;
      }
      ++loading;
      mLoading.insert(replica->mId);
      Launch(mNode.mIo, "load", Load(*replica, aModel, aVersion));
    }
  }
}

asio::awaitable<void> WeightOrders::Load(Replica aReplica, std::string aModel,
                                         int64_t aVersion) {
  const Result<ReplicaReport> report = co_await mControl.Report(aReplica);
  VersionOrder order;
  order.mModel = aModel;
  order.mVersion = aVersion;
  order.mCutRuns = true;
  order.mHolder = mNode.mIdentity.mName;
  order.mFence = mLead.Fence();
  bool started = false;
  if (report && report->VersionOf(aModel) >= aVersion) {
    mNode.mReplicas.Learn(aReplica.mId, aModel, report->VersionOf(aModel));
  } else if (report && report->mBusy) {
    started = true;
  } else if (report && mLead.MayOrder()) {
    order.mExpected = report->mSequence;
    mNode.mReplicas.Pause(aReplica.mId, mNode.Now() + kFirstLook);
    const Result<OrderAnswer> answer = co_await mControl.Order(aReplica, order);
    LogOrder(aReplica, order,
             answer ? AnswerName(*answer) : answer.error().Detail().c_str());
    mNode.mMetrics.Count("orders_total");
    started = !answer || *answer == OrderAnswer::Started;
    if (answer && *answer == OrderAnswer::AlreadyDone) {
      mNode.mReplicas.Learn(aReplica.mId, aModel, aVersion);
    }
  }
  if (started) {
    co_await AwaitLoaded(aReplica, aModel, aVersion);
  } else {
    co_await Sleep(mNode.mIo, kRetryPause);
  }
  mLoading.erase(aReplica.mId);
  if (mOnLoaded) {
    mOnLoaded();
  }
}

asio::awaitable<bool> WeightOrders::AwaitLoaded(Replica aReplica,
                                                std::string aModel,
                                                int64_t aVersion) {
  const Millis begun = mNode.Now();
  co_await Sleep(mNode.mIo, kFirstLook);
  while (mNode.Now() < begun + kLoadLimit && !mNode.mStopping) {
    const Result<ReplicaReport> report = co_await mControl.Report(aReplica);
    const int64_t version = report ? report->VersionOf(aModel) : 0;
    if (report && !report->mBusy) {
      mNode.mReplicas.Learn(aReplica.mId, aModel, version);
      mNode.mReplicas.Resume(aReplica.mId);
      Event("load-ended")
          .Text("replica", aReplica.mId)
          .Text("model", aModel)
          .Number("version", version)
          .Number("wanted", aVersion)
          .Number("took_ms", (mNode.Now() - begun).Count())
          .Write();
      co_return version >= aVersion;
    }
    mNode.mReplicas.Pause(aReplica.mId, mNode.Now() + kLookEvery);
    co_await Sleep(mNode.mIo, kLookEvery);
  }
  co_return false;
}

}  // namespace rillwall
