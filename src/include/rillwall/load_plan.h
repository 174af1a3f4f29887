/// \file
/// Which replica loads which weights next.
///
/// Replicas of one service may serve several models, each with weights of its
/// own. A load takes about a second and ends the runs of its model there; only
/// few may go on at once. A step mostly takes weights of some versions before
/// the newest too, so a load serves several steps. The plan therefore rotates:
/// each version goes to replicas whose weights of that model are of no use any
/// more, which run nothing of it, while those with a version before go on
/// serving.
///
/// A version is loaded by as many replicas as its steps need, however many
/// there are. A plan costs R times models for each load that it orders.
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

/// A model whose trainer has named a version.
struct LoadTarget {
  std::string mModel;
  int64_t mVersion = 0;     ///< the newest that was named
  double mDemand = 0;       ///< work of its recent steps, in any one unit
  bool mAbortRuns = true;   ///< a load may end running streams
  int64_t mAllowedLag = 1;  ///< versions by which usable weights may be behind
  /// Texts of a step that run side by side; 0: unknown.
  int64_t mTexts = 0;
};

/// \param aSlots texts that a replica runs at once
/// \return replicas that a version needs: twice the room for all texts of a
/// step
size_t ReplicasFor(const LoadTarget& aTarget, int64_t aSlots);

/// What the steps of one model allow, learnt from those that came.
class AllowedLag {
 public:
  /// \param aNamed newest version when the step came
  /// \param aMinVersion oldest that it takes
  void Observe(int64_t aNamed, int64_t aMinVersion);
  /// \return versions by which weights may be behind the newest
  int64_t Versions() const;

 private:
  std::deque<int64_t> mRecent;  ///< of the last steps
};

/// One replica as the plan sees it.
struct LoadCandidate {
  std::string mId;
  std::vector<ModelVersion> mVersions;
  std::map<std::string, int64_t> mRuns;  ///< by model, those of this node
  int64_t mInFlight = 0;                 ///< requests of all kinds
  int64_t mSlots = 0;
  double mPace = 1;  ///< ms an event against the service's median
  std::optional<ModelVersion> mLoading;
  bool mDraining = false;
  bool mFailing = false;  ///< it gave no answer lately

  /// \return the version that it serves, or will once its load has ended
  int64_t VersionOf(const std::string& aModel) const;
  int64_t RunsOf(const std::string& aModel) const;
};

/// A load to be ordered now.
struct PlannedLoad {
  std::string mReplica;
  std::string mModel;
  int64_t mVersion = 0;
  bool mAbortRuns = true;
  bool operator==(const PlannedLoad&) const = default;
};

/// \param aReplicas all replicas of one service
/// \param aTargets its models with a named version
/// \param aAtOnce loads that may go on at the same time
/// \return the loads to start now, the most urgent first
std::vector<PlannedLoad> PlanLoads(std::vector<LoadCandidate> aReplicas,
                                   const std::vector<LoadTarget>& aTargets,
                                   size_t aAtOnce);

}  // namespace rillwall
