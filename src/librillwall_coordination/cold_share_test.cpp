/// \file
/// Load pattern: replicas that come back cold, a whole availability zone of
/// them at once, behind few and behind many hosts.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "rillwall/cold_share.h"
#include "rillwall/replica_pool.h"

namespace rillwall {

namespace {

constexpr double kRate = 17;
/// One and a half times the rate and five more end a replica.
constexpr int64_t kMost = 30;
constexpr Millis kSecond{1000};

std::string HostName(size_t aIndex) {
  return "entry-zone-" + std::to_string(aIndex);
}

ColdShare ShareOf(size_t aHost, size_t aHosts) {
  ColdShare share;
  share.SetHost(HostName(aHost), true);
  share.SetHostCount(aHosts);
  return share;
}

Replica ColdReplica(size_t aIndex) {
  Replica replica;
  replica.mId = "i-" + std::to_string(aIndex);
  replica.mService = "s";
  replica.mZone = "z";
  replica.mSlots = 1000;
  replica.mCold = true;
  return replica;
}

ServiceSpec ColdService() {
  ServiceSpec service;
  service.mName = "s";
  service.mColdPerSecond = kRate;
  return service;
}

ReplicaRequirements Wish() {
  ReplicaRequirements wish;
  wish.mService = "s";
  wish.mZone = "z";
  return wish;
}

}  // namespace

class ColdShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdShareTest);
  CPPUNIT_TEST(AllHostsTogetherKeepTheRate);
  CPPUNIT_TEST(SlowRatesAreKeptToo);
  CPPUNIT_TEST(TwoOwnersKeepTheBound);
  CPPUNIT_TEST(UnknownNumberOfHostsIsTakenForMany);
  CPPUNIT_TEST(WindowSlides);
  CPPUNIT_TEST(WholeZoneComesBackCold);
  CPPUNIT_TEST(ColdOneIsUsedWhenTheOthersAreFull);
  CPPUNIT_TEST(WarmReplicaIsNotHeldBack);
  CPPUNIT_TEST_SUITE_END();

  /// \return requests a second that all hosts may send to one replica
  static int64_t AtReplica(size_t aReplica, size_t aHosts, size_t aTold,
                           double aRate) {
    int64_t sum = 0;
    const std::string id = "i-" + std::to_string(aReplica);
    for (size_t host = 0; host < aHosts; ++host) {
      sum += ShareOf(host, aTold).PerSecond(id, aRate);
    }
    return sum;
  }

  void AllHostsTogetherKeepTheRate() {
    constexpr size_t kReplicas = 200;
    for (const size_t hosts : {1, 3, 9, 16, 74, 300, 985, 1780}) {
      int64_t sum = 0;
      for (size_t replica = 0; replica < kReplicas; ++replica) {
        const int64_t here = AtReplica(replica, hosts, hosts, kRate);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(here), here <= kMost);
        sum += here;
      }
      // On average half of the rate, of which rounding down takes some.
      CPPUNIT_ASSERT(sum <= static_cast<int64_t>(kReplicas) * 10);
      CPPUNIT_ASSERT(sum > static_cast<int64_t>(kReplicas) * 2);
    }
  }

  void SlowRatesAreKeptToo() {
    for (const size_t hosts : {9, 74, 985}) {
      for (size_t replica = 0; replica < 500; ++replica) {
        const int64_t here = AtReplica(replica, hosts, hosts, 1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(here), here <= 6);
      }
    }
  }

  void TwoOwnersKeepTheBound() {
    ColdShare owner;
    owner.SetHost("disk-1", false);
    const int64_t owners = 2 * owner.PerSecond("i-1", kRate);
    CPPUNIT_ASSERT(owners + static_cast<int64_t>(kRate / 2) <= kMost);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, owner.PerSecond("i-1", 0.5));
  }

  void UnknownNumberOfHostsIsTakenForMany() {
    CPPUNIT_ASSERT(AtReplica(1, 985, 0, kRate) <= kMost);
    CPPUNIT_ASSERT(AtReplica(1, 985, 1, kRate) > kMost);
  }

  void WindowSlides() {
    SendWindow window;
    for (int64_t at = 0; at < 3; ++at) {
      CPPUNIT_ASSERT(window.Allows(3, Millis(at * 300)));
      window.Sent(Millis(at * 300), 3);
    }
    CPPUNIT_ASSERT(!window.Allows(3, Millis(999)));
    CPPUNIT_ASSERT(window.Allows(3, Millis(1100)));
    window.Sent(Millis(1100), 3);
    CPPUNIT_ASSERT(!window.Allows(3, Millis(1300)));
    CPPUNIT_ASSERT(!window.Allows(0, Millis(9000)));
  }

  using Sends = std::map<std::string, std::vector<Millis>>;

  /// A host that presses as hard as it can; each request ends at once.
  static void Press(ReplicaPool& aPool, Sends& aSends) {
    for (Millis now{10000}; now < Millis(13000); now = now + Millis(10)) {
      const std::optional<std::string> id = aPool.Choose(Wish(), now);
      if (!id) {
        continue;
      }
      aPool.Start(*id);
      aPool.Sent(*id, now);
      aPool.End(*id, ReplicaOutcome::Abandoned, Millis(0), now);
      aSends[*id].push_back(now);
    }
  }

  void WholeZoneComesBackCold() {
    constexpr size_t kHosts = 9;
    constexpr size_t kReplicas = 6;
    Sends sends;
    for (size_t host = 0; host < kHosts; ++host) {
      ReplicaPool pool;
      pool.SetServices({ColdService()});
      pool.Cold() = ShareOf(host, kHosts);
      std::vector<Replica> replicas;
      for (size_t i = 0; i < kReplicas; ++i) {
        replicas.push_back(ColdReplica(i));
      }
      pool.Update(replicas, false);
      Press(pool, sends);
    }
    size_t all = 0;
    for (auto& [id, times] : sends) {
      std::sort(times.begin(), times.end());
      for (auto at = times.begin(); at != times.end(); ++at) {
        const auto end = std::lower_bound(at, times.end(), *at + kSecond);
        CPPUNIT_ASSERT(end - at <= kMost);
      }
      all += times.size();
    }
    // They are used as far as hosts may.
    CPPUNIT_ASSERT(all > kReplicas * 3 * 2);
  }

  void ColdOneIsUsedWhenTheOthersAreFull() {
    ReplicaPool pool;
    pool.SetServices({ColdService()});
    pool.Cold() = ShareOf(0, 1);
    Replica warm = ColdReplica(1);
    warm.mCold = false;
    warm.mSlots = 1;
    pool.Update({ColdReplica(0), warm}, false);
    CPPUNIT_ASSERT_EQUAL(warm.mId, *pool.Choose(Wish(), kSecond));
    pool.Start(warm.mId);
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"), *pool.Choose(Wish(), kSecond));
  }

  void WarmReplicaIsNotHeldBack() {
    ReplicaPool pool;
    Replica warm = ColdReplica(1);
    warm.mCold = false;
    pool.Update({warm}, false);
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(pool.Choose(Wish(), kSecond).has_value());
      pool.Sent(warm.mId, kSecond);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdShareTest);

}  // namespace rillwall
