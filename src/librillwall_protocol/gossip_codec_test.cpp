/// \file
/// Tests of the gossip codec: round trips, limits and digests.

#include "rillwall/gossip_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "node.pb.h"
#include "rillwall/wire_convert.h"

namespace rillwall {
namespace {

GossipMessage Sample() {
  GossipMessage out;
  out.mKind = GossipKind::Ack;
  out.mFrom = "n1";
  out.mTarget = "n2";
  out.mSequence = 77;
  out.mMembers = {{"n2", "Kağıthane", "10.0.0.2:7", "10.0.0.2:8", "10.0.0.2:9",
                   5, MemberState::Suspect}};
  out.mFacts = {{"policy", 12, std::string("\0\xff", 2)}};
  return out;
}

ErrorKind KindOf(const Result<GossipMessage>& aResult) {
  CPPUNIT_ASSERT(!aResult);
  return aResult.error().Kind();
}

class GossipCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipCodecTest);
  CPPUNIT_TEST(TestRoundTrip);
  CPPUNIT_TEST(TestOutOfBounds);
  CPPUNIT_TEST(TestInvalidEntriesAreOmitted);
  CPPUNIT_TEST(TestSizeIsBounded);
  CPPUNIT_TEST(TestUnknownFieldsAreIgnored);
  CPPUNIT_TEST(TestDigest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRoundTrip() {
    const auto decoded = DecodeGossip(EncodeGossip(Sample()));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(Sample() == *decoded);
  }

  void TestOutOfBounds() {
    using Change = void (*)(wire::Gossip&);
    const Change changes[] = {
        [](wire::Gossip& aGossip) { aGossip.set_kind(4); },
        [](wire::Gossip& aGossip) { aGossip.clear_from(); },
        [](wire::Gossip& aGossip) { aGossip.set_from("a\nb"); },
        [](wire::Gossip& aGossip) {
          aGossip.set_target(std::string(kMaxMemberTextBytes + 1, 'x'));
        },
        [](wire::Gossip& aGossip) { aGossip.add_members(); },
        [](wire::Gossip& aGossip) { aGossip.mutable_members(0)->set_state(4); },
        [](wire::Gossip& aGossip) { aGossip.add_facts(); },
        [](wire::Gossip& aGossip) {
          aGossip.mutable_facts(0)->set_value(
              std::string(kMaxFactValueBytes + 1, 'x'));
        },
        [](wire::Gossip& aGossip) {
          for (int i = 0; i < kMaxGossipEntries; ++i) {
            aGossip.add_facts()->set_key("k");
          }
        }};
    wire::Gossip good;
    CPPUNIT_ASSERT(good.ParseFromString(EncodeGossip(Sample())));
    CPPUNIT_ASSERT(DecodeGossip(good.SerializeAsString()));
    for (const Change change : changes) {
      wire::Gossip bad = good;
      change(bad);
      CPPUNIT_ASSERT(ErrorKind::BadRequest ==
                     KindOf(DecodeGossip(bad.SerializeAsString())));
    }
    CPPUNIT_ASSERT(ErrorKind::BadRequest == KindOf(DecodeGossip("")));
    CPPUNIT_ASSERT(ErrorKind::BadRequest ==
                   KindOf(DecodeGossip(std::string(kMaxGossipBytes + 1, 0))));
  }

  void TestInvalidEntriesAreOmitted() {
    GossipMessage message = Sample();
    message.mMembers.push_back(message.mMembers[0]);
    message.mMembers[1].mZone = "\xff";
    message.mFacts.push_back({"", 1, "x"});
    const auto decoded = DecodeGossip(EncodeGossip(message));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(Sample() == *decoded);
  }

  void TestSizeIsBounded() {
    GossipMessage message = Sample();
    message.mFacts.assign(10, {"k", 1, std::string(kMaxFactValueBytes, 'v')});
    const std::string bytes = EncodeGossip(message, "key");
    CPPUNIT_ASSERT(bytes.size() <= kMaxGossipBytes);
    const auto decoded = DecodeGossip(bytes, "key");
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decoded->mFacts.size());
  }

  void TestUnknownFieldsAreIgnored() {
    // Field 100 with a varint, as a later release may add it.
    const auto decoded =
        DecodeGossip(EncodeGossip(Sample()) + std::string("\xa0\x06\x01", 3));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(Sample() == *decoded);
  }

  void TestDigest() {
    const std::string bytes = EncodeGossip(Sample(), "key");
    CPPUNIT_ASSERT(Sample() == *DecodeGossip(bytes, "key"));
    CPPUNIT_ASSERT(Sample() == *DecodeGossip(bytes, "new", "key"));
    CPPUNIT_ASSERT(Sample() == *DecodeGossip(bytes));
    CPPUNIT_ASSERT(ErrorKind::Unauthorized ==
                   KindOf(DecodeGossip(bytes, "new")));
    CPPUNIT_ASSERT(ErrorKind::Unauthorized ==
                   KindOf(DecodeGossip(EncodeGossip(Sample()), "key")));
    for (size_t i = 0; i < bytes.size(); ++i) {
      std::string changed = bytes;
      changed[i] ^= 1;
      CPPUNIT_ASSERT(ErrorKind::Unauthorized ==
                     KindOf(DecodeGossip(changed, "key")));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GossipCodecTest);

}  // namespace
}  // namespace rillwall
