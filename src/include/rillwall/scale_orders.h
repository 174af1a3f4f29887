/// \file
/// Orders replicas from the platform, as a duty of the lead.
///
/// The lead plans five times a second (scale_plan.h). Before it gives new
/// orders, it writes the counts of all groups to the store under its claim; the
/// next lead continues from them. An order that was not answered may have taken
/// effect, so it is repeated unchanged until the platform answers it. An order
/// that the platform refuses for lack of replicas is dropped, and the plan
/// takes other replicas.

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rillwall/backoff.h"
#include "rillwall/lead_claim.h"
#include "rillwall/scale_plan.h"
#include "rillwall/scale_record.h"
#include "rillwall/usage_reporter.h"

namespace rillwall {

/// The platform's answer to an order.
struct ScaleAnswer {
  enum class Kind {
    Accepted,
    NoneAvailable,  ///< there are none at the moment; nothing was changed
    TryLater,       ///< nothing was changed
    Unknown,        ///< the order may have taken effect
  };
  Kind mKind = Kind::Unknown;
  std::string mWhy;  ///< empty if accepted
};

/// The platform's interface for orders of replicas. Each host makes its calls
/// itself, never through another host.
class ScalePort {
 public:
  virtual ~ScalePort() = default;
  virtual asio::awaitable<ScaleAnswer> Order(ScaleOrder aOrder,
                                             FencingToken aClaim) = 0;
};

/// Plans and gives the orders while this node leads.
class ScaleOrders {
 public:
  ScaleOrders(NodeContext& aNode, LeadClaim& aLead, ScalePort& aPort);

  /// Returns what the open steps need of a service.
  std::function<std::vector<StepDemand>(const std::string& aService)> mDemand;
  /// Returns all registered replicas; empty while the registry is not known.
  std::function<std::vector<Replica>()> mRegistered;

  /// \param aActive whether the settings name the duty
  void SetActive(bool aActive) { mActive = aActive; }
  /// Records the demand at once, since a submission is where its peak is.
  void OnStep();
  /// Orders replicas while this node leads. Runs until the node stops.
  asio::awaitable<void> Run();
  /// Path of the state of a service's orders.
  static constexpr char kPath[] = "/node/scale";
  /// \return the answer to GET /node/scale?service=NAME
  HttpResponse HandleRequest(const HttpRequest& aRequest) const;

 private:
  /// An order that the platform has not answered for good.
  struct OpenOrder {
    ScaleOrder mOrder;
    int64_t mBefore = 0;    ///< count that was in force before
    bool mUnknown = false;  ///< an answer was lost: it may have taken effect
    int mTries = 0;
    Millis mNextTry;
  };
  /// State of a service with scaling.
  struct Service {
    explicit Service(const std::string& aName, const ScalingSpec& aSpec)
        : mName(aName), mPlanner(aName, aSpec) {}
    std::string mName;
    ScalePlanner mPlanner;
    std::map<ReplicaGroup, OpenOrder> mOpen;
    /// Groups that stay vacated after a reduction, until the registry shows
    /// which replicas leave.
    std::map<ReplicaGroup, Millis> mVacatedUntil;
    std::set<std::string> mNoticed;  ///< replicas whose notice was logged
    std::string mReason;             ///< of the last plan
  };
  using ServicePtr = std::shared_ptr<Service>;

  /// \return whether this node may order under the claim that it planned for
  bool MayOrder() const;
  asio::awaitable<void> Tick();
  /// Starts with the services' last orders, read from the store.
  /// \return the service, or null if it can't be planned yet
  asio::awaitable<ServicePtr> Recover(const ServiceSpec& aSpec);
  /// \return the replicas of a service that have an entry
  std::vector<Replica> RegisteredOf(const std::string& aService) const;
  std::vector<ScaleReplica> StatesOf(
      const std::vector<Replica>& aReplicas) const;
  /// Logs a fault of a service's configuration once, and the end of it.
  void ReportFault(const std::string& aService, const std::string& aFault);
  void Observe(Service& aService) const;
  void LogNotices(Service& aService, const std::vector<Replica>& aReplicas);
  asio::awaitable<void> PlanService(ServicePtr aService,
                                    std::vector<Replica> aReplicas);
  /// Writes new orders to the store, after which they may be sent.
  asio::awaitable<void> Open(ServicePtr aService,
                             std::vector<ScaleOrder> aOrders);
  /// Sends the open orders that are due.
  asio::awaitable<void> Send(ServicePtr aService);
  /// \return whether a reduction would end a replica that has work again
  bool WouldEndWork(const OpenOrder& aOpen) const;
  void Apply(Service& aService, const ReplicaGroup& aGroup,
             const ScaleAnswer& aAnswer);
  void UpdateVacated(Service& aService, const std::set<ReplicaGroup>& aPlanned);
  void SetMetrics() const;

  NodeContext& mNode;
  LeadClaim& mLead;
  ScalePort& mPort;
  Jitter mJitter{0};
  bool mActive = false;
  int64_t mFence = 0;  ///< of the claim that mServices were read under
  std::map<std::string, ServicePtr> mServices;
  std::map<std::string, std::string> mFaults;  ///< logged, by service
  std::map<std::string, std::set<std::string>> mVacated;  ///< ids, by service
  bool mWriteFailed = false;
};

}  // namespace rillwall
