#include "service_admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace rillwall {

namespace {

constexpr int64_t kPercent = 100;
/// Longest wait in a replica's queue, in percent of the target latency, by
/// priority. The queue must be long enough to keep a replica busy for the age
/// of the figures, and short enough that the work still ends within the target.
constexpr std::array<int64_t, 4> kWaitPercent = {45, 38, 30, 24};
/// Added for callers that return as promised, and for accounts that have had
/// less than their fair share.
constexpr int64_t kPreferredPercent = 10;
/// A caller that returns without a promise, or late, is sent only if the queue
/// is nearly empty. Otherwise clients that ignore the time named to them would
/// take the place of others.
constexpr int64_t kUnpromisedDivisor = 4;
/// Part of the bound for calls that are only delayed, when they arrive.
constexpr double kFirstDelayPart = 0.25;
/// Part of the target latency for the way between the client and this host.
constexpr int64_t kMarginDivisor = 10;
/// Part of the target latency that a call may wait at this host.
constexpr int64_t kHoldDivisor = 4;
/// Part of the caller's time left that it may be told to wait.
constexpr int64_t kReturnDivisor = 3;
/// Assumed target latency of routes without one, as a part of the time left.
constexpr int64_t kDefaultTargetDivisor = 4;
/// Difference between the route's timeout and the time left that shows a
/// return. Less is the way from the client.
constexpr Millis kMinReturnAge{15};
/// Time after the time named to a caller for which new requests make room for
/// it. Callers open a new connection first.
constexpr Millis kPromiseWindow{60};
/// Time for which a promise may be claimed. It is longer, because callers
/// return to any host, and a host gets as many of them as it has promised only
/// on average.
constexpr Millis kClaimWindow{1000};
/// Clients' timers may end a little early.
constexpr Millis kPromiseEarly{2};
constexpr Millis kMinSpacing{5};
constexpr Millis kMaxSpacing{250};
/// Age above which figures say nothing about the queue of a replica: a queue of
/// usual length drains or fills within it.
constexpr Millis kMaxFigureAge{100};
/// Calls in flight while nothing recent is known. They bring figures, and are
/// too few to fill the queues of the replicas.
constexpr int64_t kMaxBlindCalls = 4;
constexpr size_t kMaxPromises = 256;
constexpr size_t kMaxWaiting = 32;
/// Tries at another replica per admitted call, after a refusal.
constexpr double kRetryRatio = 0.1;
/// Late returns with reserved capacity per admitted call.
constexpr double kLateRatio = 0.1;
constexpr double kMaxLateBalance = 1;
/// A refusal by a replica shows that the figures are worse than assumed.
constexpr double kRefusedFactor = 0.8;
constexpr double kMinFactor = 0.3;
/// Time in ms in which a bound recovers from 0 to its full value.
constexpr double kRecoveryMs = 2000;
constexpr int64_t kTokensPerCall = 1;

Millis Scaled(Millis aSpan, double aFactor) {
  return Millis(std::llround(static_cast<double>(aSpan.Count()) * aFactor));
}

bool Saturated(const AnswerEstimate& aEstimate) {
  return aEstimate.mWait > Millis(0) || aEstimate.mFreeSlots == 0;
}

}  // namespace

ServiceAdmission::ServiceAdmission(uint64_t aSeed)
    : mRetries(kRetryRatio),
      mLateReturns(kLateRatio, kMaxLateBalance),
      mJitter(aSeed) {}

ServiceAdmission::Entry ServiceAdmission::MakeEntry(
    const AdmissionCall& aCall) {
  Entry entry;
  entry.mCall = aCall;
  const Millis left = std::max(Millis(0), aCall.mDeadline - aCall.mArrived);
  entry.mTarget = aCall.mTargetLatency > Millis(0)
                      ? aCall.mTargetLatency
                      : left / kDefaultTargetDivisor;
  const Millis age = aCall.mTimeout - left;
  entry.mReturned = aCall.mTimeout > Millis(0) && age > kMinReturnAge;
  entry.mFirstAttempt = entry.mReturned ? aCall.mArrived - age : aCall.mArrived;
  entry.mTenant = mFairness.FindOrAdd(aCall.mAccount);
  return entry;
}

double ServiceAdmission::Strictness(Millis aNow) const {
  const double recovered =
      static_cast<double>((aNow - mFactorAt).Count()) / kRecoveryMs;
  return std::min(1.0, mFactor + recovered);
}

Millis ServiceAdmission::WaitBound(const Entry& aEntry, Millis aNow) const {
  const size_t priority = std::clamp<size_t>(
      static_cast<size_t>(std::max(aEntry.mCall.mPriority, 0)), 0,
      kWaitPercent.size() - 1);
  int64_t percent = kWaitPercent[priority];
  if (aEntry.mPromised || !mFairness.Ahead(aEntry.mTenant)) {
    percent += kPreferredPercent;
  }
  return Scaled(aEntry.mTarget * percent / kPercent, Strictness(aNow));
}

bool ServiceAdmission::IsLate(const Entry& aEntry,
                              const AnswerEstimate& aEstimate, Millis aNow) {
  const Millis work = aEstimate.mExpected - aEstimate.mWait;
  const Millis margin = aEntry.mTarget / kMarginDivisor;
  return aNow + work + margin > InTimeUntil(aEntry);
}

ServiceAdmission::Fit ServiceAdmission::Judge(const Entry& aEntry,
                                              const AnswerEstimate& aEstimate,
                                              Millis aNow) const {
  const Millis work =
      std::max(Millis(0), aEstimate.mExpected - aEstimate.mWait);
  const Millis margin = aEntry.mTarget / kMarginDivisor;
  const bool late = IsLate(aEntry, aEstimate, aNow);
  // No caller can be answered within the target while the work alone takes
  // longer, so that none of them is late by its own fault.
  const bool slow = work + margin > aEntry.mTarget;
  const Millis useful = late ? aEntry.mCall.mDeadline : InTimeUntil(aEntry);
  Millis bound = WaitBound(aEntry, aNow);
  const bool unpromised = aEntry.mReturned && !aEntry.mPromised;
  if (aEntry.mCall.mDelayOnly) {
    // Calls that only wait leave the capacity to others at first. They get the
    // whole bound once they have waited for their target latency.
    const Millis waited = std::min(aNow - aEntry.mFirstAttempt, aEntry.mTarget);
    const auto part =
        static_cast<double>(waited.Count()) /
        static_cast<double>(std::max<int64_t>(1, aEntry.mTarget.Count()));
    bound = Scaled(bound, kFirstDelayPart + (1 - kFirstDelayPart) * part);
  }
  if ((late || unpromised) && !slow && !aEntry.mPromised &&
      !aEntry.mCall.mDelayOnly) {
    bound = bound / kUnpromisedDivisor;
  }
  Fit fit;
  fit.mLatestSend = useful - work - margin;
  fit.mExcess = std::max(aNow + aEstimate.mExpected + margin - useful,
                         aEstimate.mWait - bound);
  if (aEstimate.mAge > kMaxFigureAge) {
    // A call of this host asks again how full the replicas are.
    const int64_t known = fit.mExcess <= Millis(0) ? kMaxBlindCalls : 1;
    fit.mFits = mCounts.mInFlight < known && fit.mLatestSend > aNow;
    return fit;
  }
  fit.mFits = fit.mExcess <= Millis(0) &&
              mPending < std::max<int64_t>(1, aEstimate.mFreeSlots);
  return fit;
}

bool ServiceAdmission::Before(const Entry& aOne, const Entry& aOther,
                              Millis aNow) {
  if (aOne.mCall.mPriority != aOther.mCall.mPriority) {
    return aOne.mCall.mPriority < aOther.mCall.mPriority;
  }
  // In steps of the target latency, so that accounts share what comes within
  // one step.
  const auto steps = [aNow](const Entry& aEntry) {
    return (aNow - aEntry.mFirstAttempt).Count() /
           std::max<int64_t>(1, aEntry.mTarget.Count());
  };
  return steps(aOne) > steps(aOther);
}

ServiceAdmission::Entry* ServiceAdmission::First(Millis aNow) {
  Entry* first = nullptr;
  mFairness.ForEach([&](uint64_t aTicket) {
    Entry& entry = mWaiting.at(aTicket);
    if (first == nullptr || Before(entry, *first, aNow)) {
      first = &entry;
    }
    return true;
  });
  return first;
}

void ServiceAdmission::Admit(Entry& aEntry, Millis aNow) {
  mFairness.Started(aEntry.mTenant, kTokensPerCall);
  mFairness.Ended(aEntry.mTenant, 0);
  mRate.Started(aNow);
  mRetries.Deposit();
  mLateReturns.Deposit();
  ++mPending;
  ++mCounts.mInFlight;
  mCounts.mKept += aEntry.mPromised ? 1 : 0;
}

void ServiceAdmission::DropOldPromises(Millis aNow) {
  while (!mPromises.empty() && mPromises.front().mDue + kClaimWindow < aNow) {
    mPromises.pop_front();
  }
}

bool ServiceAdmission::TakePromise(const Entry& aEntry, bool aLate,
                                   Millis aNow) {
  DropOldPromises(aNow);
  const Millis waited = aNow - aEntry.mFirstAttempt + kPromiseEarly;
  const auto claimable = [&](const Promise& aPromise) {
    return aPromise.mLate == aLate && aPromise.mWait <= waited &&
           aPromise.mDue <= aNow + kPromiseEarly;
  };
  const auto found =
      std::find_if(mPromises.begin(), mPromises.end(), claimable);
  if (found == mPromises.end()) {
    return false;
  }
  mPromises.erase(found);
  return true;
}

bool ServiceAdmission::YieldToReturn(const Entry& aEntry,
                                     const AnswerEstimate& aEstimate,
                                     Millis aNow) {
  if (aEntry.mReturned || aEntry.mCall.mDelayOnly || !Saturated(aEstimate)) {
    return false;
  }
  DropOldPromises(aNow);
  const Millis work = aEstimate.mExpected - aEstimate.mWait;
  for (Promise& promise : mPromises) {
    if (promise.mDue > aNow + work) {
      return false;
    }
    const bool open =
        !promise.mReserved && aNow <= promise.mDue + kPromiseWindow;
    const bool first = promise.mPriority <= aEntry.mCall.mPriority &&
                       (!promise.mAhead || mFairness.Ahead(aEntry.mTenant));
    if (open && first) {
      promise.mReserved = true;
      return true;
    }
  }
  return false;
}

AdmissionDecision ServiceAdmission::Arrive(const AdmissionCall& aCall,
                                           const Estimate& aEstimate,
                                           Millis aNow) {
  Entry entry = MakeEntry(aCall);
  mCounts.mFreeSlots = aEstimate ? aEstimate->mFreeSlots : 0;
  if (!aEstimate && aCall.mDelayOnly && mCounts.mInFlight > 0) {
    // The responses to the calls in flight bring figures soon.
    const Millis until =
        std::max(aNow + kMinSpacing, aCall.mDeadline - entry.mTarget);
    return Hold(std::move(entry), until);
  }
  if (!aEstimate && mCounts.mInFlight >= kMaxBlindCalls) {
    const Millis until = aNow + entry.mTarget / kHoldDivisor;
    return Hold(std::move(entry), until);
  }
  if (!aEstimate) {
    Admit(entry, aNow);
    return {AdmissionAction::Send, AdmissionReason::Unknown, {}, {}};
  }
  entry.mPromised = entry.mReturned &&
                    TakePromise(entry, IsLate(entry, *aEstimate, aNow), aNow);
  const Fit fit = Judge(entry, *aEstimate, aNow);
  const Entry* first = First(aNow);
  const bool ahead =
      first == nullptr || Before(entry, *first, aNow) ||
      (!Before(*first, entry, aNow) && mFairness.Ahead(first->mTenant) &&
       !mFairness.Ahead(entry.mTenant));
  if (fit.mFits && ahead) {
    if (YieldToReturn(entry, *aEstimate, aNow)) {
      return Refuse(aCall, AdmissionReason::Reserved, aEstimate, aNow);
    }
    Admit(entry, aNow);
    const auto reason =
        entry.mPromised ? AdmissionReason::Promised : AdmissionReason::InTime;
    return {AdmissionAction::Send, reason, {}, {}};
  }
  const Millis hold = entry.mTarget / kHoldDivisor;
  const auto before = static_cast<double>(mWaiting.size() + 1);
  const bool soon = fit.mExcess <= hold && mWaiting.size() < kMaxWaiting &&
                    mRate.Wait(before, mCounts.mInFlight, aNow) <= hold &&
                    fit.mLatestSend > aNow;
  if (!soon && !aCall.mDelayOnly) {
    return Refuse(aCall, AdmissionReason::TooLate, aEstimate, aNow);
  }
  const Millis until = aCall.mDelayOnly
                           ? fit.mLatestSend
                           : std::min(aNow + hold, fit.mLatestSend);
  if (until <= aNow) {
    return Refuse(aCall, AdmissionReason::TooLate, aEstimate, aNow);
  }
  return Hold(std::move(entry), until);
}

AdmissionDecision ServiceAdmission::Hold(Entry aEntry, Millis aUntil) {
  const uint64_t ticket = aEntry.mCall.mTicket;
  aEntry.mPosition = mFairness.Push(aEntry.mTenant, ticket);
  mWaiting.emplace(ticket, std::move(aEntry));
  return {AdmissionAction::Wait, AdmissionReason::Queued, aUntil, {}};
}

std::optional<AdmissionCall> ServiceAdmission::StartNext(
    const Estimate& aEstimate, Millis aNow) {
  Entry* first = First(aNow);
  if (first == nullptr) {
    return std::nullopt;
  }
  // Without figures, one call is sent, whose response brings some.
  const bool fits = aEstimate ? Judge(*first, *aEstimate, aNow).mFits
                              : mCounts.mInFlight == 0;
  if (!fits) {
    return std::nullopt;
  }
  mCounts.mFreeSlots = aEstimate ? aEstimate->mFreeSlots : 0;
  Entry entry = std::move(*first);
  mFairness.Remove(entry.mTenant, entry.mPosition);
  mWaiting.erase(entry.mCall.mTicket);
  Admit(entry, aNow);
  return entry.mCall;
}

bool ServiceAdmission::Abandon(uint64_t aTicket) {
  const auto found = mWaiting.find(aTicket);
  if (found == mWaiting.end()) {
    return false;
  }
  mFairness.Remove(found->second.mTenant, found->second.mPosition);
  mWaiting.erase(found);
  return true;
}

AdmissionDecision ServiceAdmission::Refuse(const AdmissionCall& aCall,
                                           AdmissionReason aReason,
                                           const Estimate& aEstimate,
                                           Millis aNow) {
  Abandon(aCall.mTicket);
  const Millis retryAfter = NameReturn(MakeEntry(aCall), aEstimate, aNow);
  return {AdmissionAction::Refuse, aReason, {}, retryAfter};
}

Millis ServiceAdmission::NameReturn(const Entry& aEntry,
                                    const Estimate& aEstimate, Millis aNow) {
  const Millis left = std::max(Millis(0), aEntry.mCall.mDeadline - aNow);
  const Millis longest = std::max(Millis(1), left / kReturnDivisor);
  const Millis spacing = std::clamp(mRate.Wait(1, mCounts.mInFlight, aNow),
                                    kMinSpacing, kMaxSpacing);
  const Millis excess =
      aEstimate ? std::max(Millis(0), Judge(aEntry, *aEstimate, aNow).mExcess)
                : Millis(0);
  // The jitter has a mean of three quarters of its span, so that returns take
  // at most about half of the capacity from new requests.
  const Millis due = std::max(mLastNamed, aNow + excess) +
                     mJitter.EqualJitter(spacing * 2 / 3);
  if (due > aNow + longest) {
    return longest - mJitter.FullJitter(longest / 2);
  }
  if (aEntry.mReturned) {
    // A client returns once, so this one takes no time from others.
    return std::max(Millis(1), due - aNow);
  }
  mLastNamed = due;
  const Millis work = aEstimate ? aEstimate->mExpected - aEstimate->mWait
                                : aEntry.mTarget / kHoldDivisor;
  const Millis margin = aEntry.mTarget / kMarginDivisor;
  const bool late = due + work + margin > InTimeUntil(aEntry);
  const bool reserve =
      !aEntry.mCall.mDelayOnly && mPromises.size() < kMaxPromises &&
      (!late || mLateReturns.TryWithdraw(CallClass::Interactive));
  if (reserve) {
    const bool ahead = mFairness.Ahead(aEntry.mTenant);
    mPromises.push_back({due, due - aEntry.mFirstAttempt,
                         aEntry.mCall.mPriority, late, ahead, false});
    ++mCounts.mPromised;
  }
  return std::max(Millis(1), due - aNow);
}

void ServiceAdmission::Sent() { mPending = std::max<int64_t>(0, mPending - 1); }

void ServiceAdmission::Ended(const AdmissionCall& /*aCall*/, Millis aSpan) {
  --mCounts.mInFlight;
  mRate.Ended(std::max(Millis(1), aSpan));
}

bool ServiceAdmission::RefusedByReplica(Millis aNow) {
  ++mCounts.mReplicaRefused;
  mFactor = std::max(kMinFactor, Strictness(aNow) * kRefusedFactor);
  mFactorAt = aNow;
  return mRetries.TryWithdraw(CallClass::Interactive);
}

bool ServiceAdmission::MaySend(const AdmissionCall& aCall,
                               const Estimate& aEstimate, Millis aNow) const {
  if (!aEstimate) {
    return true;
  }
  return aNow + aEstimate->mExpected <= aCall.mDeadline &&
         (aCall.mTargetLatency == Millis(0) ||
          aEstimate->mWait <= aCall.mTargetLatency / 2);
}

AdmissionCounts ServiceAdmission::Counts() const {
  AdmissionCounts counts = mCounts;
  counts.mWaiting = mWaiting.size();
  return counts;
}

}  // namespace rillwall
