/// \file
/// Loads the version that a model's trainer named on the replicas of the model.
///
/// Only the holder of the lead claim gives orders. An order names the sequence
/// number that the replica reported. A replica therefore refuses an order that
/// arrives late, after a newer one. The effect of an order without an answer is
/// read back from the replica's report.

#pragma once

#include <map>
#include <string>

#include "rillwall/lead_claim.h"
#include "rillwall/load_plan.h"
#include "rillwall/node_context.h"
#include "rillwall/rollout.h"

namespace rillwall {

/// The state that a replica reports.
struct ReplicaReport {
  std::vector<ModelVersion> mModels;
  bool mBusy = false;     ///< an order is being carried out
  int64_t mSequence = 0;  ///< orders accepted since the replica started

  /// \return the version of a model that the replica serves
  int64_t VersionOf(std::string_view aModel) const;
};

/// An order to load a weight version.
struct VersionOrder {
  std::string mModel;
  int64_t mVersion = 0;
  /// End the running streams; otherwise they finish first.
  bool mAbortRuns = false;
  std::string mHolder;
  int64_t mFence = 0;
  int64_t mExpected = 0;  ///< the replica's sequence number before this order
};

/// A replica's answer to an order.
enum class OrderOutcome { Started, AlreadyDone, Conflict, Fenced, Rejected };

/// The control interface of replicas. Each platform has one implementation.
class ReplicaControl {
 public:
  virtual ~ReplicaControl() = default;
  virtual asio::awaitable<Result<ReplicaReport>> Report(Replica aReplica) = 0;
  virtual asio::awaitable<Result<OrderOutcome>> Order(Replica aReplica,
                                                      VersionOrder aOrder) = 0;
};

/// Plans and sends the orders that bring replicas to their target versions.
class WeightOrders {
 public:
  WeightOrders(NodeContext& aNode, LeadClaim& aLead, ReplicaControl& aControl);

  /// Sets the version that a trainer named as a model's target. Versions older
  /// than the known target are ignored.
  void SetTargetVersion(const std::string& aModel, int64_t aVersion);
  /// \return the target version of a model, 0 if none was named
  int64_t TargetVersion(const std::string& aModel) const;
  /// Adds a step's work to its model's demand.
  /// \param aWork tokens that the step is expected to generate
  void Observe(const RolloutSpec& aSpec, double aWork);
  /// \return by service, the number of replicas that the target versions need,
  /// and a quarter more to choose from
  std::map<std::string, size_t> WantedReplicas() const;
  /// Gives orders until the node stops.
  asio::awaitable<void> Run();
  /// Returns what the open steps require of the weights; may be empty.
  std::function<std::vector<VersionNeed>()> mNeeds;
  /// Called when a replica serves a new version.
  std::function<void()> mOnLoaded;

 private:
  /// Starts the loads of a service that its plan selects.
  void StartLoads(const ServiceSpec& aService);
  /// \return the load targets of a service's models that have a target version
  std::vector<LoadTarget> TargetsOf(const ServiceSpec& aService) const;
  /// \return how many of these replicas load weights by an order of this node
  size_t LoadingCount(const std::vector<const Replica*>& aReplicas) const;
  /// \return the smoothed demand of a model, in expected tokens for each step
  double DemandOf(const std::string& aModel) const;
  /// \return whether runs of the model must finish under the version that they
  /// began with
  bool MustFinishRuns(const std::string& aModel) const;
  /// Leaves a replica out of the next plans. Only a few replicas load at a
  /// time, so one that cannot be reached would keep the others from it.
  void Defer(const std::string& aReplica, const std::string& aWhy);
  /// \return whether a replica is left out of plans now
  bool Deferred(const std::string& aReplica, Millis aNow) const;
  /// Orders one load and waits for its end.
  asio::awaitable<void> Load(Replica aReplica, PlannedLoad aPick);
  /// Polls a replica until its load ends.
  /// \return whether the replica answered
  asio::awaitable<bool> AwaitLoaded(Replica aReplica, std::string aModel,
                                    int64_t aVersion);

  NodeContext& mNode;
  LeadClaim& mLead;
  ReplicaControl& mControl;
  std::map<std::string, int64_t> mTargetVersions;
  std::map<std::string, double> mDemand;
  std::map<std::string, AllowedLag> mLags;  ///< by model
  /// By service: until when no plan is made, as the last one ordered nothing
  /// and nothing has changed since.
  std::map<std::string, Millis> mPlanPausedUntil;
  /// Most texts of one step, by model.
  std::map<std::string, int64_t> mMaxTexts;
  std::map<std::string, ModelVersion> mLoading;  ///< by replica id

  /// Loads in a row that a replica did not answer for.
  struct Unanswered {
    int mLoads = 0;
    Millis mUntil;  ///< it is left out of plans until then
  };
  std::map<std::string, Unanswered> mUnanswered;  ///< by replica id
};

}  // namespace rillwall
