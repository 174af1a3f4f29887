/// \file
/// The receiving side of a node's membership.

#include <array>

#include "membership_impl.h"

namespace rillwall {

namespace {

// Members named to a newcomer in an answer.
constexpr size_t kNamedToNewcomer = 8;

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
  if (aNow < mDeafUntil) {
    return;
  }
  mCorrections.clear();
  for (const Member& record : aMessage.mMembers) {
    TakeMember(record, Source::Datagram, aNow, aActions);
  }
  for (const Fact& fact : aMessage.mFacts) {
    TakeFact(fact, true, aActions);
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
    return;  // for an earlier process at this address, which is gone
  }
  std::vector<NewsKey> first = mCorrections;
  if (isToAnyone) {
    first.push_back({NewsKey::Kind::Member, self});
    for (const Member& member :
         mTable.Sample(kNamedToNewcomer, mRandom, &MemberEntry::IsPresent)) {
      first.push_back({NewsKey::Kind::Member, member.mId});
    }
  }
  Send({GossipKind::Ack, std::string(aFrom), self, aMessage.mSequence}, first,
       aActions);
}

void Membership::Impl::OnPingRequest(const GossipMessage& aMessage,
                                     std::string_view aFrom, Millis aNow,
                                     GossipActions& aActions) {
  Send(mProber.Relay(aMessage, aFrom, mTable, aNow), aActions);
}

void Membership::Impl::OnAck(const GossipMessage& aMessage, std::string_view,
                             Millis aNow, GossipActions& aActions) {
  mTable.NoteContact(aMessage.mTarget, aNow);
  Send(mProber.Ack(aMessage), aActions);
}

void Membership::Impl::OnNack(const GossipMessage& aMessage, std::string_view,
                              Millis, GossipActions&) {
  mProber.Nack(aMessage);
}

Member Membership::Impl::AsSuspicion(const Member& aRecord, Source aSource,
                                     Millis aNow) const {
  const MemberEntry& entry = *mTable.Find(aRecord.mId);
  const bool isDeath =
      aRecord.mState == MemberState::Dead && HoldsDuties(entry.mMember.mState);
  const bool isHeardOf = aNow - entry.mLastContact < mLimits.mSuspicion;
  const bool isExpected =
      entry.mTimed && aNow - entry.mTimedSince >= LeastSuspicion() * 3 / 4;
  Member record = aRecord;
  // After a partition each half hears that its own members are dead. As a
  // suspicion this can be refuted before it counts.
  if (isDeath && (isHeardOf || !isExpected || aSource == Source::Exchange)) {
    record.mState = MemberState::Suspect;
  }
  return record;
}

void Membership::Impl::TakeMember(const Member& aRecord, Source aSource,
                                  Millis aNow, GossipActions& aActions) {
  if (!IsValid(aRecord)) {
    return;
  }
  if (mTable.IsSelf(aRecord.mId)) {
    TakeAboutSelf(aRecord, aActions);
    return;
  }
  const bool isKnown = mTable.Find(aRecord.mId) != nullptr;
  if (!isKnown && aRecord.mState == MemberState::Dead) {
    return;  // else nodes would remind each other of the dead for ever
  }
  const Member record = isKnown ? AsSuspicion(aRecord, aSource, aNow) : aRecord;
  const MemberVerdict verdict = mTable.Take(record, aNow);
  if (verdict == MemberVerdict::Older) {
    mCorrections.push_back({NewsKey::Kind::Member, aRecord.mId});
  }
  if (verdict == MemberVerdict::Same || verdict == MemberVerdict::Older) {
    return;
  }
  if (!isKnown) {
    mProber.AddMember(record.mId, mRandom);
  }
  if (verdict == MemberVerdict::Changed) {
    aActions.mChangedMembers.push_back(record);
  }
  if (aSource == Source::Datagram || !IsNewcomer(aNow)) {
    mComposer.Add(record);
  }
}

void Membership::Impl::TakeAboutSelf(const Member& aRecord,
                                     GossipActions& aActions) {
  const Member& self = mTable.Self();
  if (!Overrides(aRecord, self)) {
    if (aRecord != self) {
      mCorrections.push_back({NewsKey::Kind::Member, self.mId});
    }
    return;
  }
  mTable.SetSelf(aRecord.mIncarnation + 1, self.mState);
  mProber.Health().Worsen(1);
  mCorrections.push_back({NewsKey::Kind::Member, self.mId});
  mComposer.Add(self);
  mNextSpread = Millis();
  if (aRecord.mState == MemberState::Dead) {
    aActions.mChangedMembers.push_back(self);  // its duties went to others
  }
}

void Membership::Impl::TakeFact(const Fact& aFact, bool aPassOn,
                                GossipActions& aActions) {
  const FactVerdict verdict = mFacts.Take(aFact);
  if (verdict == FactVerdict::Older) {
    mCorrections.push_back({NewsKey::Kind::Fact, aFact.mKey});
  }
  if (verdict != FactVerdict::Newer) {
    return;
  }
  aActions.mUpdatedFacts.push_back(aFact);
  if (aPassOn) {
    mComposer.Add(aFact);
  }
}

}  // namespace rillwall
