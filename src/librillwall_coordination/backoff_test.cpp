/// \file
/// Tests of backoff delays and jitter.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "rillwall/backoff.h"

namespace rillwall {

class BackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackoffTest);
  CPPUNIT_TEST(DelayDoublesUpToTheLimit);
  CPPUNIT_TEST(JitterStaysWithinItsBounds);
  CPPUNIT_TEST(CandidatesDoNotClaimAtOnce);
  CPPUNIT_TEST_SUITE_END();

  void DelayDoublesUpToTheLimit() {
    CPPUNIT_ASSERT(BackoffDelay(1, Millis(100), Millis(350)) == Millis(100));
    CPPUNIT_ASSERT(BackoffDelay(2, Millis(100), Millis(350)) == Millis(200));
    CPPUNIT_ASSERT(BackoffDelay(3, Millis(100), Millis(350)) == Millis(350));
    CPPUNIT_ASSERT(BackoffDelay(99, Millis(100), Millis(350)) == Millis(350));
  }

  void JitterStaysWithinItsBounds() {
    Jitter jitter(7);
    for (int i = 0; i < 1000; ++i) {
      const Millis half = jitter.EqualJitter(Millis(100));
      CPPUNIT_ASSERT(half >= Millis(50) && half <= Millis(100));
      CPPUNIT_ASSERT(jitter.FullJitter(Millis(10)) <= Millis(10));
      CPPUNIT_ASSERT(jitter.FullJitter(Millis(0)) == Millis(0));
    }
  }

  // 24 candidates learn at the same moment that a claim is free, and a claim
  // takes 8 ms, two calls to the store. The seeds are hashes of run ids, as in
  // production.
  void CandidatesDoNotClaimAtOnce() {
    constexpr int kCandidates = 24;
    constexpr int kRounds = 100;
    int racing = 0;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<Millis> waits;
      for (int i = 0; i < kCandidates; ++i) {
        const std::string run =
            std::to_string(round * 7919 + i) + "-1778200153";
        waits.push_back(
            Jitter(std::hash<std::string>()(run)).FullJitter(Millis(60)));
      }
      const Millis first = *std::min_element(waits.begin(), waits.end());
      racing += static_cast<int>(std::count_if(
          waits.begin(), waits.end(),
          [first](Millis aWait) { return aWait < first + Millis(8); }));
    }
    // About a fifth of the candidates start within the time of the first claim.
    // Without jitter all 24 would.
    CPPUNIT_ASSERT(racing < kRounds * 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackoffTest);

}  // namespace rillwall
