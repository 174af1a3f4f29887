/// \file
/// Which replica loads which weights next.
///
/// Replicas of one service may serve several models, each with weights of its
/// own. A load takes about a second, only few may go on at once, and a step
/// takes weights of the newest version or the one before. So each replica is
/// assigned to one model and loads only that model's weights, in shares that
/// follow the models' demand: the fewest loads that keep every model served.
/// Pure: no I/O and no clock.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rillwall/replica_pool.h"

namespace rillwall {

/// A model whose trainer has named a version.
struct LoadTarget {
  std::string mModel;
  int64_t mVersion = 0;  ///< the newest that was named
  double mDemand = 0;    ///< work of its recent steps, in any one unit
  bool mCutRuns = true;  ///< a load may end running streams
};

/// One replica as the plan sees it.
struct LoadCandidate {
  std::string mId;
  std::vector<ModelVersion> mVersions;
  int64_t mInFlight = 0;
  int64_t mSlots = 0;
  bool mLoading = false;
  bool mDraining = false;

  int64_t VersionOf(const std::string& aModel) const;
};

/// A load to be ordered now.
struct LoadPick {
  std::string mReplica;
  std::string mModel;
  int64_t mVersion = 0;
  bool mCutRuns = true;
  bool operator==(const LoadPick&) const = default;
};

class LoadPlan {
 public:
  /// \param aReplicas all replicas of one service
  /// \param aTargets its models with a named version
  /// \param aAtOnce loads that may go on at the same time
  /// \return the loads to start now, the most urgent first
  std::vector<LoadPick> Next(const std::vector<LoadCandidate>& aReplicas,
                             const std::vector<LoadTarget>& aTargets,
                             size_t aAtOnce);
  /// \return the model that a replica is assigned to, empty if to none
  std::string AssignedTo(const std::string& aReplica) const;

 private:
  struct Due;
  void Assign(const std::vector<LoadCandidate>& aReplicas,
              const std::vector<LoadTarget>& aTargets);
  void Rebalance(const std::vector<LoadCandidate>& aReplicas,
                 const std::map<std::string, double>& aShares);

  std::map<std::string, std::string> mAssigned;  ///< replica to model
};

}  // namespace rillwall
