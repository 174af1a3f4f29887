/// \file
/// The replicas of all services as this node knows them, and the choice of a
/// replica for a request.
///
/// Pure: the current time is an argument. Entries come from the registry in
/// complete snapshots; what this node observed itself (requests in flight,
/// failures, speed) is stored beside them. Not thread-safe: use it on one
/// thread.
///
/// Costs, with R replicas of the service and F of them with a free slot:
/// Choose() with mNeedsFreeSlot takes the first eligible replica in order of
/// cost, one of the cheapest few of F. For a plain request it checks all R
/// replicas. Paces are lookups. The median pace and the order by cost are
/// recomputed in O(R log R), at most once per kRankMaxAge, because owners ask
/// for a free slot thousands of times a second while all slots are taken.

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
#include "rillwall/replica_load.h"
#include "rillwall/replica_pace.h"

namespace rillwall {

/// Weight version of one model on a replica.
struct ModelVersion {
  std::string mModel;
  int64_t mVersion = 0;
  bool operator==(const ModelVersion&) const = default;
};

/// One replica as listed in the registry.
struct Replica {
  std::string mId;  ///< a restarted replica may keep it; see mStartedAtMs
  std::string mService;
  std::string mAddress;      ///< ip:port
  std::string mZone;         ///< availability zone
  int64_t mSlots = 1;        ///< requests that it runs concurrently
  int64_t mStartedAtMs = 0;  ///< start time in ms since 1970; 0: unknown
  bool mDraining = false;
  std::vector<ModelVersion> mModels;
  bool mCold = false;  ///< it currently accepts only few requests a second
  bool mSpot = false;  ///< the platform may take it away after a notice
  /// Time until it leaves, from its termination notice; 0: no notice.
  Millis mLeavesIn;
  /// Its entry was missing in the first list that a reader had after it had not
  /// reached the store for a while. Nodes that know the replica keep it for
  /// now, as its lease may have lapsed in an outage. Others do not add it: they
  /// may have learnt meanwhile that it left.
  bool mLapsed = false;

  /// \return the version of a model, 0 if the replica does not serve it
  int64_t VersionOf(std::string_view aModel) const;
  bool operator==(const Replica&) const = default;
};

/// One reading of the registry, from which a list of replicas comes.
struct Listing {
  int64_t mRevision = 0;  ///< of the store; 0: no list was read yet
  Millis mReadAt;         ///< when the store was asked, by this host's clock
  bool operator==(const Listing&) const = default;
};

/// Outcome of one request at a replica.
enum class ReplicaOutcome {
  Served,       ///< a complete response, whatever its status
  Refused,      ///< the replica reported that it did not run the request
  Failed,       ///< the replica closed, reset or corrupted the response
  Unreachable,  ///< no connection was established in time
  Abandoned,    ///< canceled by this node; says nothing about the replica
};

/// Requirements of a request on its replica.
struct ReplicaRequirements {
  std::string mService;
  std::string mZone;  ///< availability zone of this node
  /// Ids of replicas that were already tried.
  std::vector<std::string> mExcluded;
  std::string mModel;           ///< empty: any
  int64_t mMinVersion = 0;      ///< oldest weight version that may serve it
  bool mNeedsFreeSlot = false;  ///< only a replica with a free slot
  /// Replicas that have answered this host before are preferred.
  bool mPrefersKnown = false;
  AllowedRegions mRegions;  ///< only a replica in one of these regions
  std::string mRoute;       ///< route of a plain request; empty: not known
  /// Sorted ids of replicas to which this host has an idle connection. Used
  /// only for services that are placed by current load.
  std::vector<std::string> mConnected;
};

/// Current load of one eligible replica, for probes and for operators.
struct ReplicaFigures {
  const Replica* mReplica = nullptr;
  std::optional<ReplicaLoad> mReport;
  std::optional<Millis> mAge;  ///< of mReport
  double mPercent = 0;
  int64_t mInFlight = 0;  ///< requests of this host
  ExpectedTime mExpected;
  bool mConnected = false;  ///< this host has an idle connection
  bool mPaused = false;     ///< avoided after failures or a failed health check
};

/// Changes made by the newest registry snapshot.
struct ReplicaChanges {
  std::vector<std::string> mAdded;
  /// With a known id and a new start time.
  std::vector<std::string> mRestarted;
  std::vector<std::string> mDraining;
  std::vector<std::string> mGone;
};

/// Known replicas, their load and speed, and the choice among them.
class ReplicaPool {
 public:
  /// Applies a complete snapshot of the registry. For a replica that restarted
  /// under its id, all state is reset except the requests that this node still
  /// has there. An entry of an earlier start is ignored. A lapsed entry changes
  /// nothing but Replica::mLapsed, and is not added.
  /// \param aKeepMissing keep entries that are missing for now, because the
  /// registry has just recovered and live replicas register again
  ReplicaChanges Update(const std::vector<Replica>& aReplicas,
                        bool aKeepMissing);

  /// Records which reading of the registry the replicas in use come from.
  void SetListing(const Listing& aListing) { mListing = aListing; }
  const Listing& LastListing() const { return mListing; }

  /// Sets the region of each availability zone.
  void SetRegions(RegionMap aRegions) { mRegions = std::move(aRegions); }
  const RegionMap& Regions() const { return mRegions; }
  /// Sets the availability zones whose replicas get no new requests.
  /// \return whether that changes anything
  bool Evacuate(std::set<std::string> aZones);
  bool Evacuated(const std::string& aZone) const {
    return mEvacuated.contains(aZone);
  }
  const std::set<std::string>& EvacuatedZones() const { return mEvacuated; }
  /// Sets where this host starts in the list of replicas, so that different
  /// hosts choose different replicas among equal ones.
  /// \param aOffset any number; should differ between hosts
  void SetTieBreakOffset(size_t aOffset) { mTieBreakOffset = aOffset; }
  /// This host's share of the rate of cold replicas.
  ColdShare& Cold() { return mCold; }
  /// \param aServices services with the rates of their cold replicas
  void SetServices(const std::vector<ServiceSpec>& aServices);

  /// \return id of the replica to send the request to, or nothing if there is
  /// none
  std::optional<std::string> Choose(const ReplicaRequirements& aRequirements,
                                    Millis aNow) const;
  /// Counts a request that is about to be sent.
  /// \param aModel model whose weights serve it; empty: any
  void Start(const std::string& aId, const std::string& aModel = {});
  /// Records that a request is sent now, for the rate limit of cold replicas.
  void Sent(const std::string& aId, Millis aNow);
  /// Records the end of a request.
  /// \param aLatency time until the response head, if the request was served;
  /// else 0
  /// \param aModel same value as passed to Start()
  void End(const std::string& aId, ReplicaOutcome aOutcome, Millis aLatency,
           Millis aNow, const std::string& aModel = {});
  /// Sends no new requests of this node to the replica until aUntil.
  void Pause(const std::string& aId, Millis aUntil);
  /// Like Pause(), for requests of one model only, e.g. while its weights load.
  void PauseModel(const std::string& aId, const std::string& aModel,
                  Millis aUntil);
  /// Ends all pauses of the replica and resets its failure count.
  void Resume(const std::string& aId);
  /// Records the load that a replica reported.
  /// \param aRequests requests that it runs and queues, including those of this
  /// node
  void ObserveLoad(const std::string& aId, int64_t aRequests, Millis aNow);
  /// Records a load report with all its figures.
  void ObserveLoad(const std::string& aId, const ReplicaLoad& aReport,
                   Millis aNow);
  /// Sets whether the settings call for admission control on all services whose
  /// replicas report their load.
  void SetAdmission(bool aRequired) { mAdmissionRequired = aRequired; }
  /// \return whether plain requests to the service are placed by the current
  /// load of its replicas: they report how long work takes at the moment, or
  /// they report their load and admission control is required
  bool UsesCurrentLoad(std::string_view aService) const;
  /// \return the expected response time of the replica that Choose() would
  /// select for a plain request; nothing if the service does not use the
  /// current load, or nothing recent enough is known
  std::optional<AnswerEstimate> EstimateAnswer(
      const ReplicaRequirements& aRequirements, Millis aNow) const;
  /// Drops the report of a replica whose newest one cannot be read.
  /// \return whether to log it: true once per replica and minute
  bool DropLoad(const std::string& aId, Millis aNow);
  /// Records the response to a plain request, for services that are placed by
  /// current load. Call it after the load of the response's header.
  /// \param aError the response was a server error
  void ObserveAnswer(const std::string& aId, const std::string& aRoute,
                     Millis aLatency, bool aError, Millis aNow);
  /// Records the answer to a probe of the health path.
  void ObserveProbe(const std::string& aId, bool aHealthy, Millis aRoundTrip,
                    Millis aNow);
  /// \return the eligible replicas for a plain request with their load, in the
  /// order in which equal ones are chosen
  std::vector<ReplicaFigures> Figures(const ReplicaRequirements& aRequirements,
                                      Millis aNow) const;
  /// Records the time between two events of a stream, in ms.
  void ObservePace(const std::string& aId, double aMsPerEvent, Millis aNow);
  /// \param aExtraTexts number of texts that would be added there
  /// \return ms per event of a text at the replica, 0 if unknown
  double PaceAt(const std::string& aId, int64_t aExtraTexts, Millis aNow) const;
  /// Records the version that a replica serves, as named by a response or an
  /// order.
  void UpdateVersion(const std::string& aId, const std::string& aModel,
                     int64_t aVersion);

  /// Notes at what instant replicas with a termination notice leave. To be
  /// called after Update().
  void RecordNotices(Millis aNow);
  /// \return when the replica leaves by its termination notice, if it has one
  std::optional<Millis> LeavesAt(const std::string& aId) const;
  /// Sets the replicas that get a text only if no other has a free slot,
  /// because they are to be removed once they are idle.
  void SetVacated(std::set<std::string> aIds);
  /// \return requests at the replica, of this node and, as far as known, others
  int64_t LoadAt(const std::string& aId, Millis aNow) const;

  /// \return the entry, or null if it is not listed
  const Replica* Find(const std::string& aId) const;
  int64_t InFlight(const std::string& aId) const;
  /// \return this node's requests at the replica by model, without requests
  /// that have no model
  std::map<std::string, int64_t> RunsByModel(const std::string& aId) const;
  /// \return pace of the replica relative to the median of its service; 1 if
  /// unknown
  double RelativePace(const std::string& aId, Millis aNow) const;
  /// \return whether its last request failed and the resulting pause is not
  /// over
  bool Failing(const std::string& aId, Millis aNow) const;
  /// \return whether no connection could be made to it for the last request,
  /// and the resulting pause is not over
  bool Unreachable(const std::string& aId, Millis aNow) const;
  std::vector<const Replica*> OfService(std::string_view aService) const;
  /// \return all entries, including versions learned since they were listed
  std::vector<Replica> All() const;
  /// \return utilization of the replicas, by service
  std::map<std::string, ServiceUse> Use(Millis aNow) const;
  bool Empty() const { return mStates.empty(); }
  size_t Size() const { return mStates.size(); }

 private:
  struct Service;
  struct State {
    Replica mReplica;
    Service* mService = nullptr;
    size_t mIndex = 0;  ///< index among the replicas of its service
    int64_t mInFlight = 0;
    std::map<std::string, int64_t> mRuns;  ///< requests in flight, by model
    int mFailures = 0;                     ///< consecutive failures
    bool mUnreachable = false;  ///< the last failure was a connection
    bool mKnown = false;        ///< it has answered a request
    Millis mPausedUntil;
    std::map<std::string, Millis> mModelPauses;
    double mLatency = 0;              ///< smoothed, in ms; 0: none measured
    ReplicaPace mPace;                ///< pace of its streams
    int64_t mOtherNodesRequests = 0;  ///< requests of other nodes there
    Millis mLoadReportedAt;           ///< when the replica reported that load
    CurrentLoad mLoad;
    std::optional<Millis> mBadReportLoggedAt;
    double mRankedPace = 0;           ///< pace at the time it was ranked
    std::optional<double> mRank;      ///< cost while it has a free slot
    SendWindow mColdSends;            ///< recent requests while it is cold
    std::optional<Millis> mLeavesAt;  ///< by its termination notice
    bool mVacated = false;            ///< see SetVacated()
  };
  /// Entry of the order by cost.
  struct Rank {
    double mCost = 0;
    State* mState = nullptr;
    bool operator<(const Rank& aOther) const;
  };
  /// Derived data about the replicas of one service.
  struct Service {
    std::vector<State*> mStates;  ///< in order of their ids
    std::set<Rank> mFree;         ///< replicas with a free slot, cheapest first
    /// Availability zone of the requesting node; a node asks only for its own
    /// zone.
    std::string mZone;
    /// Median of all replicas, in ms per event; 0: unknown.
    double mTypicalPace = 0;
    Millis mRankedAt;
    bool mOutdated = true;     ///< ranks must be recomputed before the next use
    int64_t mReporting = 0;    ///< replicas with a load report
    int64_t mWithPercent = 0;  ///< replicas whose report has a percentage
  };
  /// Adds a replica's report to the counts of its service, or removes it.
  static void CountReport(const State& aState, int64_t aSign);
  /// \return mean requests of other hosts at the service's replicas with a
  /// recent report, assumed for replicas without one
  static double TypicalRequests(const Service& aService, Millis aNow);
  ExpectedTime Expect(const State& aState,
                      const ReplicaRequirements& aRequirements, double aTypical,
                      Millis aNow) const;
  std::optional<std::string> ChooseByLoad(
      const ReplicaRequirements& aRequirements, Millis aNow) const;
  /// \return whether the replica's own figures tell that it refused because it
  /// was full
  bool RefusedAsFull(const State& aState, Millis aNow) const;
  /// \return requests at the replica, as far as known
  static int64_t LoadOf(const State& aState, Millis aNow);
  /// \return cost of a plain request by load and latency; lower is better
  static double Cost(const State& aState,
                     const ReplicaRequirements& aRequirements, Millis aNow);
  /// \return cost of a text, relative to the typical time per event
  static double TextCost(const State& aState, Millis aNow);
  /// Updates the position of a replica in the order of its service.
  static void UpdateRank(State& aState, Millis aNow);
  /// Recomputes the paces and the order of a service if they may be outdated.
  static void RefreshRanks(Service& aService, Millis aNow);
  static double MedianPace(const Service& aService, Millis aNow);
  /// \return the service of a replica, after RefreshRanks()
  static const Service& RefreshedService(const State& aState, Millis aNow);
  std::optional<std::string> ChooseFree(
      const ReplicaRequirements& aRequirements, Millis aNow) const;
  std::optional<std::string> ChooseAny(const ReplicaRequirements& aRequirements,
                                       Millis aNow) const;
  void IndexServices();
  /// Updates a known replica from its registry entry.
  static void RefreshEntry(State& aState, const Replica& aReplica);
  /// Resets the state of a replica whose process has restarted.
  static void Restart(State& aState, const Replica& aReplica);
  State* Lookup(const std::string& aId);
  static bool Paused(const State& aState,
                     const ReplicaRequirements& aRequirements, Millis aNow);
  /// \return whether any replica of a service answers this host
  static bool AnyAnswers(const Service& aService);
  /// \return how much less a replica is wanted than those that answer, in
  /// pauses: it is paused, unreachable, or not known to answer
  static double Avoidance(const State& aState,
                          const ReplicaRequirements& aRequirements,
                          Millis aNow);
  bool IsEligible(const State& aState, const ReplicaRequirements& aRequirements,
                  Millis aNow) const;
  /// \return requests per second that this host may send to a cold replica
  int64_t ColdLimit(const State& aState) const;

  std::map<std::string, State> mStates;
  /// By name. Replica states point to the map nodes, which do not move. Mutable
  /// because a choice may have to recompute the order.
  mutable std::map<std::string, Service, std::less<>> mServices;
  Listing mListing;
  size_t mTieBreakOffset = 0;  ///< index of the first replica to consider
  RegionMap mRegions;
  std::set<std::string> mEvacuated;
  ColdShare mCold;
  std::map<std::string, double> mColdRates;  ///< by service
  std::map<std::string, WorkTimes> mWork;    ///< by service
  bool mAdmissionRequired = false;  ///< by the settings, for all services
};

}  // namespace rillwall
