/// \file
/// Tests of the conversions between internal types and wire messages.

#include "rillwall/wire_convert.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {
namespace {

class WireConvertTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireConvertTest);
  CPPUNIT_TEST(TestText);
  CPPUNIT_TEST(TestState);
  CPPUNIT_TEST(TestStep);
  CPPUNIT_TEST(TestSummary);
  CPPUNIT_TEST(TestLabel);
  CPPUNIT_TEST(TestErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestText() {
    const std::string limit(kMaxMemberTextBytes, 'x');
    const std::string good[] = {"", "n1", "Ümraniye", "\xf0\x9f\x98\x80",
                                limit};
    const std::string bad[] = {"a\tb",
                               "\x7f",
                               "\xff",
                               "\xc3",
                               "\xc0\x80",
                               "\xe0\x80\x80",
                               "\xed\xa0\x80",
                               limit + "x",
                               "a\x80",
                               "\xf0\x8f\x80\x80",
                               "\xf4\x90\x80\x80"};
    for (const std::string& text : good) {
      CPPUNIT_ASSERT_MESSAGE(text, FitsWire(text));
    }
    for (const std::string& text : bad) {
      CPPUNIT_ASSERT_MESSAGE(text, !FitsWire(text));
    }
  }

  void TestState() {
    const Member member{
        "n1", "z", "a:1", "a:2", "a:3", 9, MemberState::Leaving};
    const Fact fact{"k", 3, "v"};
    const Member invalid{"", "z"};
    const wire::GossipState sent =
        ToWire(GossipState{{member, invalid}, {fact}});
    const Result<GossipState> received = FromWire(sent);
    CPPUNIT_ASSERT(received);
    CPPUNIT_ASSERT(std::vector<Member>{member} == received->mMembers);
    CPPUNIT_ASSERT(std::vector<Fact>{fact} == received->mFacts);
    wire::GossipState bad = sent;
    bad.mutable_members(0)->set_state(4);
    CPPUNIT_ASSERT(!FromWire(bad));
    bad = sent;
    bad.mutable_facts(0)->clear_key();
    CPPUNIT_ASSERT(!FromWire(bad));
  }

  void TestStep() {
    const StepSpec spec{{"letters", 7}, 4, 128, {"a", "b"}, -5};
    const wire::StepSpec sent = ToWire(spec);
    CPPUNIT_ASSERT(spec == *FromWire(sent));
    using Change = void (*)(wire::StepSpec&);
    const Change changes[] = {
        [](wire::StepSpec& aSpec) { aSpec.clear_id(); },
        [](wire::StepSpec& aSpec) { aSpec.set_group_size(0); },
        [](wire::StepSpec& aSpec) { aSpec.set_group_size(kMaxGroupSize + 1); },
        [](wire::StepSpec& aSpec) { aSpec.set_max_tokens(-1); }};
    for (const Change change : changes) {
      wire::StepSpec bad = sent;
      change(bad);
      CPPUNIT_ASSERT(!FromWire(bad));
    }
  }

  void TestSummary() {
    const GroupSummary summary{3, "n1", 2, 40, Millis(150), 900};
    const wire::GroupSummary sent = ToWire(summary);
    CPPUNIT_ASSERT(summary == *FromWire(sent, "n1"));
    wire::GroupSummary bad = sent;
    bad.set_age_ms(-1);
    CPPUNIT_ASSERT(!FromWire(bad, "n1"));
    bad = sent;
    bad.set_group(~0U);
    CPPUNIT_ASSERT(!FromWire(bad, "n1"));
  }

  void TestLabel() {
    Label label;
    label.Append(7, 10);
    label.Append(8, 5);
    const WireSpans sent = ToWire(label);
    CPPUNIT_ASSERT(label == *FromWire(sent));
    CPPUNIT_ASSERT(Label() == *FromWire(WireSpans()));
    WireSpans gap = sent;
    gap[1].set_begin(11);
    CPPUNIT_ASSERT(!FromWire(gap));
    WireSpans overlap = sent;
    overlap[1].set_begin(9);
    CPPUNIT_ASSERT(!FromWire(overlap));
    WireSpans empty = sent;
    empty[1].set_end(10);
    CPPUNIT_ASSERT(!FromWire(empty));
  }

  void TestErrors() {
    const auto draining =
        FromWire(ToWire(Error(ErrorKind::Draining, "leaving")));
    CPPUNIT_ASSERT(Error(ErrorKind::Draining, "leaving") == draining.error());
    const auto failed = FromWire(ToWire(Error(ErrorKind::Timeout, "late")));
    CPPUNIT_ASSERT(RunState::Unknown == failed.error().Run());
    wire::PeerReply newer;
    newer.set_error(4711);
    CPPUNIT_ASSERT(ErrorKind::Internal == FromWire(newer).error().Kind());
    CPPUNIT_ASSERT(FromWire(wire::PeerReply()));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WireConvertTest);

}  // namespace
}  // namespace rillwall
