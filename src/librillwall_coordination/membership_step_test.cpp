/// \file
/// Tests of single steps of one Membership object.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "rillwall/membership.h"

namespace rillwall {

class MembershipStepTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipStepTest);
  CPPUNIT_TEST(AckCorrectsOutdatedRecord);
  CPPUNIT_TEST(PingsIncludeSuspicions);
  CPPUNIT_TEST(PingIncludesSuspicionOfItsTarget);
  CPPUNIT_TEST(NodeWithoutAnswersWaitsLonger);
  CPPUNIT_TEST(StalledNodeDeclaresNobodyDead);
  CPPUNIT_TEST(UnknownDeadMemberIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kTick{50};

  static Member Node(const std::string& aId, uint64_t aIncarnation = 1,
                     MemberState aState = MemberState::Alive) {
    return {aId, "zone", aId, aId, aId, aIncarnation, aState};
  }
  static GossipMessage AckWithUpdate(const Member& aMember) {
    GossipMessage message{GossipKind::Ack, "peer", "peer"};
    message.mMembers = {aMember};
    return message;
  }
  /// \return whether a datagram to aTo (empty: to any) carries a record
  static bool Has(const GossipActions& aActions, const std::string& aTo,
                  const Member& aMember) {
    return std::any_of(aActions.mDatagrams.begin(), aActions.mDatagrams.end(),
                       [&](const GossipDatagram& aDatagram) {
                         const auto& members = aDatagram.mMessage.mMembers;
                         return (aTo.empty() || aDatagram.mTo == aTo) &&
                                std::find(members.begin(), members.end(),
                                          aMember) != members.end();
                       });
  }
  /// Ticks until aCondition holds for the actions of a step, at most a minute.
  /// \return the time of the last step
  template <class Condition>
  Millis TickUntil(const Condition& aCondition) {
    const Millis end = mNow + Millis(60000);
    while (mNow < end && !aCondition(mSelf.Tick(mNow))) {
      mNow += kTick;
    }
    return mNow;
  }
  /// \return the first ping once no updates are pending
  GossipActions FirstPingWithoutUpdates() {
    GossipActions found;
    const Millis start = mNow;
    TickUntil([&](const GossipActions& aActions) {
      found = aActions;
      return mNow - start >= Millis(1500) && !aActions.mDatagrams.empty() &&
             aActions.mDatagrams[0].mMessage.mKind == GossipKind::Ping;
    });
    return found;
  }
  static bool ReportsDeath(const GossipActions& aActions) {
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

  void AckCorrectsOutdatedRecord() {
    GossipMessage ping = AckWithUpdate(Node("x", 1, MemberState::Suspect));
    ping.mKind = GossipKind::Ping;
    ping.mTarget = "self";
    CPPUNIT_ASSERT(
        Has(mSelf.Receive(ping, "peer", mNow), "peer", Node("x", 2)));
  }

  void PingsIncludeSuspicions() {
    const Member suspect = Node("x", 2, MemberState::Suspect);
    mSelf.Receive(AckWithUpdate(suspect), "peer", mNow);
    CPPUNIT_ASSERT(Has(FirstPingWithoutUpdates(), "", suspect));
  }

  void PingIncludesSuspicionOfItsTarget() {
    for (int index = 0; index < 12; ++index) {
      const std::string id = "s" + std::to_string(index);
      mSelf.Receive(AckWithUpdate(Node(id, 1, MemberState::Suspect)), "peer",
                    mNow);
    }
    const GossipActions ping = FirstPingWithoutUpdates();
    const std::string target = ping.mDatagrams[0].mTo;
    CPPUNIT_ASSERT(Has(ping, target, Node(target, 1, MemberState::Suspect)));
  }

  void NodeWithoutAnswersWaitsLonger() {
    const Millis start = mNow;
    TickUntil(ReportsDeath);
    CPPUNIT_ASSERT(mNow - start > GossipLimits{}.mMinSuspicion * 2);
  }

  void StalledNodeDeclaresNobodyDead() {
    mSelf.Receive(AckWithUpdate(Node("x", 2, MemberState::Suspect)), "peer",
                  mNow);
    mNow += Millis(30000);
    const Millis resumedAt = mNow;
    TickUntil(ReportsDeath);
    CPPUNIT_ASSERT(mNow - resumedAt >= GossipLimits{}.mMinSuspicion);
  }

  void UnknownDeadMemberIsIgnored() {
    mSelf.Merge({{Node("y", 1, MemberState::Dead)}, {}}, mNow);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mSelf.All().size());
  }

 private:
  Millis mNow{100000};
  Membership mSelf{Node("self"), {}, GossipLimits{}, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipStepTest);

}  // namespace rillwall
