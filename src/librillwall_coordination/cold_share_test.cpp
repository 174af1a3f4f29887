/// \file
/// Load test: cold replicas, also a whole availability zone of them at once,
/// that get requests from few and from many hosts.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "rillwall/cold_share.h"
#include "rillwall/replica_pool.h"

namespace rillwall {

namespace {

constexpr double kRate = 17;
/// A replica crashes at one and a half times the rate plus five requests.
constexpr int64_t kMaxPerSecond = 30;
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

ReplicaRequirements Requirements() {
  ReplicaRequirements requirements;
  requirements.mService = "s";
  requirements.mZone = "z";
  return requirements;
}

}  // namespace

class ColdShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdShareTest);
  CPPUNIT_TEST(AllHostsTogetherStayWithinTheRate);
  CPPUNIT_TEST(LowRatesAreKept);
  CPPUNIT_TEST(TwoOwnersStayWithinTheBound);
  CPPUNIT_TEST(UnknownHostCountIsAssumedLarge);
  CPPUNIT_TEST(WindowSlides);
  CPPUNIT_TEST(ZoneOfColdReplicasStaysWithinTheBound);
  CPPUNIT_TEST(ColdReplicaIsUsedWhenOthersAreFull);
  CPPUNIT_TEST(WarmReplicaIsNotLimited);
  CPPUNIT_TEST_SUITE_END();

  /// \param aAssumedHosts number of hosts that each host assumes
  /// \return requests per second that all hosts together may send to one
  /// replica
  static int64_t RateAtReplica(size_t aReplica, size_t aHosts,
                               size_t aAssumedHosts, double aRate) {
    int64_t sum = 0;
    const std::string id = "i-" + std::to_string(aReplica);
    for (size_t host = 0; host < aHosts; ++host) {
      sum += ShareOf(host, aAssumedHosts).PerSecond(id, aRate);
    }
    return sum;
  }

  void AllHostsTogetherStayWithinTheRate() {
    constexpr size_t kReplicas = 200;
    for (const size_t hosts : {1, 3, 9, 16, 74, 300, 985, 1780}) {
      int64_t sum = 0;
      for (size_t replica = 0; replica < kReplicas; ++replica) {
        const int64_t rate = RateAtReplica(replica, hosts, hosts, kRate);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(rate), rate <= kMaxPerSecond);
        sum += rate;
      }
      // Half of the rate on average, less what is lost by rounding down.
      CPPUNIT_ASSERT(sum <= static_cast<int64_t>(kReplicas) * 10);
      CPPUNIT_ASSERT(sum > static_cast<int64_t>(kReplicas) * 2);
    }
  }

  void LowRatesAreKept() {
    for (const size_t hosts : {9, 74, 985}) {
      for (size_t replica = 0; replica < 500; ++replica) {
        const int64_t rate = RateAtReplica(replica, hosts, hosts, 1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(rate), rate <= 6);
      }
    }
  }

  void TwoOwnersStayWithinTheBound() {
    ColdShare owner;
    owner.SetHost("disk-1", false);
    const int64_t owners = 2 * owner.PerSecond("i-1", kRate);
    CPPUNIT_ASSERT(owners + static_cast<int64_t>(kRate / 2) <= kMaxPerSecond);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, owner.PerSecond("i-1", 0.5));
  }

  void UnknownHostCountIsAssumedLarge() {
    CPPUNIT_ASSERT(RateAtReplica(1, 985, 0, kRate) <= kMaxPerSecond);
    CPPUNIT_ASSERT(RateAtReplica(1, 985, 1, kRate) > kMaxPerSecond);
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

  /// Simulates a host that sends as fast as it is allowed to; each request ends
  /// at once.
  static void SendAsFastAsAllowed(ReplicaPool& aPool, Sends& aSends) {
    for (Millis now{10000}; now < Millis(13000); now = now + Millis(10)) {
      const std::optional<std::string> id = aPool.Choose(Requirements(), now);
      if (!id) {
        continue;
      }
      aPool.Start(*id);
      aPool.Sent(*id, now);
      aPool.End(*id, ReplicaOutcome::Abandoned, Millis(0), now);
      aSends[*id].push_back(now);
    }
  }

  void ZoneOfColdReplicasStaysWithinTheBound() {
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
      SendAsFastAsAllowed(pool, sends);
    }
    size_t all = 0;
    for (auto& [id, times] : sends) {
      std::sort(times.begin(), times.end());
      for (auto at = times.begin(); at != times.end(); ++at) {
        const auto end = std::lower_bound(at, times.end(), *at + kSecond);
        CPPUNIT_ASSERT(end - at <= kMaxPerSecond);
      }
      all += times.size();
    }
    // The limit does not prevent the replicas from being used.
    CPPUNIT_ASSERT(all > kReplicas * 3 * 2);
  }

  void ColdReplicaIsUsedWhenOthersAreFull() {
    ReplicaPool pool;
    pool.SetServices({ColdService()});
    pool.Cold() = ShareOf(0, 1);
    Replica warm = ColdReplica(1);
    warm.mCold = false;
    warm.mSlots = 1;
    pool.Update({ColdReplica(0), warm}, false);
    CPPUNIT_ASSERT_EQUAL(warm.mId, *pool.Choose(Requirements(), kSecond));
    pool.Start(warm.mId);
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"),
                         *pool.Choose(Requirements(), kSecond));
  }

  void WarmReplicaIsNotLimited() {
    ReplicaPool pool;
    Replica warm = ColdReplica(1);
    warm.mCold = false;
    pool.Update({warm}, false);
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(pool.Choose(Requirements(), kSecond).has_value());
      pool.Sent(warm.mId, kSecond);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdShareTest);

}  // namespace rillwall
