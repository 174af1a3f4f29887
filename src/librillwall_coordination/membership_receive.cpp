/// \file
/// Handling of received datagrams and records by Membership.

#include <array>

#include "membership_impl.h"

namespace rillwall {

namespace {

// Random members included in the answer to a joining node.
constexpr size_t kMembersPerJoinReply = 8;

}  // namespace

void Membership::Impl::Receive(const GossipMessage& aMessage,
                               std::string_view aFrom, Millis aNow,
                               GossipActions& aActions) {
  using Handler = void (Impl::*)(const GossipMessage&, std::string_view, Millis,
                                 GossipActions&);
  // In the order of GossipKind.
  static constexpr std::array<Handler, 4> kHandlers = {
      &Impl::OnPing, &Impl::OnPingRequest, &Impl::OnAck, &Impl::OnNack};
  const auto kind = static_cast<size_t>(aMessage.mKind);
  if (kind >= kHandlers.size() || mTable.IsSelf(aMessage.mFrom)) {
    return;
  }
  CheckStall(aNow);
  if (aNow < mIgnoreDatagramsUntil) {
    return;
  }
  mCorrections.clear();
  for (const Member& record : aMessage.mMembers) {
    MergeMember(record, Source::Datagram, aNow, aActions);
  }
  for (const Fact& fact : aMessage.mFacts) {
    MergeFact(fact, true, aActions);
  }
  mTable.NoteContact(aMessage.mFrom, aNow);
  (this->*kHandlers[kind])(aMessage, aFrom, aNow, aActions);
}

void Membership::Impl::OnPing(const GossipMessage& aMessage,
                              std::string_view aFrom, Millis,
                              GossipActions& aActions) {
  const std::string& self = mTable.Self().mId;
  const bool isToAnyone = aMessage.mTarget.empty();
  if (!isToAnyone && aMessage.mTarget != self) {
    return;  // for an earlier process at this address
  }
  std::vector<UpdateKey> priority = mCorrections;
  if (isToAnyone) {
    priority.push_back({UpdateKey::Kind::Member, self});
    for (const Member& member : mTable.Sample(kMembersPerJoinReply, mRandom,
                                              &MemberEntry::IsPresent)) {
      priority.push_back({UpdateKey::Kind::Member, member.mId});
    }
  }
  Send({GossipKind::Ack, std::string(aFrom), self, aMessage.mSequence},
       priority, aActions);
}

void Membership::Impl::OnPingRequest(const GossipMessage& aMessage,
                                     std::string_view aFrom, Millis aNow,
                                     GossipActions& aActions) {
  Send(mProber.Relay(aMessage, aFrom, mTable, aNow), aActions);
}

void Membership::Impl::OnAck(const GossipMessage& aMessage, std::string_view,
                             Millis aNow, GossipActions& aActions) {
  mTable.NoteContact(aMessage.mTarget, aNow);
  Send(mProber.HandleAck(aMessage), aActions);
}

void Membership::Impl::OnNack(const GossipMessage& aMessage, std::string_view,
                              Millis, GossipActions&) {
  mProber.HandleNack(aMessage);
}

Member Membership::Impl::DowngradeToSuspect(const Member& aRecord,
                                            Source aSource, Millis aNow) const {
  const MemberEntry& entry = *mTable.Find(aRecord.mId);
  const bool isDeath =
      aRecord.mState == MemberState::Dead && HoldsDuties(entry.mMember.mState);
  const bool isRecentlySeen = aNow - entry.mLastContact < mLimits.mMinSuspicion;
  const bool isExpected = entry.mHasTimer && aNow - entry.mTimerStart >=
                                                 MinSuspicionTimeout() * 3 / 4;
  Member record = aRecord;
  // After a partition each half learns that its own members were declared dead.
  // A suspicion instead can be refuted before it takes effect.
  if (isDeath &&
      (isRecentlySeen || !isExpected || aSource == Source::Exchange)) {
    record.mState = MemberState::Suspect;
  }
  return record;
}

void Membership::Impl::MergeMember(const Member& aRecord, Source aSource,
                                   Millis aNow, GossipActions& aActions) {
  if (!IsValid(aRecord)) {
    return;
  }
  if (mTable.IsSelf(aRecord.mId)) {
    MergeAboutSelf(aRecord, aActions);
    return;
  }
  const bool isKnown = mTable.Find(aRecord.mId) != nullptr;
  if (!isKnown && aRecord.mState == MemberState::Dead) {
    return;  // else nodes would exchange the records of dead members forever
  }
  const Member record =
      isKnown ? DowngradeToSuspect(aRecord, aSource, aNow) : aRecord;
  const MemberMergeResult result = mTable.Merge(record, aNow);
  if (result == MemberMergeResult::Older) {
    mCorrections.push_back({UpdateKey::Kind::Member, aRecord.mId});
  }
  if (result == MemberMergeResult::Same || result == MemberMergeResult::Older) {
    return;
  }
  if (!isKnown) {
    mProber.AddMember(record.mId, mRandom);
  }
  if (result == MemberMergeResult::Changed) {
    aActions.mChangedMembers.push_back(record);
  }
  if (aSource == Source::Datagram || !IsNewcomer(aNow)) {
    mComposer.Add(record);
  }
}

void Membership::Impl::MergeAboutSelf(const Member& aRecord,
                                      GossipActions& aActions) {
  const Member& self = mTable.Self();
  if (!Overrides(aRecord, self)) {
    if (aRecord != self) {
      mCorrections.push_back({UpdateKey::Kind::Member, self.mId});
    }
    return;
  }
  mTable.SetSelf(aRecord.mIncarnation + 1, self.mState);
  mProber.Health().Worsen(1);
  mCorrections.push_back({UpdateKey::Kind::Member, self.mId});
  mComposer.Add(self);
  mNextGossip = Millis();
  if (aRecord.mState == MemberState::Dead) {
    aActions.mChangedMembers.push_back(self);  // its duties went to other nodes
  }
}

void Membership::Impl::MergeFact(const Fact& aFact, bool aForward,
                                 GossipActions& aActions) {
  const FactMergeResult result = mFacts.Merge(aFact);
  if (result == FactMergeResult::Older) {
    mCorrections.push_back({UpdateKey::Kind::Fact, aFact.mKey});
  }
  if (result != FactMergeResult::Newer) {
    return;
  }
  aActions.mUpdatedFacts.push_back(aFact);
  if (aForward) {
    mComposer.Add(aFact);
  }
}

}  // namespace rillwall
