#include "rillwall/token.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class TokenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenTest);
  CPPUNIT_TEST(TestHash);
  CPPUNIT_TEST(TestMake);
  CPPUNIT_TEST(TestRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestHash() {
    // The value of: printf abcdefghsecret | sha256sum
    const std::string known =
        "45ef9ff2d26267cb28ef75cf759ea3417dba16998a34225da2b8393a3cc3e1e7";
    CPPUNIT_ASSERT_EQUAL(known, TokenHash("abcdefgh", "secret"));
    const TokenRule rule = {"abcdefgh", known, "caller", "sahne"};
    CPPUNIT_ASSERT(TokenMatches(rule, "secret"));
    CPPUNIT_ASSERT(!TokenMatches(rule, "secret "));
    CPPUNIT_ASSERT(!TokenMatches(rule, ""));
    CPPUNIT_ASSERT(!TokenMatches(TokenRule(), ""));
  }

  void TestMake() {
    const NewToken one = *MakeToken("operator", "ayse");
    const NewToken two = *MakeToken("caller", "sahne");
    CPPUNIT_ASSERT(one.mToken != two.mToken);
    const PolicyRules rules =
        *EvaluatePolicy("tokens", one.Declaration() + "\n" + two.Declaration());
    CPPUNIT_ASSERT(*FindToken(rules, one.mToken) == one.mRule);
    CPPUNIT_ASSERT(*FindToken(rules, two.mToken) == two.mRule);
    CPPUNIT_ASSERT(!FindToken(rules, one.mToken + "x"));
    CPPUNIT_ASSERT(one.Declaration().find(one.mToken) == std::string::npos);
  }

  void TestRefused() {
    CPPUNIT_ASSERT(!MakeToken("root", "ayse"));
    CPPUNIT_ASSERT(!MakeToken("caller", "a\", hash=\""));
    CPPUNIT_ASSERT(!MakeToken("", ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenTest);

}  // namespace rillwall
