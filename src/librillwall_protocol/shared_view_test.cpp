/// \file
/// Tests of the messages by which nodes share their view of the store.

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "rillwall/shared_view.h"

namespace rillwall {

class SharedViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedViewTest);
  CPPUNIT_TEST(ViewRoundTrips);
  CPPUNIT_TEST(CrashRoundTrips);
  CPPUNIT_TEST(RequestRoundTrips);
  CPPUNIT_TEST(LeadRoundTrips);
  CPPUNIT_TEST(MalformedViewIsRejected);
  CPPUNIT_TEST_SUITE_END();

  static SharedView View() {
    Replica replica;
    replica.mId = "i-1";
    replica.mService = "s";
    replica.mAddress = "10.0.0.1:80";
    replica.mZone = "z";
    replica.mSlots = 12;
    replica.mDraining = true;
    replica.mModels = {{"m", 3}, {"n", 0}};
    SharedView view;
    view.mRun = "run";
    view.mVersions = false;
    view.mReplicas = {9, false, {replica}, {"i-2"}, ~uint64_t{0}};
    view.mConfig = 77;
    return view;
  }

  void ViewRoundTrips() {
    SharedView view = View();
    CPPUNIT_ASSERT(view == *DecodeView(EncodeView(view)));
    view.mNodes =
        std::vector<NodeEntry>{{"10.0.0.2:1", true}, {"10.0.0.3:1", false}};
    view.mLead = LeadHolder{"n", "10.0.0.3:1", "r", "z"};
    view.mHosts = 48;
    view.mEvacuated = {"y", "z"};
    view.mReplicas.mChanged.front().mCold = true;
    view.mReplicas.mChanged.front().mLapsed = true;
    const RequestDigest digest(RequestParts{"POST", "h", "/p", "a", "body"});
    view.mCrashNumber = 4;
    view.mCrashes = {{digest, "i-1", 1000, false, "POST h/p"},
                     {digest, "i-2@7", 1001, true, ""}};
    CPPUNIT_ASSERT(view == *DecodeView(EncodeView(view)));
  }

  void CrashRoundTrips() {
    const RequestDigest digest(RequestParts{"POST", "h", "/p", "a", "body"});
    const CrashRecord record{digest, "i-1", 1000, true, "POST h/p"};
    CPPUNIT_ASSERT(record == *DecodeCrash(EncodeCrash(record)));
    CrashRecord within = record;
    within.mEvents = 17;
    CPPUNIT_ASSERT(within == *DecodeCrash(EncodeCrash(within)));
    within.mEvents = CrashRecord::kAllEvents;
    CPPUNIT_ASSERT(within == *DecodeCrash(EncodeCrash(within)));
    // A record of an older build is cleared by a whole response only.
    const std::string older = R"({"request":")" + digest.Text() +
                              R"(","replica":"i-1","at_ms":1,"cleared":false})";
    CPPUNIT_ASSERT_EQUAL(CrashRecord::kAllEvents, DecodeCrash(older)->mEvents);
    CPPUNIT_ASSERT_EQUAL(CrashPrefix() + digest.Text() + "/i-1",
                         CrashKey(record));
    CPPUNIT_ASSERT(!DecodeCrash("{}"));
    CPPUNIT_ASSERT(!DecodeCrash(R"({"request":"no digest","replica":"i",)"
                                R"("at_ms":1,"cleared":false})"));
  }

  void RequestRoundTrips() {
    const ViewRequest request{{"10.0.0.2:1", true},
                              "r-1",
                              {5, ~uint64_t{0}},
                              4,
                              ~uint64_t{0},
                              false,
                              true};
    const std::string target = EncodeViewRequest(request);
    CPPUNIT_ASSERT(target.starts_with(std::string(kViewPath) + "?"));
    const auto field = [&](std::string_view aName) {
      const size_t at = target.find(std::string(aName) + "=", target.find('?'));
      const size_t begin = at + aName.size() + 1;
      return target.substr(begin, target.find('&', begin) - begin);
    };
    CPPUNIT_ASSERT(request == DecodeViewRequest(field));
    const auto none = [](std::string_view) { return std::string(); };
    CPPUNIT_ASSERT(ViewRequest() == DecodeViewRequest(none));
  }

  void LeadRoundTrips() {
    const LeadHolder lead{"n", "10.0.0.3:1", "r"};
    CPPUNIT_ASSERT(lead == *DecodeLead(EncodeLead(lead)));
    CPPUNIT_ASSERT(!DecodeLead("{}"));
  }

  void MalformedViewIsRejected() {
    CPPUNIT_ASSERT(!DecodeView("{}"));
    CPPUNIT_ASSERT(!DecodeView("no JSON"));
    std::string text = EncodeView(View());
    text.replace(text.find("\"slots\":12"), 10, "\"slots\":\"\"");
    CPPUNIT_ASSERT(!DecodeView(text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedViewTest);

}  // namespace rillwall
