#include "rillwall/policy_document.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class PolicyDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyDocumentTest);
  CPPUNIT_TEST(TestChangesAreFoundByNonceAndRevision);
  CPPUNIT_TEST(TestRoundTrip);
  CPPUNIT_TEST(TestHistoryIsBounded);
  CPPUNIT_TEST(TestMalformed);
  CPPUNIT_TEST_SUITE_END();

  static PolicyDocument WithShare(const PolicyDocument& aDocument,
                                  const std::string& aNonce, int aShare) {
    PolicyChange change;
    change.mName = "houses";
    change.mAuthor = "op";
    change.mNonce = aNonce;
    const auto next = aDocument.With(change, "house{ name = \"x\", share = " +
                                                 std::to_string(aShare) + " }");
    CPPUNIT_ASSERT(next.has_value());
    return *next;
  }

 public:
  void TestChangesAreFoundByNonceAndRevision() {
    const PolicyDocument one = WithShare(PolicyDocument(), "n1", 1);
    const PolicyDocument two = WithShare(one, "n2", 2);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, two.mSet.Revision());
    CPPUNIT_ASSERT(two.FindNonce("n1") != nullptr);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, two.FindNonce("n1")->mRevision);
    CPPUNIT_ASSERT_EQUAL(std::string("n2"), two.FindRevision(2)->mNonce);
    CPPUNIT_ASSERT(two.FindNonce("n3") == nullptr);
  }

  void TestRoundTrip() {
    const PolicyDocument document = WithShare(PolicyDocument(), "n", 3);
    const auto decoded = PolicyDocument::Decode(document.Encode());
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(*decoded == document);
  }

  void TestHistoryIsBounded() {
    PolicyDocument document;
    constexpr int kMany = 200;
    for (int i = 1; i <= kMany; ++i) {
      document = WithShare(document, "n" + std::to_string(i), i);
    }
    CPPUNIT_ASSERT(document.mChanges.size() <= 128);
    CPPUNIT_ASSERT(document.FindNonce("n200") != nullptr);
    CPPUNIT_ASSERT(document.FindNonce("n1") == nullptr);
  }

  void TestMalformed() {
    const std::string good = WithShare(PolicyDocument(), "n", 1).Encode();
    for (size_t size = 0; size < good.size(); ++size) {
      CPPUNIT_ASSERT(!PolicyDocument::Decode(good.substr(0, size)).has_value());
    }
    CPPUNIT_ASSERT(!PolicyDocument::Decode(R"({"set":"{}"})").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyDocumentTest);

}  // namespace rillwall
