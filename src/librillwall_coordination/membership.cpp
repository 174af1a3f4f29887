#include "rillwall/membership.h"

#include <algorithm>
#include <array>
#include <optional>

#include "fact_table.h"
#include "membership_news.h"
#include "membership_probe.h"
#include "membership_table.h"

namespace rillwall {

namespace {

// A longer gap between ticks means that this node itself was stopped.
constexpr Millis kStallGap{1000};
// How often a remembered dead member is probed, to heal a partition.
constexpr Millis kRevivePeriod{5000};
// How often a seed is tried by a node that knows live peers.
constexpr Millis kSeedPeriod{15000};
// A newcomer does not pass on what a full exchange tells it: all know it.
constexpr Millis kNewcomerSpan{10000};
// Marks an Ack that answers nothing and only carries news.
constexpr uint64_t kNoSequence = 0;
// Suspicions named in a ping. Whoever knows of a refutation answers with it, so
// that a node that missed it hardly ever goes on to declare the member dead.
constexpr size_t kDoubtsNamed = 3;
// Members named to a newcomer in an answer.
constexpr size_t kNamedToNewcomer = 8;

bool IsPresent(const MemberEntry& aEntry) {
  return aEntry.mMember.mState != MemberState::Dead;
}

bool IsTimed(const MemberEntry& aEntry) { return aEntry.mTimed; }

bool IsDeadEntry(const MemberEntry& aEntry) { return !IsPresent(aEntry); }

/// The suspicion's length grows with the fleet, as the spread of a refutation
/// takes longer: log10, at least 1, as in tenths.
int64_t FleetTenths(size_t aMembers) {
  int64_t tenths = 10;
  for (size_t bound = 10; bound < aMembers; bound = bound * 5 / 4 + 1) {
    ++tenths;  // 1.25 is nearly the tenth root of 10
  }
  return tenths;
}

}  // namespace

/// The parts of a node's membership, wired together.
struct Membership::Impl {
  Impl(Member aSelf, std::vector<std::string> aSeeds, GossipLimits aLimits,
       uint64_t aSeed)
      : mLimits(aLimits),
        mSeeds(std::move(aSeeds)),
        mRandom(aSeed),
        mTable(aSelf),
        mProber(aLimits) {
    std::erase(mSeeds, aSelf.mGossip);
    AddMemberNews(aSelf);
  }

  /// Where a record came from.
  enum class Source { Datagram, Exchange };

  // Sending.
  GossipMessage Compose(const ProbeSend& aSend,
                        const std::vector<NewsKey>& aFirst);
  void Put(const NewsKey& aKey, GossipMessage& aMessage, size_t& aRoom) const;
  void Send(const ProbeSend& aSend, const std::vector<NewsKey>& aFirst,
            GossipActions& aActions);
  void Send(const ProbeStep& aStep, GossipActions& aActions);
  void NameDoubts(std::vector<NewsKey>& aNews);
  void AddMemberNews(const Member& aMember);
  void AddFactNews(const Fact& aFact);
  void Spread(Millis aNow, GossipActions& aActions);
  void TrySeeds(Millis aNow, GossipActions& aActions);
  void ProbeDead(Millis aNow, GossipActions& aActions);

  // Receiving.
  void OnPing(const GossipMessage& aMessage, std::string_view aFrom,
              Millis aNow, GossipActions& aActions);
  void OnPingRequest(const GossipMessage& aMessage, std::string_view aFrom,
                     Millis aNow, GossipActions& aActions);
  void OnAck(const GossipMessage& aMessage, std::string_view aFrom, Millis aNow,
             GossipActions& aActions);
  void OnNack(const GossipMessage& aMessage, std::string_view aFrom,
              Millis aNow, GossipActions& aActions);
  void TakeNews(const GossipMessage& aMessage, Millis aNow,
                GossipActions& aActions);
  void TakeMember(const Member& aRecord, Source aSource, Millis aNow,
                  GossipActions& aActions);
  void TakeAboutSelf(const Member& aRecord);
  void TakeFact(const Fact& aFact, bool aPassOn, GossipActions& aActions);
  Member Soften(const Member& aRecord, Source aSource, Millis aNow) const;

  // Time.
  void CheckStall(Millis aNow);
  void Suspect(const std::string& aId, Millis aNow, GossipActions& aActions);
  void ExpireSuspicions(Millis aNow, GossipActions& aActions);
  Millis LeastSuspicion() const;
  Millis SuspicionSpan() const;
  bool IsNewcomer(Millis aNow) const;

  GossipLimits mLimits;
  std::vector<std::string> mSeeds;
  std::mt19937_64 mRandom;
  MemberTable mTable;
  FactTable mFacts;
  NewsQueue mNews;
  Prober mProber;
  std::vector<NewsKey> mCorrections;  ///< what the sender holds wrongly
  std::optional<Millis> mFirstTick;
  Millis mLastTick;
  Millis mNextSpread;
  Millis mNextRevive;
  Millis mNextSeed;
};

// Sending.

void Membership::Impl::AddMemberNews(const Member& aMember) {
  mNews.Add({NewsKey::Kind::Member, aMember.mId}, EstimateBytes(aMember));
}

void Membership::Impl::AddFactNews(const Fact& aFact) {
  const size_t bytes = EstimateBytes(aFact);
  // What no datagram can hold travels by full exchange only.
  if (bytes <= mLimits.mMaxNewsBytes) {
    mNews.Add({NewsKey::Kind::Fact, aFact.mKey}, bytes);
  }
}

void Membership::Impl::Put(const NewsKey& aKey, GossipMessage& aMessage,
                           size_t& aRoom) const {
  if (aKey.mKind == NewsKey::Kind::Fact) {
    const Fact* fact = mFacts.Find(aKey.mName);
    const bool isPut = std::any_of(
        aMessage.mFacts.begin(), aMessage.mFacts.end(),
        [&](const Fact& aOther) { return aOther.mKey == aKey.mName; });
    if (fact != nullptr && !isPut && EstimateBytes(*fact) <= aRoom) {
      aRoom -= EstimateBytes(*fact);
      aMessage.mFacts.push_back(*fact);
    }
    return;
  }
  const MemberEntry* entry = mTable.Find(aKey.mName);
  const bool isPut = std::any_of(
      aMessage.mMembers.begin(), aMessage.mMembers.end(),
      [&](const Member& aOther) { return aOther.mId == aKey.mName; });
  if (entry != nullptr && !isPut && EstimateBytes(entry->mMember) <= aRoom) {
    aRoom -= EstimateBytes(entry->mMember);
    aMessage.mMembers.push_back(entry->mMember);
  }
}

GossipMessage Membership::Impl::Compose(const ProbeSend& aSend,
                                        const std::vector<NewsKey>& aFirst) {
  GossipMessage message;
  message.mKind = aSend.mKind;
  message.mFrom = mTable.Self().mId;
  message.mTarget = aSend.mTarget;
  message.mSequence = aSend.mSequence;
  size_t room = mLimits.mMaxNewsBytes;
  for (const NewsKey& key : aFirst) {
    Put(key, message, room);
  }
  for (const NewsKey& key :
       mNews.Take(room, SendLimit(mTable.CountPresent()))) {
    Put(key, message, room);
  }
  return message;
}

void Membership::Impl::Send(const ProbeSend& aSend,
                            const std::vector<NewsKey>& aFirst,
                            GossipActions& aActions) {
  aActions.mSends.push_back({aSend.mTo, Compose(aSend, aFirst)});
}

void Membership::Impl::Send(const ProbeStep& aStep, GossipActions& aActions) {
  for (const ProbeSend& send : aStep.mSends) {
    std::vector<NewsKey> first;
    if (send.mKind == GossipKind::Ping) {
      // So that whoever does not know this node, or thinks it dead, learns.
      first.push_back({NewsKey::Kind::Member, mTable.Self().mId});
    }
    const MemberEntry* target = mTable.Find(send.mTarget);
    const bool isDoubted =
        target != nullptr && target->mMember.mState != MemberState::Alive;
    if (isDoubted && send.mKind == GossipKind::Ping) {
      // So that it can refute at once.
      first.push_back({NewsKey::Kind::Member, send.mTarget});
    }
    if (send.mKind == GossipKind::Ping) {
      NameDoubts(first);
    }
    Send(send, first, aActions);
  }
}

void Membership::Impl::NameDoubts(std::vector<NewsKey>& aNews) {
  for (const Member& doubted : mTable.Sample(kDoubtsNamed, mRandom, IsTimed)) {
    aNews.push_back({NewsKey::Kind::Member, doubted.mId});
  }
}

void Membership::Impl::Spread(Millis aNow, GossipActions& aActions) {
  if (aNow < mNextSpread || mNews.IsEmpty()) {
    return;
  }
  mNextSpread = aNow + mLimits.mSpreadPeriod;
  for (const Member& peer :
       mTable.Sample(mLimits.mSpreadFanout, mRandom, IsPresent)) {
    Send({GossipKind::Ack, peer.mGossip, mTable.Self().mId, kNoSequence}, {},
         aActions);
  }
}

void Membership::Impl::TrySeeds(Millis aNow, GossipActions& aActions) {
  if (aNow < mNextSeed || mSeeds.empty()) {
    return;
  }
  const bool isAlone = mTable.CountPresent() == 1;
  mNextSeed = aNow + (isAlone ? mLimits.mProbePeriod : kSeedPeriod);
  const std::string& seed = mSeeds[mRandom() % mSeeds.size()];
  if (mTable.HasPresentAt(seed)) {
    return;
  }
  ProbeStep step;
  step.mSends.push_back({GossipKind::Ping, seed, "", mProber.NextSequence()});
  Send(step, aActions);
}

void Membership::Impl::ProbeDead(Millis aNow, GossipActions& aActions) {
  if (aNow < mNextRevive || mTable.CountDead() == 0) {
    return;
  }
  mNextRevive = aNow + kRevivePeriod;
  ProbeStep step;
  for (const Member& dead : mTable.Sample(1, mRandom, IsDeadEntry)) {
    step.mSends.push_back(
        {GossipKind::Ping, dead.mGossip, dead.mId, mProber.NextSequence()});
  }
  Send(step, aActions);
}

// Receiving.

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
         mTable.Sample(kNamedToNewcomer, mRandom, IsPresent)) {
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

void Membership::Impl::TakeNews(const GossipMessage& aMessage, Millis aNow,
                                GossipActions& aActions) {
  mCorrections.clear();
  for (const Member& record : aMessage.mMembers) {
    TakeMember(record, Source::Datagram, aNow, aActions);
  }
  for (const Fact& fact : aMessage.mFacts) {
    TakeFact(fact, true, aActions);
  }
}

Member Membership::Impl::Soften(const Member& aRecord, Source aSource,
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
    TakeAboutSelf(aRecord);
    return;
  }
  const bool isKnown = mTable.Find(aRecord.mId) != nullptr;
  if (!isKnown && aRecord.mState == MemberState::Dead) {
    return;  // else nodes would remind each other of the dead for ever
  }
  const Member record = isKnown ? Soften(aRecord, aSource, aNow) : aRecord;
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
    aActions.mChanged.push_back(record);
  }
  if (aSource == Source::Datagram || !IsNewcomer(aNow)) {
    AddMemberNews(record);
  }
}

void Membership::Impl::TakeAboutSelf(const Member& aRecord) {
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
  AddMemberNews(self);
  mNextSpread = Millis();
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
  aActions.mNewFacts.push_back(aFact);
  if (aPassOn) {
    AddFactNews(aFact);
  }
}

// Time.

void Membership::Impl::CheckStall(Millis aNow) {
  if (!mFirstTick) {
    return;
  }
  const Millis gap = aNow - mLastTick;
  if (gap <= kStallGap) {
    return;
  }
  // What did not answer meanwhile may have: this node could not hear it.
  mLastTick = aNow;
  mProber.Discard(aNow);
  mProber.Health().Worsen(1);
  mTable.RestartTimers(aNow);
  if (gap >= mLimits.mForgetDead / 2) {
    mTable.MarkUnconfirmed();
  }
}

bool Membership::Impl::IsNewcomer(Millis aNow) const {
  return !mFirstTick || aNow - *mFirstTick < kNewcomerSpan;
}

Millis Membership::Impl::LeastSuspicion() const {
  const Millis fleet =
      mLimits.mSuspicion * FleetTenths(mTable.CountPresent()) / 10;
  // A refutation waits its turn behind other news, here and elsewhere.
  const auto datagrams =
      static_cast<int64_t>(mNews.Bytes() / mLimits.mMaxNewsBytes);
  return fleet + mLimits.mSpreadPeriod * datagrams;
}

Millis Membership::Impl::SuspicionSpan() const {
  return LeastSuspicion() * mProber.Health().Factor();
}

void Membership::Impl::Suspect(const std::string& aId, Millis aNow,
                               GossipActions& aActions) {
  MemberEntry* entry = mTable.Find(aId);
  if (entry == nullptr) {
    return;
  }
  if (entry->mMember.mState == MemberState::Leaving && !entry->mTimed) {
    entry->mTimed = true;
    entry->mTimedSince = aNow;
  }
  if (entry->mMember.mState != MemberState::Alive) {
    return;
  }
  Member record = entry->mMember;
  record.mState = MemberState::Suspect;
  mTable.Take(record, aNow);
  AddMemberNews(record);
  aActions.mChanged.push_back(record);
}

void Membership::Impl::ExpireSuspicions(Millis aNow, GossipActions& aActions) {
  for (const std::string& id : mTable.TimedSince(aNow - SuspicionSpan())) {
    Member record = mTable.Find(id)->mMember;
    record.mState = MemberState::Dead;
    mTable.Take(record, aNow);
    AddMemberNews(record);
    aActions.mChanged.push_back(record);
  }
}

// The interface.

Membership::Membership(Member aSelf, std::vector<std::string> aSeeds,
                       GossipLimits aLimits, uint64_t aSeed)
    : mImpl(std::make_unique<Impl>(std::move(aSelf), std::move(aSeeds), aLimits,
                                   aSeed)) {}

Membership::~Membership() = default;

GossipActions Membership::Tick(Millis aNow) {
  Impl& impl = *mImpl;
  GossipActions actions;
  impl.CheckStall(aNow);
  impl.mLastTick = aNow;
  if (!impl.mFirstTick) {
    impl.mFirstTick = aNow;
  }
  const ProbeStep step = impl.mProber.Tick(impl.mTable, impl.mRandom, aNow);
  if (!step.mFailed.empty()) {
    impl.Suspect(step.mFailed, aNow, actions);
  }
  impl.Send(step, actions);
  impl.ExpireSuspicions(aNow, actions);
  impl.mTable.ForgetDead(aNow - impl.mLimits.mForgetDead);
  impl.TrySeeds(aNow, actions);
  impl.ProbeDead(aNow, actions);
  impl.Spread(aNow, actions);
  return actions;
}

GossipActions Membership::Receive(const GossipMessage& aMessage,
                                  std::string_view aFrom, Millis aNow) {
  using Handler = void (Impl::*)(const GossipMessage&, std::string_view, Millis,
                                 GossipActions&);
  // In the order of GossipKind.
  static constexpr std::array<Handler, 4> kHandlers = {
      &Impl::OnPing, &Impl::OnPingRequest, &Impl::OnAck, &Impl::OnNack};
  GossipActions actions;
  const auto kind = static_cast<size_t>(aMessage.mKind);
  if (kind >= kHandlers.size() || mImpl->mTable.IsSelf(aMessage.mFrom)) {
    return actions;
  }
  mImpl->CheckStall(aNow);
  mImpl->TakeNews(aMessage, aNow, actions);
  mImpl->mTable.NoteContact(aMessage.mFrom, aNow);
  ((*mImpl).*kHandlers[kind])(aMessage, aFrom, aNow, actions);
  return actions;
}

GossipActions Membership::Merge(const GossipState& aState, Millis aNow) {
  GossipActions actions;
  mImpl->CheckStall(aNow);
  for (const Member& record : aState.mMembers) {
    mImpl->TakeMember(record, Impl::Source::Exchange, aNow, actions);
  }
  for (const Fact& fact : aState.mFacts) {
    mImpl->TakeFact(fact, !mImpl->IsNewcomer(aNow), actions);
  }
  mImpl->mCorrections.clear();
  return actions;
}

GossipState Membership::Snapshot() const {
  GossipState state;
  state.mMembers = mImpl->mTable.Select(
      [](const MemberEntry& aEntry) { return !aEntry.mUnconfirmed; });
  state.mFacts = mImpl->mFacts.Under("");
  return state;
}

uint64_t Membership::Digest() const {
  return mImpl->mTable.Digest() ^ mImpl->mFacts.Digest();
}

GossipActions Membership::SetFact(Fact aFact, Millis aNow) {
  GossipActions actions;
  mImpl->TakeFact(aFact, true, actions);
  mImpl->mCorrections.clear();
  mImpl->Spread(aNow, actions);
  return actions;
}

GossipActions Membership::Leave(Millis aNow) {
  GossipActions actions;
  const Member& self = mImpl->mTable.Self();
  if (self.mState == MemberState::Leaving) {
    return actions;
  }
  mImpl->mTable.SetSelf(self.mIncarnation, MemberState::Leaving);
  mImpl->AddMemberNews(self);
  actions.mChanged.push_back(self);
  mImpl->mNextSpread = aNow;
  mImpl->Spread(aNow, actions);
  return actions;
}

const Member& Membership::Self() const { return mImpl->mTable.Self(); }

std::vector<Member> Membership::Live() const {
  return mImpl->mTable.Select([](const MemberEntry& aEntry) {
    return HoldsDuties(aEntry.mMember.mState);
  });
}

std::vector<Member> Membership::All() const {
  return mImpl->mTable.Select([](const MemberEntry&) { return true; });
}

const Fact* Membership::FindFact(std::string_view aKey) const {
  return mImpl->mFacts.Find(aKey);
}

std::vector<Fact> Membership::FactsUnder(std::string_view aPrefix) const {
  return mImpl->mFacts.Under(aPrefix);
}

}  // namespace rillwall
