/// \file
/// Tests of version labels, the staleness bound and the digest of a step.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/step.h"

namespace rillwall {

class LabelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LabelTest);
  CPPUNIT_TEST(JoinsEqualVersions);
  CPPUNIT_TEST(KeepsOrderAcrossVersions);
  CPPUNIT_TEST(BoundIsInclusive);
  CPPUNIT_TEST(DigestTellsContentsApart);
  CPPUNIT_TEST_SUITE_END();

  void JoinsEqualVersions() {
    Label label;
    label.Append(3, 5);
    label.Append(3, 0);
    label.Append(3, 2);
    const std::vector<VersionSpan> expected = {{3, 0, 7}};
    CPPUNIT_ASSERT(label.Spans() == expected);
  }

  void KeepsOrderAcrossVersions() {
    Label label;
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, label.Oldest());
    label.Append(4, 1);
    label.Append(3, 2);
    label.Append(4, 3);
    const std::vector<VersionSpan> expected = {{4, 0, 1}, {3, 1, 3}, {4, 3, 6}};
    CPPUNIT_ASSERT(label.Spans() == expected);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, label.Oldest());
    CPPUNIT_ASSERT_EQUAL(int64_t{6}, label.Tokens());
  }

  void BoundIsInclusive() {
    const StalenessBound bound{1, Millis(100)};
    CPPUNIT_ASSERT(WithinStalenessBound(bound, 4, 5, Millis(100)));
    CPPUNIT_ASSERT(!WithinStalenessBound(bound, 3, 5, Millis(0)));
    CPPUNIT_ASSERT(!WithinStalenessBound(bound, 5, 5, Millis(101)));
    const StalenessBound none{-1, Millis(-1)};
    CPPUNIT_ASSERT(WithinStalenessBound(none, 0, 99, Millis(1000000)));
  }

  void DigestTellsContentsApart() {
    const StepSpec spec{{"letters", 7}, 8, 100, {"ab", "c"}, 1};
    StepSpec other = spec;
    CPPUNIT_ASSERT_EQUAL(spec.Digest(), other.Digest());
    other.mPrompts = {"a", "bc"};
    CPPUNIT_ASSERT(spec.Digest() != other.Digest());
    CPPUNIT_ASSERT_EQUAL(std::string("step/letters/7"), spec.mId.Duty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LabelTest);

}  // namespace rillwall
