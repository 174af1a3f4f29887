/// \file
/// Tests of when nodes ask which source for the view, and of the load that all
/// nodes together cause on a slow lead.
///
/// The simulated deployment has 250 entry hosts and a lead that is one of 24
/// candidates, and all processes are lost at once. A lead on a third of a core
/// answers some two thousand requests a second if it does nothing else, and
/// only few while it takes over steps. A request that its sender has given up
/// costs it as much as any other.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <vector>

#include "rillwall/view_plan.h"

namespace rillwall {

namespace {

constexpr Millis kBound{4000};
constexpr Millis kStart{100000};
constexpr Millis kTick{10};

/// Simulates a deployment whose nodes ask one another, without a network.
class Deployment {
 public:
  explicit Deployment(int aHosts) {
    for (int i = 0; i < aHosts; ++i) {
      mHosts.emplace_back(static_cast<uint64_t>(i) + 1);
      mHosts.back().mPlan.Begin(false, mNow);
    }
    mHelpers.resize(kHelpers);
  }

  void Run(Millis aSpan) {
    for (const Millis end = mNow + aSpan; mNow < end; mNow += kTick) {
      mCredit = std::min(mCredit + mLeadPerTick, mLeadPerTick + 1);
      ServeLead();
      for (Host& host : mHosts) {
        TimeOut(host);
        Act(host);
      }
    }
  }

  /// Restarts the process of every second host, which then knows no other node.
  void RestartHalf() {
    for (size_t i = 0; i < mHosts.size(); i += 2) {
      mHosts[i] = Host(1000 + i);
      mHosts[i].mPlan.Begin(false, mNow);
    }
  }

  int64_t Fresh() const {
    return std::count_if(mHosts.begin(), mHosts.end(),
                         [this](const Host& a) { return a.mPlan.Fresh(mNow); });
  }
  Millis OldestList() const {
    Millis oldest;
    for (const Host& host : mHosts) {
      oldest = std::max(oldest, mNow - host.mListedAt);
    }
    return oldest;
  }
  /// Runs until all hosts know the lead and have a recent list.
  void ReachCalmState() {
    mLeadPerTick = 20;
    Run(Millis(5000));
    ResetCounts();
  }
  void ResetCounts() { mToLead = mToHelpers = mStoreCalls = mUnanswered = 0; }

  double mLeadPerTick = 20;    ///< requests that the lead answers per tick
  bool mLeadReachable = true;  ///< connections to the lead succeed
  bool mStoreAnswers = true;
  int64_t mToLead = 0;
  int64_t mToHelpers = 0;
  int64_t mStoreCalls = 0;
  int64_t mUnanswered = 0;

 private:
  static constexpr size_t kHelpers = 12;

  struct Host {
    explicit Host(uint64_t aSeed) : mPlan(kBound, aSeed), mSeed(aSeed) {}
    ViewPlan mPlan;
    uint64_t mSeed;
    bool mKnowsLead = false;
    size_t mHelper = 0;
    /// Time of the unanswered request to the lead.
    std::optional<Millis> mAsked;
    Millis mListedAt = kStart;
  };
  struct PendingRequest {
    size_t mHost;
    Millis mAsked;
  };

  void ServeLead() {
    while (!mQueue.empty() && mCredit >= 1) {
      mCredit -= 1;
      const PendingRequest request = mQueue.front();
      mQueue.pop_front();
      Host& host = mHosts[request.mHost];
      if (host.mAsked == request.mAsked) {
        host.mAsked.reset();
        // The lead reads the store every second.
        RecordAnswer(host, ViewSource::Lead, request.mAsked, mStoreAge);
      }
    }
    mStoreAge = mStoreAnswers && mStoreAge >= Millis(1000) ? Millis(0)
                                                           : mStoreAge + kTick;
  }

  void RecordAnswer(Host& aHost, ViewSource aSource, Millis aAsked,
                    Millis aAge) {
    aHost.mPlan.RecordAnswer(aSource, aAsked, aAge, mNow);
    aHost.mListedAt = std::max(aHost.mListedAt, aAsked - aAge);
  }

  void TimeOut(Host& aHost) {
    if (aHost.mAsked && mNow - *aHost.mAsked >= aHost.mPlan.RequestTimeout()) {
      aHost.mAsked.reset();
      aHost.mPlan.RecordMiss(ViewSource::Lead, mNow);
      ++mUnanswered;
    }
  }

  void Act(Host& aHost) {
    if (aHost.mAsked) {
      return;
    }
    const ViewContacts contacts{aHost.mKnowsLead, aHost.mKnowsLead, false};
    const std::optional<ViewSource> source = aHost.mPlan.Next(contacts, mNow);
    if (source == ViewSource::Lead) {
      ++mToLead;
      AskLead(aHost);
    } else if (source == ViewSource::Helper) {
      ++mToHelpers;
      AskHelper(aHost);
    } else if (source) {
      ++mStoreCalls;
      AskStore(aHost, *source);
    }
  }

  void AskLead(Host& aHost) {
    if (!mLeadReachable) {
      aHost.mPlan.RecordMiss(ViewSource::Lead, mNow);
      return;
    }
    aHost.mAsked = mNow;
    mQueue.push_back({static_cast<size_t>(&aHost - mHosts.data()), mNow});
  }

  void AskHelper(Host& aHost) {
    const size_t chosen = (aHost.mSeed + aHost.mHelper) % kHelpers;
    std::optional<Millis>& readAt = mHelpers[chosen];
    const bool old = !readAt || mNow - *readAt >= Millis(1000);
    if (old && mStoreAnswers) {
      // The helper was not reading the store yet, so this host still gets its
      // old list.
      ++mStoreCalls;
      const Millis before = readAt.value_or(mNow - kBound);
      readAt = mNow;
      RecordAnswer(aHost, ViewSource::Helper, mNow, mNow - before);
      return;
    }
    RecordAnswer(aHost, ViewSource::Helper, mNow,
                 mNow - readAt.value_or(kStart));
    aHost.mHelper += aHost.mPlan.Misses(ViewSource::Helper) > 1 ? 1 : 0;
  }

  void AskStore(Host& aHost, ViewSource aSource) {
    if (!mStoreAnswers) {
      aHost.mPlan.RecordMiss(aSource, mNow);
    } else if (aSource == ViewSource::LookUp) {
      aHost.mKnowsLead = true;
      aHost.mPlan.LeadFound(mNow);
    } else {
      RecordAnswer(aHost, ViewSource::Store, mNow, Millis(0));
    }
  }

  Millis mNow = kStart;
  std::vector<Host> mHosts;
  /// Time of each helper's last read of the store.
  std::vector<std::optional<Millis>> mHelpers;
  std::deque<PendingRequest> mQueue;
  double mCredit = 0;
  Millis mStoreAge;
};

}  // namespace

class ViewPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewPlanTest);
  CPPUNIT_TEST(CalmNodesAskOncePerPeriod);
  CPPUNIT_TEST(SilentSourceIsAskedLessOften);
  CPPUNIT_TEST(FirstStartWaitsForTheLeadToBeClaimed);
  CPPUNIT_TEST(UsualAnswerTimeSetsTheTimeout);
  CPPUNIT_TEST(OldListLeadsToTheNextSource);
  CPPUNIT_TEST(CandidateReadsTheStoreWhileNobodyLeads);
  CPPUNIT_TEST(RequestsToANewLeadAreSpread);
  CPPUNIT_TEST(AllNodesGetAViewAfterTheLossOfAllProcesses);
  CPPUNIT_TEST(SaturatedLeadIsAskedLessOften);
  CPPUNIT_TEST(SilentLeadDoesNotBreakTheBound);
  CPPUNIT_TEST(RecoveredLeadIsAskedAgain);
  CPPUNIT_TEST(RestartOfHalfTheHostsReadsNoLists);
  CPPUNIT_TEST(UnreachableStoreIsReadRarely);
  CPPUNIT_TEST_SUITE_END();

  void CalmNodesAskOncePerPeriod() {
    Deployment calm(250);
    calm.ReachCalmState();
    calm.Run(Millis(12000));
    // Ten periods of 1,200 ms, with a jitter of a tenth.
    CPPUNIT_ASSERT(calm.mToLead > 2200 && calm.mToLead < 2800);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, calm.mToHelpers);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, calm.mStoreCalls);
    CPPUNIT_ASSERT(calm.OldestList() < kBound);
  }

  void SilentSourceIsAskedLessOften() {
    ViewPlan plan(kBound, 1);
    const ViewContacts contacts{true, false, false};
    plan.RecordAnswer(ViewSource::Lead, kStart, Millis(0), kStart);
    Millis now = kStart + Millis(1400);
    Millis longest;
    for (int i = 0; i < 8; ++i) {
      plan.RecordMiss(ViewSource::Lead, now);
      const Millis missed = now;
      while (plan.Next(contacts, now) != ViewSource::Lead) {
        now += kTick;
      }
      longest = std::max(longest, now - missed);
    }
    // At most four periods, and at least half of that once the maximum is
    // reached.
    CPPUNIT_ASSERT(longest >= Millis(2400) && longest <= Millis(4810));
    plan.RecordAnswer(ViewSource::Lead, now, Millis(0), now);
    CPPUNIT_ASSERT_EQUAL(0, plan.Misses(ViewSource::Lead));
  }

  // A node does not look for the lead while it is being claimed. A restarted
  // node looks at once, because clients are waiting for it.
  void FirstStartWaitsForTheLeadToBeClaimed() {
    const ViewContacts nobody;
    ViewPlan first(kBound, 1);
    first.Begin(true, kStart);
    CPPUNIT_ASSERT(!first.Next(nobody, kStart + Millis(700)));
    CPPUNIT_ASSERT(first.Next(nobody, kStart + Millis(1600)) ==
                   ViewSource::LookUp);
    ViewPlan restarted(kBound, 1);
    restarted.Begin(false, kStart);
    CPPUNIT_ASSERT(restarted.Next(nobody, kStart) == ViewSource::LookUp);
  }

  void UsualAnswerTimeSetsTheTimeout() {
    ViewPlan plan(kBound, 1);
    CPPUNIT_ASSERT(plan.RequestTimeout() == Millis(300));
    for (int i = 0; i < 40; ++i) {
      plan.RecordAnswer(ViewSource::Lead, kStart, Millis(0),
                        kStart + Millis(120));
    }
    CPPUNIT_ASSERT(plan.RequestTimeout() >= Millis(470) &&
                   plan.RequestTimeout() <= Millis(480));
    for (int i = 0; i < 40; ++i) {
      plan.RecordAnswer(ViewSource::Lead, kStart, Millis(0),
                        kStart + Millis(500));
    }
    // Two answers must fit into the bound along with everything else.
    CPPUNIT_ASSERT(plan.RequestTimeout() == Millis(600));
  }

  void OldListLeadsToTheNextSource() {
    ViewPlan plan(kBound, 1);
    const ViewContacts contacts{true, true, false};
    plan.RecordAnswer(ViewSource::Lead, kStart, Millis(3000), kStart);
    CPPUNIT_ASSERT(!plan.Fresh(kStart));
    CPPUNIT_ASSERT(plan.Next(contacts, kStart) == ViewSource::Helper);
    plan.RecordAnswer(ViewSource::Helper, kStart, Millis(200), kStart);
    CPPUNIT_ASSERT(plan.Fresh(kStart));
    CPPUNIT_ASSERT(!plan.Next(contacts, kStart));
  }

  void CandidateReadsTheStoreWhileNobodyLeads() {
    ViewPlan plan(kBound, 1);
    const ViewContacts alone{false, true, true};
    CPPUNIT_ASSERT(plan.Next(alone, kStart) == ViewSource::Store);
    plan.RecordAnswer(ViewSource::Store, kStart, Millis(0), kStart);
    CPPUNIT_ASSERT(!plan.Next(alone, kStart + Millis(800)));
    CPPUNIT_ASSERT(plan.Next(alone, kStart + Millis(1110)) ==
                   ViewSource::Store);
    const ViewContacts led{true, true, true};
    CPPUNIT_ASSERT(plan.Next(led, kStart) == ViewSource::Lead);
  }

  void RequestsToANewLeadAreSpread() {
    const ViewContacts contacts{true, true, false};
    int64_t atOnce = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
      ViewPlan plan(kBound, seed);
      plan.RecordAnswer(ViewSource::Helper, kStart, Millis(0), kStart);
      plan.LeadChanged(kStart);
      const auto next = plan.Next(contacts, kStart + Millis(200));
      atOnce += next == ViewSource::Lead ? 1 : 0;
      CPPUNIT_ASSERT(plan.Next(contacts, kStart + Millis(300)) ==
                     ViewSource::Lead);
    }
    CPPUNIT_ASSERT(atOnce > 15 && atOnce < 60);
  }

  // The lead takes over steps and answers 250 requests a second. Each node has
  // a view within three seconds, most of them without reading the store.
  void AllNodesGetAViewAfterTheLossOfAllProcesses() {
    Deployment restarted(250);
    restarted.mLeadPerTick = 2.5;
    restarted.Run(Millis(3000));
    CPPUNIT_ASSERT_EQUAL(int64_t{250}, restarted.Fresh());
    // One lookup for each host, and reads of 12 helpers.
    CPPUNIT_ASSERT(restarted.mStoreCalls < 350);
    restarted.mLeadPerTick = 20;
    restarted.Run(Millis(5000));
    restarted.ResetCounts();
    restarted.Run(Millis(10000));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, restarted.mUnanswered);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, restarted.mStoreCalls);
  }

  // The lead answers 40 requests a second for 10 s, while 210 are sent in a
  // calm state. If unanswered requests were repeated at once, it would get
  // some 500 a second.
  void SaturatedLeadIsAskedLessOften() {
    Deployment late(250);
    late.ReachCalmState();
    late.mLeadPerTick = 0.4;
    late.Run(Millis(3000));
    late.ResetCounts();
    late.Run(Millis(7000));
    CPPUNIT_ASSERT(late.mToLead < 7 * 110);
    CPPUNIT_ASSERT_EQUAL(int64_t{250}, late.Fresh());
    CPPUNIT_ASSERT(late.mStoreCalls < 7 * 14);
    late.mLeadPerTick = 20;
    late.Run(Millis(5000));
    late.ResetCounts();
    late.Run(Millis(5000));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, late.mUnanswered);
  }

  void SilentLeadDoesNotBreakTheBound() {
    Deployment silent(300);
    silent.ReachCalmState();
    silent.mLeadPerTick = 0;
    for (int i = 0; i < 300; ++i) {
      silent.Run(Millis(100));
      CPPUNIT_ASSERT(silent.OldestList() < kBound);
    }
    // Helpers read the store once a second; other nodes do not read it.
    CPPUNIT_ASSERT(silent.mStoreCalls < 30 * 14);
    silent.ResetCounts();
    silent.Run(Millis(30000));
    CPPUNIT_ASSERT(silent.mToLead < 30 * 300 / 3);
  }

  void RecoveredLeadIsAskedAgain() {
    Deployment frozen(300);
    frozen.ReachCalmState();
    frozen.mLeadPerTick = 0;
    frozen.Run(Millis(4000));
    CPPUNIT_ASSERT(frozen.OldestList() < kBound);
    frozen.mLeadPerTick = 20;
    frozen.Run(Millis(5000));
    frozen.ResetCounts();
    frozen.Run(Millis(5000));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, frozen.mUnanswered);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, frozen.mToHelpers);
    CPPUNIT_ASSERT_EQUAL(int64_t{300}, frozen.Fresh());
  }

  void RestartOfHalfTheHostsReadsNoLists() {
    Deployment half(300);
    half.ReachCalmState();
    half.RestartHalf();
    half.Run(Millis(1000));
    CPPUNIT_ASSERT_EQUAL(int64_t{300}, half.Fresh());
    // One lookup of the lead for each restarted host, and no read of the list.
    CPPUNIT_ASSERT(half.mStoreCalls <= 150);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, half.mUnanswered);
  }

  // An outage of 4.5 s. Guards against every node reading the store itself
  // after two seconds of an outage, and again every 1.5 s.
  void UnreachableStoreIsReadRarely() {
    Deployment outage(250);
    outage.ReachCalmState();
    outage.mStoreAnswers = false;
    outage.Run(Millis(4500));
    CPPUNIT_ASSERT(outage.mStoreCalls < 50);
    outage.mStoreAnswers = true;
    outage.Run(Millis(3000));
    CPPUNIT_ASSERT_EQUAL(int64_t{250}, outage.Fresh());
    CPPUNIT_ASSERT(outage.mStoreCalls < 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewPlanTest);

}  // namespace rillwall
