/// \file
/// Decides which replica loads which model weights next.
///
/// The replicas of one service may serve several models, each with its own
/// weights. A load takes about a second and ends the runs of that model on the
/// replica, and only a few loads may run at the same time. Most steps also
/// accept weights that are some versions behind the newest, so that one load
/// serves several steps. The plan therefore rotates: each new version goes to
/// replicas whose weights of that model are too old to be usable and which
/// therefore run nothing of it, while replicas with the previous version
/// continue to serve.
///
/// A version is loaded onto as many replicas as its steps need, independent of
/// how many replicas there are. With R replicas, a plan costs R times the
/// number of models for each load that it starts.
///
/// Steps that are due may need a version on more replicas than have it. Their
/// models are next, the one with the least slack first.
///
/// Pure: no state, no I/O and no clock.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rillwall/replica_pool.h"

namespace rillwall {

/// What an open step requires of the weights of its model.
struct VersionNeed {
  std::string mModel;
  int64_t mMinVersion = 0;  ///< oldest version that the step accepts
  int64_t mReplicas = 0;    ///< replicas with it that complete the step in time
  Millis mSlack;            ///< least slack of its groups
};

/// A model for which a trainer has named a version.
struct LoadTarget {
  std::string mModel;
  int64_t mVersion = 0;  ///< newest version that was named
  /// Work of its recent steps; any unit, the same for all models.
  double mDemand = 0;
  bool mAbortRuns = true;   ///< a load may end running streams
  int64_t mAllowedLag = 1;  ///< versions that usable weights may be behind
  /// Texts of a step that run concurrently; 0: unknown.
  int64_t mTexts = 0;
};

/// \param aSlots texts that a replica runs concurrently
/// \return replicas that a version needs: enough for twice the texts of a step
size_t ReplicasFor(const LoadTarget& aTarget, int64_t aSlots);

/// Learns from the steps of a model how many versions its weights may be
/// behind.
class AllowedLag {
 public:
  /// \param aNamed newest named version when the step arrived
  /// \param aMinVersion oldest version that the step accepts
  void Observe(int64_t aNamed, int64_t aMinVersion);
  /// \return versions that weights may be behind the newest
  int64_t Versions() const;

 private:
  std::deque<int64_t> mRecent;  ///< lags of the most recent steps
};

/// State of one replica, as the input of a plan.
struct LoadCandidate {
  std::string mId;
  std::vector<ModelVersion> mVersions;
  /// Running requests of this node, by model.
  std::map<std::string, int64_t> mRuns;
  int64_t mInFlight = 0;  ///< requests of all kinds
  int64_t mSlots = 0;
  double mPace = 1;  ///< time per event relative to the median of the service
  std::optional<ModelVersion> mLoading;
  bool mDraining = false;
  bool mFailing = false;  ///< it recently failed to answer

  /// \return the version that the replica serves, or will serve after its
  /// current load
  int64_t VersionOf(const std::string& aModel) const;
  int64_t RunsOf(const std::string& aModel) const;
};

/// A load that should start now.
struct PlannedLoad {
  std::string mReplica;
  std::string mModel;
  int64_t mVersion = 0;
  bool mAbortRuns = true;
  bool mByDueTime = false;  ///< a step would be late without it
  bool operator==(const PlannedLoad&) const = default;
};

/// \param aReplicas all replicas of one service
/// \param aTargets models of the service that have a named version
/// \param aMaxConcurrent loads that may run at the same time, including those
/// in progress
/// \param aNeeds what open steps require of the weights
/// \return the loads to start now, most urgent first
std::vector<PlannedLoad> PlanLoads(std::vector<LoadCandidate> aReplicas,
                                   const std::vector<LoadTarget>& aTargets,
                                   size_t aMaxConcurrent,
                                   const std::vector<VersionNeed>& aNeeds);
/// The same without such requirements.
std::vector<PlannedLoad> PlanLoads(std::vector<LoadCandidate> aReplicas,
                                   const std::vector<LoadTarget>& aTargets,
                                   size_t aMaxConcurrent);

}  // namespace rillwall
