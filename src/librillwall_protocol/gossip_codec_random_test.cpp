/// \file
/// Randomized tests of the gossip codec: properties of generated messages, and
/// mutated datagrams, which must be rejected or decode to a message within the
/// limits.

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <sstream>

#include "rillwall/gossip_codec.h"
#include "rillwall/wire_convert.h"

namespace rillwall {
namespace {

constexpr uint64_t kSeed = 20260201;
constexpr int kMutatedDatagrams = 20000;

rc::Gen<std::string> Text() {
  const auto plain =
      rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '\x7f'));
  return rc::gen::oneOf(plain, rc::gen::just(std::string("Kağıthane")));
}

rc::Gen<Member> AnyMember() {
  return rc::gen::build<Member>(
      rc::gen::set(&Member::mId, rc::gen::nonEmpty(Text())),
      rc::gen::set(&Member::mZone, Text()),
      rc::gen::set(&Member::mGossip, Text()),
      rc::gen::set(&Member::mRpc, Text()), rc::gen::set(&Member::mHttp, Text()),
      rc::gen::set(&Member::mIncarnation),
      rc::gen::set(&Member::mState,
                   rc::gen::element(MemberState::Alive, MemberState::Suspect,
                                    MemberState::Leaving, MemberState::Dead)));
}

rc::Gen<Fact> AnyFact() {
  return rc::gen::build<Fact>(
      rc::gen::set(&Fact::mKey, rc::gen::nonEmpty(Text())),
      rc::gen::set(&Fact::mRevision),
      rc::gen::set(&Fact::mValue, rc::gen::string<std::string>()));
}

rc::Gen<GossipMessage> AnyMessage() {
  // Few enough entries that none is omitted because of the datagram's size.
  constexpr size_t kEntries = 5;
  return rc::gen::build<GossipMessage>(
      rc::gen::set(&GossipMessage::mKind,
                   rc::gen::element(GossipKind::Ping, GossipKind::PingRequest,
                                    GossipKind::Ack, GossipKind::Nack)),
      rc::gen::set(&GossipMessage::mFrom, rc::gen::nonEmpty(Text())),
      rc::gen::set(&GossipMessage::mTarget, Text()),
      rc::gen::set(&GossipMessage::mSequence),
      rc::gen::set(
          &GossipMessage::mMembers,
          rc::gen::container<std::vector<Member>>(kEntries, AnyMember())),
      rc::gen::set(&GossipMessage::mFacts,
                   rc::gen::container<std::vector<Fact>>(kEntries, AnyFact())));
}

template <class Testable>
void Check(Testable aTestable) {
  rc::detail::TestParams params;
  params.seed = kSeed;
  const auto result = rc::detail::checkTestable(
      std::move(aTestable), rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  CPPUNIT_ASSERT_MESSAGE(text.str(),
                         result.template is<rc::detail::SuccessResult>());
}

/// Mutates a datagram as a faulty or malicious sender might.
std::string Mutate(std::string aBytes, std::mt19937_64& aRandom) {
  const auto upTo = [&](size_t aBound) { return aRandom() % (aBound + 1); };
  for (size_t left = 1 + upTo(3); left > 0; --left) {
    const size_t at = upTo(aBytes.size());
    switch (upTo(3)) {
      case 0:
        aBytes.resize(at);
        break;
      case 1:
        aBytes.insert(at, 1 + upTo(8), static_cast<char>(upTo(255)));
        break;
      case 2:
        aBytes += aBytes.substr(at);
        break;
      default:
        if (at < aBytes.size()) {
          aBytes[at] = static_cast<char>(aBytes[at] ^ (1 << upTo(7)));
        }
    }
  }
  return aBytes;
}

bool InBounds(const GossipMessage& aMessage) {
  const auto fits = [](const auto& aEntry) { return FitsWire(aEntry); };
  return !aMessage.mFrom.empty() && FitsWire(aMessage.mFrom) &&
         FitsWire(aMessage.mTarget) && aMessage.mKind >= GossipKind::Ping &&
         aMessage.mKind <= GossipKind::Nack &&
         std::ranges::all_of(aMessage.mMembers, fits) &&
         std::ranges::all_of(aMessage.mFacts, fits) &&
         std::ranges::all_of(aMessage.mMembers, [](const Member& aMember) {
           return aMember.mState <= MemberState::Dead;
         });
}

class GossipCodecRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipCodecRandomTest);
  CPPUNIT_TEST(TestRoundTrips);
  CPPUNIT_TEST(TestAnyTextIsSafeToSend);
  CPPUNIT_TEST(TestMutatedDatagrams);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRoundTrips() {
    Check([] {
      const GossipMessage message = *AnyMessage();
      const std::string key = *rc::gen::string<std::string>();
      const auto decoded = DecodeGossip(EncodeGossip(message, key), key);
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(message == *decoded);
    });
  }

  void TestAnyTextIsSafeToSend() {
    Check([](const std::string& aAny) {
      GossipMessage message{GossipKind::Ping, "n1"};
      message.mMembers.push_back({aAny, aAny});
      message.mFacts.push_back({aAny, 1, aAny});
      RC_ASSERT(DecodeGossip(EncodeGossip(message)).has_value());
    });
  }

  void TestMutatedDatagrams() {
    std::mt19937_64 random(kSeed);
    const GossipMessage message = AnyMessage()(rc::Random(kSeed), 30).value();
    const std::string plain = EncodeGossip(message);
    const std::string signedBytes = EncodeGossip(message, "key");
    int read = 0;
    for (int i = 0; i < kMutatedDatagrams; ++i) {
      const auto decoded = DecodeGossip(Mutate(plain, random));
      read += decoded.has_value();
      CPPUNIT_ASSERT(!decoded || InBounds(*decoded));
      const std::string forged = Mutate(signedBytes, random);
      CPPUNIT_ASSERT(forged == signedBytes || !DecodeGossip(forged, "key"));
    }
    // Both outcomes must occur, else the mutations test nothing.
    CPPUNIT_ASSERT(read > 0 && read < kMutatedDatagrams);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GossipCodecRandomTest);

}  // namespace
}  // namespace rillwall
