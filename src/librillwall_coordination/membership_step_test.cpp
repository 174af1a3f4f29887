/// \file
/// Tests of single steps of one Membership.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "rillwall/membership.h"

namespace rillwall {

class MembershipStepTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipStepTest);
  CPPUNIT_TEST(AnAnswerCorrectsThePinger);
  CPPUNIT_TEST(PingsNameSuspicions);
  CPPUNIT_TEST(PingsTellSuspectsOfTheirSuspicion);
  CPPUNIT_TEST(ADeafNodeWaitsLonger);
  CPPUNIT_TEST(AStoppedNodeDeclaresNobodyDead);
  CPPUNIT_TEST(UnknownDeadAreNotTakenIn);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kTick{50};

  static Member Node(const std::string& aId, uint64_t aIncarnation = 1,
                     MemberState aState = MemberState::Alive) {
    return {aId, "zone", aId, aId, aId, aIncarnation, aState};
  }
  static GossipMessage News(const Member& aMember) {
    GossipMessage message{GossipKind::Ack, "peer", "peer"};
    message.mMembers = {aMember};
    return message;
  }
  static bool Has(const GossipActions& aActions, const std::string& aTo,
                  const Member& aMember) {
    return std::any_of(aActions.mDatagrams.begin(), aActions.mDatagrams.end(),
                       [&](const GossipDatagram& aSend) {
                         const auto& members = aSend.mMessage.mMembers;
                         return (aTo.empty() || aSend.mTo == aTo) &&
                                std::find(members.begin(), members.end(),
                                          aMember) != members.end();
                       });
  }
  /// Ticks until aCondition holds of a step. \return when, or after a minute
  template <class Condition>
  Millis TickUntil(const Condition& aCondition) {
    const Millis end = mNow + Millis(60000);
    while (mNow < end && !aCondition(mSelf.Tick(mNow))) {
      mNow += kTick;
    }
    return mNow;
  }
  /// The first ping after all news was sent often enough.
  GossipActions FirstPingWithoutNews() {
    GossipActions found;
    const Millis start = mNow;
    TickUntil([&](const GossipActions& aActions) {
      found = aActions;
      return mNow - start >= Millis(1500) && !aActions.mDatagrams.empty() &&
             aActions.mDatagrams[0].mMessage.mKind == GossipKind::Ping;
    });
    return found;
  }
  static bool TellsOfDeath(const GossipActions& aActions) {
    return std::any_of(aActions.mChangedMembers.begin(),
                       aActions.mChangedMembers.end(),
                       [](const Member& aMember) {
                         return aMember.mState == MemberState::Dead;
                       });
  }

 public:
  void setUp() override {
    mSelf.Merge({{Node("x", 2), Node("peer")}, {}}, mNow);
    mSelf.Tick(mNow);
  }

  void AnAnswerCorrectsThePinger() {
    GossipMessage ping = News(Node("x", 1, MemberState::Suspect));
    ping.mKind = GossipKind::Ping;
    ping.mTarget = "self";
    CPPUNIT_ASSERT(
        Has(mSelf.Receive(ping, "peer", mNow), "peer", Node("x", 2)));
  }

  void PingsNameSuspicions() {
    const Member suspect = Node("x", 2, MemberState::Suspect);
    mSelf.Receive(News(suspect), "peer", mNow);
    CPPUNIT_ASSERT(Has(FirstPingWithoutNews(), "", suspect));
  }

  void PingsTellSuspectsOfTheirSuspicion() {
    for (int index = 0; index < 12; ++index) {
      const std::string id = "s" + std::to_string(index);
      mSelf.Receive(News(Node(id, 1, MemberState::Suspect)), "peer", mNow);
    }
    const GossipActions ping = FirstPingWithoutNews();
    const std::string target = ping.mDatagrams[0].mTo;
    CPPUNIT_ASSERT(Has(ping, target, Node(target, 1, MemberState::Suspect)));
  }

  void ADeafNodeWaitsLonger() {
    const Millis start = mNow;
    TickUntil(TellsOfDeath);
    CPPUNIT_ASSERT(mNow - start > GossipLimits{}.mMinSuspicion * 2);
  }

  void AStoppedNodeDeclaresNobodyDead() {
    mSelf.Receive(News(Node("x", 2, MemberState::Suspect)), "peer", mNow);
    mNow += Millis(30000);
    const Millis woken = mNow;
    TickUntil(TellsOfDeath);
    CPPUNIT_ASSERT(mNow - woken >= GossipLimits{}.mMinSuspicion);
  }

  void UnknownDeadAreNotTakenIn() {
    mSelf.Merge({{Node("y", 1, MemberState::Dead)}, {}}, mNow);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mSelf.All().size());
  }

 private:
  Millis mNow{100000};
  Membership mSelf{Node("self"), {}, GossipLimits{}, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipStepTest);

}  // namespace rillwall
