/// \file
/// Admission to one service; see admission_control.h.

#pragma once

#include <deque>
#include <map>

#include "fair_queue.h"
#include "retry_budget.h"
#include "rillwall/admission_control.h"
#include "rillwall/backoff.h"
#include "wait_estimate.h"

namespace rillwall {

/// Decides about the calls to one service. The functions correspond to those of
/// AdmissionControl.
class ServiceAdmission {
 public:
  using Estimate = std::optional<AnswerEstimate>;

  explicit ServiceAdmission(uint64_t aSeed);

  AdmissionDecision Arrive(const AdmissionCall& aCall,
                           const Estimate& aEstimate, Millis aNow);
  /// \return the waiting call to be sent now, which has left the queue
  std::optional<AdmissionCall> StartNext(const Estimate& aEstimate,
                                         Millis aNow);
  AdmissionDecision Refuse(const AdmissionCall& aCall, AdmissionReason aReason,
                           const Estimate& aEstimate, Millis aNow);
  /// \return whether the call waited
  bool Abandon(uint64_t aTicket);
  void Sent();
  void Ended(const AdmissionCall& aCall, Millis aSpan);
  bool RefusedByReplica(Millis aNow);
  bool MaySend(const AdmissionCall& aCall, const Estimate& aEstimate,
               Millis aNow) const;
  size_t Waiting() const { return mWaiting.size(); }
  AdmissionCounts Counts() const;

 private:
  /// A call with what is known about its caller.
  struct Entry {
    AdmissionCall mCall;
    Millis mTarget;        ///< target latency, or a part of the time left
    Millis mFirstAttempt;  ///< when the caller sent its first attempt
    bool mReturned = false;
    bool mPromised = false;  ///< it came at the time named to it
    FairQueue::Tenant mTenant = 0;
    FairQueue::Position mPosition;
  };
  /// A time named to a refused caller, with capacity reserved for it.
  struct Promise {
    Millis mDue;
    Millis mWait;  ///< from the caller's first attempt until it is due
    int mPriority = 0;
    bool mLate = false;      ///< the answer will be after the target latency
    bool mAhead = false;     ///< its account has had more than its fair share
    bool mReserved = false;  ///< a new request has made room for it
  };
  /// How a call fits the expected response time.
  struct Fit {
    Millis mExcess;      ///< time by which the answer or the wait is too long
    Millis mLatestSend;  ///< when the call must be sent to be useful
    bool mFits = false;
  };

  Entry MakeEntry(const AdmissionCall& aCall);
  Fit Judge(const Entry& aEntry, const AnswerEstimate& aEstimate,
            Millis aNow) const;
  /// \return longest useful wait at the replica
  Millis WaitBound(const Entry& aEntry, Millis aNow) const;
  /// \return whether the entry comes before another one with equal fairness
  static bool Before(const Entry& aOne, const Entry& aOther, Millis aNow);
  /// \return the waiting entry that is sent first, or null
  Entry* First(Millis aNow);
  /// Takes the oldest promise that a returning caller can claim: one whose time
  /// has come, and that was made for a wait no longer than the caller's, so
  /// that a caller that comes too early takes no other caller's place.
  bool TakePromise(const Entry& aEntry, bool aLate, Millis aNow);
  /// \return instant until which an answer is within the target latency
  static Millis InTimeUntil(const Entry& aEntry) {
    return aEntry.mFirstAttempt + aEntry.mTarget;
  }
  /// \return whether not even an idle replica could answer in time
  static bool IsLate(const Entry& aEntry, const AnswerEstimate& aEstimate,
                     Millis aNow);
  /// \return whether the request must leave its capacity to a return
  bool YieldToReturn(const Entry& aEntry, const AnswerEstimate& aEstimate,
                     Millis aNow);
  void DropOldPromises(Millis aNow);
  /// \return time after which the caller should return
  Millis NameReturn(const Entry& aEntry, const Estimate& aEstimate,
                    Millis aNow);
  /// Adds a call to the queue.
  AdmissionDecision Hold(Entry aEntry, Millis aUntil);
  /// Records that a call is sent.
  void Admit(Entry& aEntry, Millis aNow);
  /// \return fraction of the wait bounds in force after refusals by replicas
  double Strictness(Millis aNow) const;

  FairQueue mFairness;
  std::map<uint64_t, Entry> mWaiting;  ///< by ticket
  std::deque<Promise> mPromises;       ///< by time
  Millis mLastNamed;                   ///< last time named to a caller
  WaitEstimate mRate;
  RetryBudget mRetries;
  RetryBudget mLateReturns;
  Jitter mJitter;
  double mFactor = 1;  ///< of the wait bounds, at mFactorAt
  Millis mFactorAt;
  int64_t mPending = 0;  ///< admitted calls that no replica's figures show yet
  AdmissionCounts mCounts;
};

}  // namespace rillwall
