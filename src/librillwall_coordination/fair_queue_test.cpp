#include "fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

#include "wait_estimate.h"

namespace rillwall {

namespace {

/// Tests with calls of three tenants in one queue for a few slots.
class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(ServesByShareInTheLongRun);
  CPPUNIT_TEST(WrongEstimatesGiveNoAdvantage);
  CPPUNIT_TEST(IdleTenantGetsNoCredit);
  CPPUNIT_TEST(LightTenantIsServedNext);
  CPPUNIT_TEST(ReplacesIdleTenants);
  CPPUNIT_TEST(EstimatesTheWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mQueue = FairQueue();
    for (size_t index = 0; index < kTenants; ++index) {
      mTenant[index] =
          mQueue.FindOrAdd(std::string(1, static_cast<char>('a' + index)));
      mQueue.SetShare(mTenant[index], kShares[index]);
      mServed[index] = 0;
    }
  }

  /// Keeps the queues of all tenants full while slots serve calls of random
  /// length.
  /// \param aClaimed maps the actual tokens of a call to the expected ones
  template <class Claimed>
  void Serve(int aCalls, Claimed&& aClaimed) {
    struct Run {
      size_t mTenant;
      int64_t mClaimed;
      int64_t mTokens;
    };
    constexpr size_t kSlots = 12;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> length(1.0 / 300);
    std::deque<Run> running;
    for (int call = 0; call < aCalls; ++call) {
      for (size_t index = 0; index < kTenants; ++index) {
        while (mQueue.Size(mTenant[index]) < 3) {
          mQueue.Push(mTenant[index], index);
        }
      }
      size_t tenant = 0;
      mQueue.TakeFirst([&](uint64_t aTicket) {
        tenant = aTicket;
        return true;
      });
      const auto tokens = 1 + static_cast<int64_t>(length(random));
      const int64_t claimed = aClaimed(tenant, tokens);
      mQueue.Started(mTenant[tenant], claimed);
      running.push_back({tenant, claimed, tokens});
      if (running.size() == kSlots) {
        const Run done = running.front();
        running.pop_front();
        mQueue.Ended(mTenant[done.mTenant], done.mTokens - done.mClaimed);
        mServed[done.mTenant] += static_cast<double>(done.mTokens);
      }
    }
  }

  void CheckShares() {
    const double all = mServed[0] + mServed[1] + mServed[2];
    for (size_t index = 0; index < kTenants; ++index) {
      const double part = mServed[index] / all;
      const double expected = static_cast<double>(kShares[index]) / 6;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, part / expected, 0.03);
    }
  }

  void ServesByShareInTheLongRun() {
    Serve(20000, [](size_t, int64_t aTokens) { return aTokens; });
    CheckShares();
  }

  void WrongEstimatesGiveNoAdvantage() {
    Serve(20000, [](size_t aTenant, int64_t aTokens) {
      return aTenant == 0 ? int64_t{1} : aTokens * 3;
    });
    CheckShares();
  }

  void IdleTenantGetsNoCredit() {
    for (int call = 0; call < 1000; ++call) {
      mQueue.Started(mTenant[0], 100);
    }
    // Tenant b was idle, so it gets no credit for the 100,000 tokens of tenant
    // a.
    mQueue.Push(mTenant[0], 0);
    mQueue.Push(mTenant[1], 1);
    int inRow = 0;
    for (int call = 0; call < 40; ++call) {
      const auto taken = mQueue.TakeFirst([this](uint64_t aTicket) {
        mQueue.Started(mTenant[aTicket], 100);
        return true;
      });
      if (*taken == 0) {
        break;
      }
      ++inRow;
      mQueue.Push(mTenant[1], 1);
    }
    CPPUNIT_ASSERT(inRow <= 3);
  }

  void ReplacesIdleTenants() {
    for (int name = 0; name < 100000; ++name) {
      const FairQueue::Tenant tenant = mQueue.FindOrAdd(std::to_string(name));
      mQueue.Started(tenant, 10);
      mQueue.Ended(tenant, -10);
    }
    CPPUNIT_ASSERT(mQueue.Tenants() < 2000);
    CPPUNIT_ASSERT_EQUAL(mTenant[1], mQueue.FindOrAdd("b"));
  }

  void LightTenantIsServedNext() {
    for (uint64_t ticket = 0; ticket < 1000; ++ticket) {
      mQueue.Push(mTenant[0], ticket);
    }
    for (int call = 0; call < 10; ++call) {
      mQueue.TakeFirst([](uint64_t) { return true; });
      mQueue.Started(mTenant[0], 100);
    }
    CPPUNIT_ASSERT(mQueue.CallsAhead(mTenant[1]) <= 1.0);
    CPPUNIT_ASSERT(mQueue.CallsAhead(mTenant[0]) > 900);
    mQueue.Push(mTenant[1], 5000);
    const auto taken = mQueue.TakeFirst([](uint64_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(uint64_t{5000}, *taken);
    CPPUNIT_ASSERT_EQUAL(uint64_t{999}, *mQueue.ShedCandidate());
  }

  void EstimatesTheWait() {
    WaitEstimate estimate;
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, estimate.Wait(50, 10, Millis(0)).Count());
    estimate.Ended(Millis(4000));
    // In a burst: 10 calls that run for 4 s free a slot 2.5 times per second.
    CPPUNIT_ASSERT_EQUAL(int64_t{8000},
                         estimate.Wait(20, 10, Millis(0)).Count());
    for (int64_t now = 0; now < 20000; now += 100) {
      estimate.Started(Millis(now));
    }
    const Millis wait = estimate.Wait(20, 10, Millis(20000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, static_cast<double>(wait.Count()), 100);
  }

 private:
  static constexpr size_t kTenants = 3;
  static constexpr int64_t kShares[kTenants] = {1, 2, 3};
  FairQueue mQueue;
  FairQueue::Tenant mTenant[kTenants] = {};
  double mServed[kTenants] = {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace

}  // namespace rillwall
