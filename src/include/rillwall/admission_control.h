/// \file
/// Decides whether a plain request is sent to its service now, waits at this
/// host, or is refused, by the expected response time of the service.
///
/// The load that this module handles is a surge: some hundred requests a second
/// for replicas that can answer fewer, on many hosts of which each sends less
/// than one request at a time. A limit on a host's own requests cannot work
/// then. Every host therefore decides by the figures of the replicas, which all
/// hosts see alike, and keeps the replicas' own queues short, because it is
/// these queues that make answers late.
///
/// The thresholds are fractions of the target latency of a call, because that
/// is what its caller needs:
/// - A request is sent if its answer is expected within the target latency, or
///   within the caller's deadline where the target cannot be met any more.
/// - The wait in the replica's queue may take at most kWaitPercent of the
///   target latency, by priority. An urgent request may join a longer queue
///   than others, so that it is still admitted on all hosts when others are
///   not.
/// - Nothing waits at this host longer than a quarter of its target latency.
/// - A refused caller is told when to return. The host counts the returns that
///   it has promised and refuses as many new requests at these times. A return
///   that can only be answered late is promised capacity for one in ten
///   admissions, because its answer has a quarter of the value of one in time.
///
/// Pure: no I/O and no clock. The seed of the spread is an argument. Use it on
/// one thread. The state is bounded by services, accounts and waiting calls.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/replica_load.h"

namespace rillwall {

/// What admission control needs to know of a call.
struct AdmissionCall {
  uint64_t mTicket = 0;  ///< unique number, assigned by the owner
  std::string mService;
  std::string mAccount;   ///< client account; may be empty
  int mPriority = 0;      ///< 0 is the most urgent
  Millis mTargetLatency;  ///< 0: none
  /// Longest time that a first attempt waits; 0: unknown. A call with less time
  /// left is the return of a caller that was refused before.
  Millis mTimeout;
  Millis mArrived;          ///< instant at which this attempt arrived
  Millis mDeadline;         ///< instant at which the caller gives up
  bool mDelayOnly = false;  ///< waits until its deadline instead of a refusal
};

enum class AdmissionAction { Send, Wait, Refuse };

/// Why a call is sent, waits or is refused.
enum class AdmissionReason {
  Unknown,   ///< no recent figures are known, so the call is sent
  InTime,    ///< the answer is expected in time
  Promised,  ///< a caller returned at the time named to it
  Queued,    ///< capacity is expected within the time that the call may wait
  TooLate,   ///< the answer would come too late
  Reserved,  ///< the capacity is reserved for callers that return now
  Waited,    ///< no capacity became free while the call waited
};
/// \return stable name of the reason, for logs and metrics
const char* AdmissionReasonName(AdmissionReason aReason);

/// The decision about one call.
struct AdmissionDecision {
  AdmissionAction mAction = AdmissionAction::Send;
  AdmissionReason mReason = AdmissionReason::Unknown;
  Millis mWaitUntil;   ///< Wait: instant at which the call must be refused
  Millis mRetryAfter;  ///< Refuse: time after which the caller should return
};

/// Counts of one service.
struct AdmissionCounts {
  std::string mService;
  size_t mWaiting = 0;
  int64_t mInFlight = 0;         ///< admitted calls that have not ended
  int64_t mFreeSlots = 0;        ///< at the last decision
  uint64_t mPromised = 0;        ///< returns for which capacity was reserved
  uint64_t mKept = 0;            ///< of these, callers that came and were sent
  uint64_t mReplicaRefused = 0;  ///< calls refused by a replica
};

/// Counts of one client account.
struct AccountUse {
  std::string mAccount;
  int mPriority = 0;  ///< of its last call
  uint64_t mAdmitted = 0;
  uint64_t mWaiting = 0;
  uint64_t mRefused = 0;
  Millis mLastUse;
};

/// Admission to all services, as decided by one host.
class AdmissionControl {
 public:
  /// \param aSeed seed of the spread of retry times; must differ between hosts
  explicit AdmissionControl(uint64_t aSeed = 1);
  ~AdmissionControl();
  AdmissionControl(AdmissionControl&&) noexcept;
  AdmissionControl& operator=(AdmissionControl&&) noexcept;

  /// Decides about a new call. If it waits, it is in the host's queue from now
  /// on, until StartNext() returns it or Abandon() removes it.
  AdmissionDecision Arrive(const AdmissionCall& aCall,
                           const std::optional<AnswerEstimate>& aEstimate,
                           Millis aNow);
  /// \return the ticket of the waiting call that is to be sent now, if any
  std::optional<uint64_t> StartNext(
      std::string_view aService, const std::optional<AnswerEstimate>& aEstimate,
      Millis aNow);
  /// Refuses a call, which leaves the queue if it waited there.
  AdmissionDecision Refuse(const AdmissionCall& aCall, AdmissionReason aReason,
                           const std::optional<AnswerEstimate>& aEstimate,
                           Millis aNow);
  /// Removes a call whose caller has left from the queue.
  void Abandon(const AdmissionCall& aCall);
  /// Records that an admitted call is counted at its replica from now on.
  void Sent(const AdmissionCall& aCall);
  /// Records the end of an admitted call.
  /// \param aSpan time since it was admitted
  void Ended(const AdmissionCall& aCall, Millis aSpan);
  /// Records that a replica refused an admitted call.
  /// \return whether the call may be sent to another replica, by the retry
  /// budget
  bool RefusedByReplica(const AdmissionCall& aCall, Millis aNow);
  /// \return whether a call that was refused by a replica may be sent to the
  /// replica of this estimate
  bool MaySend(const AdmissionCall& aCall,
               const std::optional<AnswerEstimate>& aEstimate,
               Millis aNow) const;

  /// \return calls of the service that wait at this host
  size_t Waiting(std::string_view aService) const;
  std::vector<AdmissionCounts> Services() const;
  std::vector<AccountUse> Accounts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
