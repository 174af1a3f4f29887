/// \file
/// Tests of listing and changing suspected requests as an operator.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/json.h"
#include "rillwall/suspects.h"
#include "rollout_test_support.h"

namespace rillwall {

class SuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectsTest);
  CPPUNIT_TEST(ListsSuspects);
  CPPUNIT_TEST(ClearedRequestIsNotHeld);
  CPPUNIT_TEST(OperatorHoldsARequest);
  CPPUNIT_TEST(InvalidCallsNameTheRemedy);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  TestNode mTest{mWorld};
  const RequestDigest mDigest{RequestParts{"POST", "h", "/p", "", ""}};

  HttpResponse Send(const std::string& aMethod,
                    const std::string& aQuery = "") {
    HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = kSuspectsPath + aQuery;
    return HandleSuspectsRequest(mTest.mNode, request);
  }
  HttpResponse PostAction(const std::string& aAction) {
    return Send("POST", "?action=" + aAction + "&request=" + mDigest.Text());
  }
  bool Held() { return mTest.mNode.mCrashes.Held(mDigest); }

  void ListsSuspects() {
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"suspects":[]})"), Send("GET").mBody);
    const int64_t now = WallClockMs();
    mTest.mNode.mCrashes.Merge({{mDigest, "r1", now, false, "POST h/p"}});
    const json::object listed = *ParseJsonObject(Send("GET").mBody);
    const json::object& row =
        listed.at("suspects").as_array().at(0).as_object();
    CPPUNIT_ASSERT(row.at("request").as_string() == mDigest.Text().c_str());
    CPPUNIT_ASSERT(row.at("what").as_string() == "POST h/p");
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, row.at("crashes").to_number<int64_t>());
    CPPUNIT_ASSERT(!row.at("held").as_bool());
    CPPUNIT_ASSERT_EQUAL(now, row.at("last_ms").to_number<int64_t>());
  }

  void ClearedRequestIsNotHeld() {
    for (const char* replica : {"r1", "r2", "r3"}) {
      mTest.mNode.mCrashes.Merge(
          {{mDigest, replica, WallClockMs(), false, ""}});
    }
    CPPUNIT_ASSERT(Held());
    CPPUNIT_ASSERT_EQUAL(200, PostAction("clear").mStatus);
    CPPUNIT_ASSERT(!Held());
    CPPUNIT_ASSERT_EQUAL(404, PostAction("clear").mStatus);
  }

  void OperatorHoldsARequest() {
    CPPUNIT_ASSERT_EQUAL(200, PostAction("hold").mStatus);
    CPPUNIT_ASSERT(Held());
    // The records are to be written for the other hosts.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mTest.mNode.mCrashes.Unsaved(9).size());
  }

  void InvalidCallsNameTheRemedy() {
    CPPUNIT_ASSERT_EQUAL(400, Send("POST", "?action=clear&request=7").mStatus);
    const HttpResponse answer = PostAction("other");
    CPPUNIT_ASSERT_EQUAL(400, answer.mStatus);
    CPPUNIT_ASSERT(answer.mBody.find("remedy") != std::string::npos);
    CPPUNIT_ASSERT(!Held());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectsTest);

}  // namespace rillwall
