/// \file
/// The replicas of all services as this node knows them, and the choice of one
/// for a request.
///
/// Pure: the instant is an argument. Entries come from the registry in whole
/// snapshots; what this node saw itself (requests in flight, failures, speed)
/// is kept beside them. Used on one thread.
///
/// What a call costs, with R replicas of the service in question and F of them
/// with a free slot: a choice among free slots takes the first that suits,
/// which is one of the cheapest few of F; a choice for a plain request looks at
/// R; paces are lookups. The median pace and the order by cost are worked out
/// anew in R log R, at most once in kRankAge. Owners ask thousands of times a
/// second whether there is room while all slots are taken.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/cold_share.h"
#include "rillwall/home_regions.h"
#include "rillwall/millis.h"
#include "rillwall/replica_demand.h"
#include "rillwall/replica_pace.h"

namespace rillwall {

/// The weight version of one model on a replica.
struct ModelVersion {
  std::string mModel;
  int64_t mVersion = 0;
  bool operator==(const ModelVersion&) const = default;
};

/// One replica as the registry lists it.
struct Replica {
  std::string mId;  ///< a restarted replica may keep it; see mStartedAtMs
  std::string mService;
  std::string mAddress;      ///< ip:port
  std::string mZone;         ///< availability zone
  int64_t mSlots = 1;        ///< requests that it runs at once
  int64_t mStartedAtMs = 0;  ///< its start, in ms since 1970; 0: not told
  bool mDraining = false;
  std::vector<ModelVersion> mModels;
  bool mCold = false;  ///< it takes few requests a second for now

  /// \return the version of a model, 0 if it does not serve it
  int64_t VersionOf(std::string_view aModel) const;
  bool operator==(const Replica&) const = default;
};

/// How one request at a replica ended.
enum class ReplicaOutcome {
  Served,       ///< a whole answer, whatever its status
  Refused,      ///< said that it did not run the request
  Failed,       ///< closed, reset or spoiled the answer
  Unreachable,  ///< no connection could be made in time
  Abandoned,    ///< this node ended it; says nothing of the replica
};

/// What a request asks of its replica.
struct ReplicaRequirements {
  std::string mService;
  std::string mZone;                   ///< availability zone of this node
  std::vector<std::string> mExcluded;  ///< ids that were tried already
  std::string mModel;                  ///< empty: any
  int64_t mMinVersion = 0;             ///< oldest weights that may serve it
  bool mNeedsFreeSlot = false;         ///< only a replica with a free slot
  AllowedRegions mRegions;             ///< only a replica in one of these
};

/// What the registry's newest snapshot changed.
struct ReplicaChanges {
  std::vector<std::string> mAdded;
  std::vector<std::string> mRestarted;  ///< under the id that they had
  std::vector<std::string> mDraining;
  std::vector<std::string> mGone;
};

class ReplicaPool {
 public:
  /// Takes in a whole snapshot of the registry. Of a replica that has started
  /// again under its id everything is forgotten but the requests that this node
  /// still has there; an entry of an earlier start changes nothing.
  /// \param aKeepMissing keep entries that are missing for now, since the
  /// registry has just come back and live replicas register again
  ReplicaChanges Update(const std::vector<Replica>& aReplicas,
                        bool aKeepMissing);

  /// The region of each availability zone.
  void SetRegions(RegionMap aRegions) { mRegions = std::move(aRegions); }
  const RegionMap& Regions() const { return mRegions; }
  /// Zones whose replicas get nothing new until they are named no more.
  /// \return whether that changes anything
  bool Evacuate(std::set<std::string> aZones);
  bool Evacuated(const std::string& aZone) const {
    return mEvacuated.contains(aZone);
  }
  const std::set<std::string>& EvacuatedZones() const { return mEvacuated; }
  /// Hosts begin with different ones among replicas that are alike.
  /// \param aFirst any number; not alike on all hosts
  void SetTieBreakOffset(size_t aFirst) { mFirst = aFirst; }
  /// This host's part of what cold replicas take.
  ColdShare& Cold() { return mCold; }
  /// \param aServices with the rates of their cold replicas
  void SetServices(const std::vector<ServiceSpec>& aServices);

  /// \return the id of the replica to send to, or nothing if none may take it
  std::optional<std::string> Choose(const ReplicaRequirements& aWish,
                                    Millis aNow) const;
  /// Counts a request that is about to be sent.
  /// \param aModel whose weights serve it; empty: any
  void Start(const std::string& aId, const std::string& aModel = {});
  /// A request is sent now; a cold replica gets so many a second only.
  void Sent(const std::string& aId, Millis aNow);
  /// \param aLatency of a served request, to its answer's head; else 0
  /// \param aModel as it was at its start
  void End(const std::string& aId, ReplicaOutcome aOutcome, Millis aLatency,
           Millis aNow, const std::string& aModel = {});
  /// The replica takes no new request of this node until then.
  void Pause(const std::string& aId, Millis aUntil);
  /// The same for requests of one model only, as while its weights load.
  void PauseModel(const std::string& aId, const std::string& aModel,
                  Millis aUntil);
  /// The replica takes requests again, whatever happened before.
  void Resume(const std::string& aId);
  /// A replica told how many requests it runs and queues, those of this node
  /// among them.
  void ObserveLoad(const std::string& aId, int64_t aRequests, Millis aNow);
  /// Measures the time between two events of a stream, in ms.
  void ObservePace(const std::string& aId, double aMsPerEvent, Millis aNow);
  /// \param aMore texts that are to be added there
  /// \return ms an event of a text at the replica, 0 if unknown
  double PaceAt(const std::string& aId, int64_t aMore, Millis aNow) const;
  /// An answer or an order told the version that a replica serves now.
  void UpdateVersion(const std::string& aId, const std::string& aModel,
                     int64_t aVersion);

  /// \return the entry, or null if it is not (or no longer) listed
  const Replica* Find(const std::string& aId) const;
  int64_t InFlight(const std::string& aId) const;
  /// \return this node's requests there by model, those without one left out
  std::map<std::string, int64_t> RunsByModel(const std::string& aId) const;
  /// \return its pace against the median of its service; 1 if unknown
  double RelativePace(const std::string& aId, Millis aNow) const;
  /// \return whether its last request failed a moment ago
  bool Failing(const std::string& aId, Millis aNow) const;
  std::vector<const Replica*> OfService(std::string_view aService) const;
  /// \return all entries, as listed or with what was learned since
  std::vector<Replica> All() const;
  /// \return how far the replicas are used, by service
  std::map<std::string, ServiceUse> Use(Millis aNow) const;
  bool Empty() const { return mStates.empty(); }
  size_t Size() const { return mStates.size(); }

 private:
  struct Service;
  struct State {
    Replica mReplica;
    Service* mService = nullptr;
    size_t mIndex = 0;  ///< among the replicas of its service
    int64_t mInFlight = 0;
    std::map<std::string, int64_t> mRuns;  ///< of these, by model
    int mFailures = 0;                     ///< in a row
    Millis mPausedUntil;
    std::map<std::string, Millis> mModelPauses;
    double mLatency = 0;          ///< smoothed, in ms; 0: none measured
    ReplicaPace mPace;            ///< of streams
    int64_t mOthers = 0;          ///< requests there that other nodes sent
    Millis mOthersAt;             ///< when it told so
    double mRankedPace = 0;       ///< when it was ranked
    std::optional<double> mRank;  ///< its cost, if it is among the free ones
    SendWindow mColdSends;        ///< while it is cold
  };
  /// One entry of the order by cost.
  struct Rank {
    double mCost = 0;
    State* mState = nullptr;
    bool operator<(const Rank& aOther) const;
  };
  /// What is kept up to date about the replicas of one service.
  struct Service {
    std::vector<State*> mStates;  ///< in the order of their ids
    std::set<Rank> mFree;         ///< those with a free slot, cheapest first
    /// Availability zone of who asks for texts; a node asks for its own only.
    std::string mZone;
    double mTypicalPace = 0;  ///< the median, in ms an event; 0: unknown
    Millis mRankedAt;
    bool mOutdated = true;  ///< ranks are to be worked out before the next use
  };
  /// \return requests at the replica, as far as this node knows
  static int64_t LoadOf(const State& aState, Millis aNow);
  /// \return how loaded and slow it is, for the comparison; lower is better
  static double Cost(const State& aState, const ReplicaRequirements& aWish,
                     Millis aNow);
  /// The same for a text, in parts of the typical time that an event takes.
  static double TextCost(const State& aState, Millis aNow);
  /// Puts a replica where it belongs in the order of its service.
  static void PutInOrder(State& aState, Millis aNow);
  /// Works out paces and order of a service anew, if they may be out of date.
  static void BringUpToDate(Service& aService, Millis aNow);
  static double MedianPace(const Service& aService, Millis aNow);
  /// \return the service of a state, up to date
  static const Service& Current(const State& aState, Millis aNow);
  std::optional<std::string> ChooseFree(const ReplicaRequirements& aWish,
                                        Millis aNow) const;
  std::optional<std::string> ChooseAny(const ReplicaRequirements& aWish,
                                       Millis aNow) const;
  void IndexServices();
  /// Takes in what the registry says of a replica that is known.
  static void Renew(State& aState, const Replica& aReplica);
  /// Forgets what its process before this one was like.
  static void Restart(State& aState, const Replica& aReplica);
  State* Lookup(const std::string& aId);
  static bool Paused(const State& aState, const ReplicaRequirements& aWish,
                     Millis aNow);
  bool Suits(const State& aState, const ReplicaRequirements& aWish,
             Millis aNow) const;
  /// \return requests that this host may send to a cold replica in a second
  int64_t ColdLimit(const State& aState) const;

  std::map<std::string, State> mStates;
  /// By name. Nodes of the map, which states refer to, stay where they are. Not
  /// const to a choice, as that may have to bring the order up to date.
  mutable std::map<std::string, Service, std::less<>> mServices;
  size_t mFirst = 0;  ///< place of the first replica that is looked at
  RegionMap mRegions;
  std::set<std::string> mEvacuated;
  ColdShare mCold;
  std::map<std::string, double> mColdRates;  ///< by service
};

}  // namespace rillwall
