/// \file
/// Moves the replicas of a model to the version that its trainer named.
///
/// Only the holder of the lead claim gives orders. An order names the sequence
/// number that the replica reported, so that one carried out late, after a
/// newer one, is refused by the replica. What an unanswered order did is read
/// back from the replica's report.

#pragma once

#include <map>
#include <string>

#include "rillwall/lead_claim.h"
#include "rillwall/load_plan.h"
#include "rillwall/node_context.h"
#include "rillwall/rollout.h"

namespace rillwall {

/// What a replica says of itself.
struct ReplicaReport {
  std::vector<ModelVersion> mModels;
  bool mBusy = false;     ///< an order is being carried out
  int64_t mSequence = 0;  ///< orders accepted since its start

  int64_t VersionOf(std::string_view aModel) const;
};

/// An order to load a weight version.
struct VersionOrder {
  std::string mModel;
  int64_t mVersion = 0;
  bool mAbortRuns = false;  ///< end the running streams; else they finish first
  std::string mHolder;
  int64_t mFence = 0;
  int64_t mExpected = 0;  ///< the replica's sequence number before this order
};

/// How a replica took an order.
enum class OrderOutcome { Started, AlreadyDone, Conflict, Fenced, Rejected };

/// The control interface of replicas; one implementation for each platform.
class ReplicaControl {
 public:
  virtual ~ReplicaControl() = default;
  virtual asio::awaitable<Result<ReplicaReport>> Report(Replica aReplica) = 0;
  virtual asio::awaitable<Result<OrderOutcome>> Order(Replica aReplica,
                                                      VersionOrder aOrder) = 0;
};

class WeightOrders {
 public:
  WeightOrders(NodeContext& aNode, LeadClaim& aLead, ReplicaControl& aControl);

  /// A trainer named a version; older ones than known are ignored.
  void SetTargetVersion(const std::string& aModel, int64_t aVersion);
  /// \return the newest named version of a model, 0 if none was named
  int64_t TargetVersion(const std::string& aModel) const;
  /// Takes a step in: its work adds to its model's demand.
  void Observe(const RolloutSpec& aSpec, double aWork);
  /// \return replicas that the named versions need, by service, and a quarter
  /// more to choose from
  std::map<std::string, size_t> WantedReplicas() const;
  /// Gives orders until the node stops.
  asio::awaitable<void> Run();
  /// Called when a replica serves a new version.
  std::function<void()> mOnLoaded;

 private:
  void StartLoads(const ServiceSpec& aService);
  /// \return the models of a service that have a named version
  std::vector<LoadTarget> TargetsOf(const ServiceSpec& aService) const;
  /// \return how many of these load weights by an order of this node
  size_t LoadingOf(const std::vector<const Replica*>& aReplicas) const;
  double DemandOf(const std::string& aModel) const;
  /// \return whether runs of the model must finish under their version
  bool KeepsRuns(const std::string& aModel) const;
  asio::awaitable<void> Load(Replica aReplica, PlannedLoad aPick);
  asio::awaitable<bool> AwaitLoaded(Replica aReplica, std::string aModel,
                                    int64_t aVersion);

  NodeContext& mNode;
  LeadClaim& mLead;
  ReplicaControl& mControl;
  std::map<std::string, int64_t> mNamed;
  std::map<std::string, double> mDemand;
  std::map<std::string, AllowedLag> mLags;  ///< by model
  /// By service: a plan has just ordered nothing, and nothing has happened.
  std::map<std::string, Millis> mQuietUntil;
  std::map<std::string, int64_t> mTexts;  ///< of a step, the most, by model
  std::map<std::string, ModelVersion> mLoading;  ///< by id of the replica
};

}  // namespace rillwall
