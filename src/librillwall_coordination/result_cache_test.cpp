/// \file
/// Tests of the cache of results of other nodes.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/result_cache.h"

namespace rillwall {

namespace {

std::vector<RolloutResult> Results(int aFirst, int aCount) {
  std::vector<RolloutResult> results;
  for (int i = aFirst; i < aFirst + aCount; ++i) {
    RolloutResult result;
    result.mItem = "i" + std::to_string(i);
    result.mOutput = std::string(1000, 'x');
    results.push_back(result);
  }
  return results;
}

}  // namespace

class ResultCacheTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResultCacheTest);
  CPPUNIT_TEST(KeepsPositionsInOrder);
  CPPUNIT_TEST(OverlappingResultsAreAddedOnce);
  CPPUNIT_TEST(ReadStopsAtAGap);
  CPPUNIT_TEST(LeastRecentlyReadStepIsDropped);
  CPPUNIT_TEST_SUITE_END();

  ResultCache mCache{10000};

  void KeepsPositionsInOrder() {
    mCache.Add("s", 0, 9, Results(0, 2));
    mCache.Add("s", 2, 9, Results(2, 1));
    CPPUNIT_ASSERT(Results(0, 3) == mCache.From("s", 0));
    CPPUNIT_ASSERT_EQUAL(int64_t{9}, mCache.Total("s"));
    CPPUNIT_ASSERT(mCache.From("other", 0).empty());
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, mCache.Total("other"));
  }

  void OverlappingResultsAreAddedOnce() {
    mCache.Add("s", 0, 9, Results(0, 2));
    mCache.Add("s", 1, 9, Results(1, 2));
    mCache.Add("s", 0, 9, Results(0, 1));
    CPPUNIT_ASSERT(Results(0, 3) == mCache.From("s", 0));
  }

  void ReadStopsAtAGap() {
    mCache.Add("s", 0, 9, Results(0, 1));
    mCache.Add("s", 2, 9, Results(2, 1));
    CPPUNIT_ASSERT(Results(0, 1) == mCache.From("s", 0));
    CPPUNIT_ASSERT(mCache.From("s", 1).empty());
    CPPUNIT_ASSERT(Results(2, 1) == mCache.From("s", 2));
  }

  void LeastRecentlyReadStepIsDropped() {
    mCache.Add("one", 0, 9, Results(0, 3));
    mCache.Add("two", 0, 9, Results(0, 3));
    mCache.From("one", 0);
    mCache.Add("three", 0, 9, Results(0, 3));
    CPPUNIT_ASSERT(mCache.From("two", 0).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mCache.From("one", 0).size());
    CPPUNIT_ASSERT(mCache.Bytes() <= 10000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultCacheTest);

}  // namespace rillwall
