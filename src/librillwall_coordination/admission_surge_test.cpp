/// \file
/// Tests of admission control under load patterns: many hosts that see each
/// other's load only through a small fake of replicas.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include "rillwall/admission_control.h"

namespace rillwall {

namespace {

constexpr int kHosts = 77;
constexpr int kSlots = 6;
constexpr size_t kQueue = 24;
constexpr int64_t kWorkMs = 25;
constexpr int64_t kTarget = 150;
constexpr int64_t kTimeout = 800;
/// Age of the figures behind a decision, in ms.
constexpr size_t kFigureAge = 4;
constexpr int64_t kUsualPercent = 100;
/// A replica that is this slow serves nobody.
constexpr int64_t kLostPercent = 10000;

/// One call of a client, over its attempts.
struct FakeCall {
  int64_t mFirstAt = 0;
  int mPriority = 2;
  std::string mAccount;
  bool mReturned = false;
  bool mHasty = false;  ///< returns without regard to the time named to it
};

/// Results by account or priority.
struct Tally {
  int mCalls = 0;
  int mInTime = 0;
};

/// A replica with slots and a queue; work takes a multiple of kWorkMs.
struct FakeReplica {
  struct Work {
    int64_t mEnd;
    FakeCall mCall;
    int mHost;
    AdmissionCall mAdmission;
  };
  int64_t mPercent = kUsualPercent;
  std::vector<Work> mRunning;
  std::deque<Work> mWaiting;

  int64_t WorkMs() const { return kWorkMs * mPercent / kUsualPercent; }
  int64_t Requests() const {
    return static_cast<int64_t>(mRunning.size() + mWaiting.size());
  }
};

/// A surge of calls to some hosts, in steps of a millisecond.
class Surge {
 public:
  explicit Surge(int aReplicas) : mReplicas(aReplicas) {
    for (int i = 0; i < kHosts; ++i) {
      mHosts.emplace_back(static_cast<uint64_t>(i + 1));
    }
  }

  double mPerMs = 1.08;  ///< calls that begin in each millisecond
  bool mAdmission = true;
  std::function<FakeCall(uint64_t)> mMake = [](uint64_t) { return FakeCall(); };
  std::function<void(Surge&)> mOnStep = [](Surge&) {};

  std::vector<FakeReplica> mReplicas;
  int64_t mNow = 1000;
  int mArrivals = 0;
  int mSends = 0;
  int mRejected = 0;
  int mLate = 0;
  int64_t mLongestHold = 0;  ///< of calls that were then refused
  int mOutOfOrder = 0;       ///< returns named earlier than one named before
  std::map<int64_t, int> mInTimeAt;  ///< answers in time by ms
  std::map<int64_t, double> mCapacityAt;
  std::map<std::string, Tally> mByAccount;
  std::map<int, Tally> mByPriority;

  void Run(int64_t aSpan) {
    for (const int64_t end = mNow + aSpan; mNow < end; ++mNow) {
      mOnStep(*this);
      Finish();
      Snapshot();
      mDue += mPerMs;
      while (mDue >= 1) {
        mDue -= 1;
        FakeCall call = mMake(mRandom());
        call.mFirstAt = mNow;
        ++mByAccount[call.mAccount].mCalls;
        ++mByPriority[call.mPriority].mCalls;
        Arrive(call);
      }
      for (auto at = mReturns.begin();
           at != mReturns.end() && at->first <= mNow; at = mReturns.erase(at)) {
        Arrive(at->second);
      }
      ServeQueues();
    }
  }

  /// \return the least part of the capacity that was answered in time, over
  /// all spans of 2 s
  double WorstPart(int64_t aFrom, int64_t aTo) const {
    double worst = 1;
    for (int64_t begin = aFrom; begin + 2000 <= aTo; begin += 100) {
      double capacity = 0;
      int answered = 0;
      for (int64_t at = begin; at < begin + 2000; ++at) {
        capacity += mCapacityAt.at(at);
        const auto found = mInTimeAt.find(at);
        answered += found == mInTimeAt.end() ? 0 : found->second;
      }
      worst = std::min(worst, answered / capacity);
    }
    return worst;
  }
  double RejectedPart() const {
    return static_cast<double>(mRejected) / std::max(1, mArrivals);
  }
  AdmissionCounts Sum() const {
    AdmissionCounts sum;
    for (const AdmissionControl& host : mHosts) {
      for (const AdmissionCounts& counts : host.Services()) {
        sum.mPromised += counts.mPromised;
        sum.mKept += counts.mKept;
      }
    }
    return sum;
  }

 private:
  struct Held {
    FakeCall mCall;
    AdmissionCall mAdmission;
    int64_t mUntil;
  };

  /// Figures of three replicas as they were some milliseconds ago.
  std::pair<AnswerEstimate, size_t> Estimate() {
    const std::vector<FakeReplica>& seen = mSeen.front();
    AnswerEstimate best;
    size_t chosen = 0;
    const size_t first = mRandom() % seen.size();
    for (size_t i = 0; i < std::min<size_t>(3, seen.size()); ++i) {
      const size_t at = (first + i) % seen.size();
      const int64_t work = seen[at].WorkMs();
      const int64_t ahead =
          std::max<int64_t>(0, seen[at].Requests() + 1 - kSlots);
      const Millis wait(work * ahead / kSlots);
      best.mFreeSlots += std::max<int64_t>(0, kSlots - seen[at].Requests());
      if (i == 0 || wait + Millis(work) < best.mExpected) {
        best.mExpected = wait + Millis(work);
        best.mWait = wait;
        chosen = at;
      }
    }
    best.mAge = Millis(kFigureAge);
    return {best, chosen};
  }

  void Finish() {
    double capacity = 0;
    for (FakeReplica& replica : mReplicas) {
      capacity +=
          static_cast<double>(kSlots) / static_cast<double>(replica.WorkMs());
      std::erase_if(replica.mRunning, [&](const FakeReplica::Work& aWork) {
        if (aWork.mEnd > mNow) {
          return false;
        }
        Answered(aWork);
        return true;
      });
      while (replica.mRunning.size() < kSlots && !replica.mWaiting.empty()) {
        FakeReplica::Work next = replica.mWaiting.front();
        replica.mWaiting.pop_front();
        next.mEnd = mNow + replica.WorkMs();
        replica.mRunning.push_back(next);
      }
    }
    mCapacityAt[mNow] = capacity;
  }

  void Answered(const FakeReplica::Work& aWork) {
    mHosts[aWork.mHost].Ended(aWork.mAdmission,
                              Millis(mNow) - aWork.mAdmission.mArrived);
    if (mNow - aWork.mCall.mFirstAt > kTarget) {
      ++mLate;
      return;
    }
    ++mInTimeAt[mNow];
    ++mByAccount[aWork.mCall.mAccount].mInTime;
    ++mByPriority[aWork.mCall.mPriority].mInTime;
  }

  void Snapshot() {
    mSeen.push_back(mReplicas);
    while (mSeen.size() > kFigureAge) {
      mSeen.pop_front();
    }
  }

  void Arrive(const FakeCall& aCall) {
    ++mArrivals;
    const int host = static_cast<int>(mRandom() % kHosts);
    const auto [estimate, replica] = Estimate();
    AdmissionCall admission{.mTicket = ++mTicket,
                            .mService = "s",
                            .mAccount = aCall.mAccount,
                            .mPriority = aCall.mPriority,
                            .mTargetLatency = Millis(kTarget),
                            .mTimeout = Millis(kTimeout),
                            .mArrived = Millis(mNow),
                            .mDeadline = Millis(aCall.mFirstAt + kTimeout)};
    if (!mAdmission) {
      Send(aCall, admission, host, replica);
      return;
    }
    const AdmissionDecision decision =
        mHosts[host].Arrive(admission, estimate, Millis(mNow));
    switch (decision.mAction) {
      case AdmissionAction::Send:
        Send(aCall, admission, host, replica);
        break;
      case AdmissionAction::Wait:
        mHeld[host].push_back({aCall, admission, decision.mWaitUntil.Count()});
        break;
      case AdmissionAction::Refuse:
        Refused(aCall, decision.mRetryAfter.Count(), host);
        break;
    }
  }

  void Send(const FakeCall& aCall, const AdmissionCall& aAdmission, int aHost,
            size_t aReplica) {
    FakeReplica& replica = mReplicas[aReplica];
    ++mSends;
    mHosts[aHost].Sent(aAdmission);
    if (replica.mWaiting.size() < kQueue) {
      replica.mWaiting.push_back({0, aCall, aHost, aAdmission});
      return;
    }
    ++mRejected;
    mHosts[aHost].RefusedByReplica(aAdmission, Millis(mNow));
    mHosts[aHost].Ended(aAdmission, Millis(2));
    const AdmissionDecision decision = mHosts[aHost].Refuse(
        aAdmission, AdmissionReason::TooLate, Estimate().first, Millis(mNow));
    Refused(aCall, mAdmission ? decision.mRetryAfter.Count() : 200, -1);
  }

  /// A client returns once.
  void Refused(FakeCall aCall, int64_t aRetryAfter, int aHost) {
    if (aCall.mReturned) {
      return;
    }
    aCall.mReturned = true;
    const int64_t at = mNow + aRetryAfter;
    const bool uncapped = aRetryAfter < kTimeout / 6;
    if (aHost >= 0 && uncapped) {
      mOutOfOrder += at < mNamed[aHost] ? 1 : 0;
      mNamed[aHost] = at;
    }
    mReturns.emplace(aCall.mHasty ? mNow + 20 : at, aCall);
  }

  void ServeQueues() {
    for (auto& [host, held] : mHeld) {
      const auto [estimate, replica] = Estimate();
      const auto ticket = mHosts[host].StartNext("s", estimate, Millis(mNow));
      std::erase_if(held, [&, &host = host, &replica = replica,
                           &estimate = estimate](const Held& aHeld) {
        if (ticket && *ticket == aHeld.mAdmission.mTicket) {
          Send(aHeld.mCall, aHeld.mAdmission, host, replica);
          return true;
        }
        if (aHeld.mUntil > mNow) {
          return false;
        }
        const AdmissionDecision decision = mHosts[host].Refuse(
            aHeld.mAdmission, AdmissionReason::Waited, estimate, Millis(mNow));
        mLongestHold =
            std::max(mLongestHold, mNow - aHeld.mAdmission.mArrived.Count());
        Refused(aHeld.mCall, decision.mRetryAfter.Count(), host);
        return true;
      });
    }
  }

  std::minstd_rand mRandom{7};
  double mDue = 0;
  uint64_t mTicket = 0;
  std::vector<AdmissionControl> mHosts;
  std::deque<std::vector<FakeReplica>> mSeen;
  std::multimap<int64_t, FakeCall> mReturns;
  std::map<int, std::vector<Held>> mHeld;
  std::map<int, int64_t> mNamed;
};

double PartOf(const Tally& aTally) {
  return static_cast<double>(aTally.mInTime) / std::max(1, aTally.mCalls);
}

}  // namespace

class AdmissionSurgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionSurgeTest);
  CPPUNIT_TEST(SurgeOfNinetyTimesTheLoad);
  CPPUNIT_TEST(CapacityIsLostHalfway);
  CPPUNIT_TEST(SmallAccountIsServedBesideALargeOne);
  CPPUNIT_TEST(UrgentRequestsAreServedFirst);
  CPPUNIT_TEST(EarlyReturnsGainNothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int64_t kBegin = 1000;
  /// Time until a queue at the replicas has formed.
  static constexpr int64_t kRampMs = 300;
  static constexpr int64_t kSurgeMs = 8000;

  void CheckSurge(Surge& aSurge) {
    CPPUNIT_ASSERT(aSurge.WorstPart(kBegin + kRampMs, kBegin + kSurgeMs) >=
                   0.85);
    CPPUNIT_ASSERT(aSurge.RejectedPart() < 0.04);
    CPPUNIT_ASSERT(aSurge.mLongestHold <= kTarget / 4);
    CPPUNIT_ASSERT_EQUAL(0, aSurge.mOutOfOrder);
  }

 public:
  /// Guards against a collapse of the service, in which the replicas are full
  /// and all answers are late, and against retries that outlast the load.
  void SurgeOfNinetyTimesTheLoad() {
    Surge surge(4);
    surge.Run(kSurgeMs);
    CheckSurge(surge);
    CPPUNIT_ASSERT(surge.Sum().mKept > 0);
    surge.mPerMs = 0.012;
    surge.Run(1000);
    const int rejected = surge.mRejected;
    const int arrivals = surge.mArrivals;
    surge.Run(2000);
    CPPUNIT_ASSERT_EQUAL(rejected, surge.mRejected);
    CPPUNIT_ASSERT(surge.mArrivals - arrivals <= 25);
    // Without admission control, the same load has replicas reject requests.
    Surge open(4);
    open.mAdmission = false;
    open.Run(kSurgeMs);
    CPPUNIT_ASSERT(open.RejectedPart() >= 0.04);
  }

  /// Guards against admission by a capacity that no longer exists.
  void CapacityIsLostHalfway() {
    Surge surge(5);
    surge.mOnStep = [](Surge& aSurge) {
      const bool lost = aSurge.mNow >= kBegin + kSurgeMs / 2;
      aSurge.mReplicas[0].mPercent = lost ? kLostPercent : kUsualPercent;
      aSurge.mReplicas[1].mPercent = lost ? kLostPercent : kUsualPercent;
    };
    surge.mPerMs = 1.4;
    surge.Run(kSurgeMs);
    Surge open(5);
    open.mPerMs = surge.mPerMs;
    open.mOnStep = surge.mOnStep;
    open.mAdmission = false;
    open.Run(kSurgeMs);
    CheckSurge(surge);
    // The same load without admission control.
    CPPUNIT_ASSERT(open.WorstPart(kBegin + kRampMs, kBegin + kSurgeMs) < 0.85);
  }

  /// Guards against an account that takes all capacity by sending a hundred
  /// times as many requests as another one.
  void SmallAccountIsServedBesideALargeOne() {
    Surge surge(4);
    surge.mPerMs = 2;
    surge.mMake = [](uint64_t aRandom) {
      FakeCall call;
      call.mAccount = aRandom % 101 == 0 ? "small" : "large";
      return call;
    };
    surge.Run(kSurgeMs);
    const double small = PartOf(surge.mByAccount["small"]);
    const double large = PartOf(surge.mByAccount["large"]);
    CPPUNIT_ASSERT(small > 0.9);
    CPPUNIT_ASSERT(large < 0.6);
  }

  /// Guards against urgent requests that are refused while less urgent ones are
  /// served.
  void UrgentRequestsAreServedFirst() {
    Surge surge(4);
    surge.mPerMs = 2;
    surge.mMake = [](uint64_t aRandom) {
      FakeCall call;
      call.mPriority = aRandom % 4 == 0 ? 0 : 2;
      return call;
    };
    surge.Run(kSurgeMs);
    const double urgent = PartOf(surge.mByPriority[0]);
    const double other = PartOf(surge.mByPriority[2]);
    CPPUNIT_ASSERT(urgent > 0.9);
    CPPUNIT_ASSERT(other < urgent / 2);
  }

  /// Guards against clients that are served sooner because they ignore the
  /// time named to them.
  void EarlyReturnsGainNothing() {
    Surge surge(4);
    surge.mMake = [](uint64_t aRandom) {
      FakeCall call;
      call.mHasty = aRandom % 2 == 0;
      call.mAccount = call.mHasty ? "hasty" : "patient";
      return call;
    };
    surge.mPerMs = 1.5;
    surge.Run(kSurgeMs);
    const double hasty = PartOf(surge.mByAccount["hasty"]);
    const double patient = PartOf(surge.mByAccount["patient"]);
    CPPUNIT_ASSERT(hasty <= patient + 0.01);
    CPPUNIT_ASSERT(surge.RejectedPart() < 0.04);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionSurgeTest);

}  // namespace rillwall
