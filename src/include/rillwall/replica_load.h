/// \file
/// The load that a replica reports in its responses, and what a host expects of
/// the replica's next response.
///
/// Pure: no I/O and no clock. Made for a surge of short calls to a service
/// whose replicas slow down and recover within less than a second: figures lose
/// their weight within that time, and the expected time returns to what is
/// usual for the replica. The limits on age follow from that, not from the
/// number of hosts or replicas.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall {

/// One load report of a replica.
struct ReplicaLoad {
  int64_t mRunning = 0;  ///< requests that run, from all hosts
  int64_t mWaiting = 0;  ///< requests in the replica's queue
  int64_t mSlots = 0;    ///< requests that can run concurrently
  /// How long work takes on the replica's machine at this moment, in percent of
  /// the usual time. Not all services report it.
  std::optional<int64_t> mWorkPercent;
  bool operator==(const ReplicaLoad&) const = default;
};

/// Parses a report of the form "running,waiting,slots[,percent[,...]]". Figures
/// after the fourth are ignored.
/// \return the report; BadRequest, naming the figure, if one of the first four
/// is not a number within its limits
Result<ReplicaLoad> ParseReplicaLoad(std::string_view aText);

/// Expected response time of the replica that would be chosen now.
struct AnswerEstimate {
  Millis mExpected;        ///< wait and work
  Millis mWait;            ///< part of it until a slot is free
  Millis mAge;             ///< age of the figures behind it
  int64_t mFreeSlots = 0;  ///< free slots of all eligible replicas, as known
  bool operator==(const AnswerEstimate&) const = default;
};

/// Usual durations of a service's requests on a machine of 100 percent.
class WorkTimes {
 public:
  /// Records the time of a request that did not wait for a slot.
  /// \param aRoute name of its route
  void ObserveWork(const std::string& aRoute, double aMs);
  /// Records the time for which a slot was taken by one request, as derived
  /// from the wait in a replica's queue. Requests of other hosts and routes
  /// are part of it.
  void ObserveSlotTime(double aMs);
  /// \param aRoute empty: the requests of all routes together
  /// \return usual time of a request of the route, in ms
  double UsualMs(const std::string& aRoute) const;
  /// \return time for which one request takes a slot, in ms
  double SlotMs() const;

 private:
  std::map<std::string, double> mUsual;  ///< by route; key "": all routes
  double mSlotMs = 0;                    ///< 0: none measured
};

/// Expected duration of a request at one replica, in ms.
struct ExpectedTime {
  double mWaitMs = 0;     ///< until a slot is free
  double mWorkMs = 0;     ///< in the slot
  double mNetworkMs = 0;  ///< network, connection and inter-zone traffic
  double mPenaltyMs = 0;  ///< for recent errors, cold caches and the like
  double Total() const { return mWaitMs + mWorkMs + mNetworkMs + mPenaltyMs; }
};

/// Current load of one replica as known to one host.
class CurrentLoad {
 public:
  /// Age after which the reported requests are not used any more: most of them
  /// have ended by then.
  static constexpr Millis kRequestsMaxAge{1000};
  /// Age after which the reported percentage is not used any more. It is
  /// constant for 600 ms at a time, beginning at an unknown moment.
  static constexpr Millis kPercentMaxAge{600};

  /// Records a report.
  /// \param aOwn this host's requests at the replica, which are part of it
  void Report(const ReplicaLoad& aReport, int64_t aOwn, Millis aNow);
  /// Drops the report, for a replica that has begun to send malformed ones.
  void DropReport() { mReport.reset(); }
  /// Records how long work took, as observed by this host, in percent.
  void ObservePercent(double aPercent, Millis aNow);
  /// Records the round trip of a probe, during which nothing runs.
  void ObserveRoundTrip(Millis aSpan);
  /// Records the end of a request that the replica answered.
  /// \param aError the answer was a server error
  void ObserveAnswer(bool aError, Millis aNow);
  /// Records a failed health check. The replica is avoided for a while, but not
  /// for ever, as it may serve requests all the same.
  void ObserveUnhealthy(Millis aNow);

  void ObserveHealthy() { mAvoidUntil = Millis(); }

  const std::optional<ReplicaLoad>& Report() const { return mReport; }
  /// \return whether the reported requests are recent enough to be used
  bool Recent(Millis aNow) const;
  /// \return age of the report; nothing if there is none
  std::optional<Millis> Age(Millis aNow) const;
  /// \return requests of other hosts at the replica. The older the report is,
  /// the closer the figure is to aTypical.
  double OtherRequests(double aTypical, Millis aNow) const;
  /// \return how long work takes, in percent of the usual time
  double Percent(Millis aNow) const;
  /// \return share of recent requests that were answered by a server error
  double ErrorShare(Millis aNow) const;
  /// \return whether a health check failed recently
  bool Unhealthy(Millis aNow) const { return aNow < mAvoidUntil; }
  /// \return network round trip in ms; nothing if none was measured
  std::optional<double> RoundTripMs() const { return mRoundTripMs; }

 private:
  /// \return the machine's usual percentage
  double UsualPercent() const;

  std::optional<ReplicaLoad> mReport;
  Millis mReportedAt;
  int64_t mOthers = 0;  ///< requests of other hosts in mReport
  std::optional<double> mObservedPercent;
  Millis mObservedAt;
  /// Percentages reported in different periods, newest last. Their median is
  /// usual for the machine; machines are inherently unequal.
  std::vector<int64_t> mPastPercents;
  Millis mPastAt;  ///< when the newest of them was reported
  std::optional<double> mRoundTripMs;
  double mErrorShare = 0;
  Millis mErrorsAt;
  Millis mAvoidUntil;
  Millis mHealthIgnoredUntil;
};

}  // namespace rillwall
