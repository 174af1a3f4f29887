/// \file
/// Tests of which requests count as equal.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/request_digest.h"

namespace rillwall {

class RequestDigestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestDigestTest);
  CPPUNIT_TEST(EqualPartsHaveEqualDigests);
  CPPUNIT_TEST(EachPartChangesTheDigest);
  CPPUNIT_TEST(PartBoundariesChangeTheDigest);
  CPPUNIT_TEST(TextRoundTrips);
  CPPUNIT_TEST(InvalidTextIsRejected);
  CPPUNIT_TEST_SUITE_END();

  static constexpr RequestParts kParts{"POST", "h", "/p?q=1", "a", "body"};

  void EqualPartsHaveEqualDigests() {
    CPPUNIT_ASSERT(RequestDigest(kParts) == RequestDigest(kParts));
    CPPUNIT_ASSERT(RequestDigest(kParts) != RequestDigest());
  }

  void EachPartChangesTheDigest() {
    std::string_view RequestParts::*const parts[] = {
        &RequestParts::mMethod, &RequestParts::mHost, &RequestParts::mTarget,
        &RequestParts::mAccount, &RequestParts::mBody};
    for (const auto part : parts) {
      RequestParts other = kParts;
      other.*part = "another";
      CPPUNIT_ASSERT(RequestDigest(kParts) != RequestDigest(other));
    }
  }

  void PartBoundariesChangeTheDigest() {
    const RequestParts one{"POST", "h", "/p", "ab", "c"};
    const RequestParts other{"POST", "h", "/p", "a", "bc"};
    CPPUNIT_ASSERT(RequestDigest(one) != RequestDigest(other));
  }

  void TextRoundTrips() {
    const RequestDigest digest(kParts);
    CPPUNIT_ASSERT_EQUAL(size_t{32}, digest.Text().size());
    CPPUNIT_ASSERT(digest == *RequestDigest::Parse(digest.Text()));
  }

  void InvalidTextIsRejected() {
    CPPUNIT_ASSERT(!RequestDigest::Parse(""));
    CPPUNIT_ASSERT(!RequestDigest::Parse(std::string(31, 'a')));
    CPPUNIT_ASSERT(!RequestDigest::Parse(std::string(32, 'A')));
    CPPUNIT_ASSERT(!RequestDigest::Parse(std::string(32, 'g')));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDigestTest);

}  // namespace rillwall
