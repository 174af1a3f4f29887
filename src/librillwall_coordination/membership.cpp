#include "rillwall/membership.h"

#include "membership_impl.h"

namespace rillwall {

namespace {

// A longer gap between ticks means that this node itself was stopped.
constexpr Millis kStallGap{1000};
// After a long stall: the time in which the datagrams that waited are read.
constexpr Millis kBacklogSpan{200};
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

Membership::Impl::Impl(const Member& aSelf, std::vector<std::string> aSeeds,
                       const GossipLimits& aLimits, uint64_t aSeed)
    : mLimits(aLimits),
      mSeeds(std::move(aSeeds)),
      mRandom(aSeed),
      mTable(aSelf),
      mComposer(mTable, mFacts, mLimits),
      mProber(aLimits) {
  std::erase(mSeeds, aSelf.mGossip);
  mComposer.Add(aSelf);
}

void Membership::Impl::Send(const GossipHead& aHead,
                            const std::vector<NewsKey>& aFirst,
                            GossipActions& aActions) {
  aActions.mDatagrams.push_back(mComposer.Compose(aHead, aFirst));
}

void Membership::Impl::Send(const ProbeStep& aStep, GossipActions& aActions) {
  for (const GossipHead& head : aStep.mDatagrams) {
    const bool isPing = head.mKind == GossipKind::Ping;
    const auto first = isPing ? PingNews(head.mTarget) : std::vector<NewsKey>();
    Send(head, first, aActions);
  }
}

std::vector<NewsKey> Membership::Impl::PingNews(const std::string& aTarget) {
  std::vector<NewsKey> news;
  // Whoever does not know this node, or thinks it dead, learns of it.
  news.push_back({NewsKey::Kind::Member, mTable.Self().mId});
  const MemberEntry* target = mTable.Find(aTarget);
  if (target != nullptr && target->mMember.mState != MemberState::Alive) {
    // The target can refute it at once.
    news.push_back({NewsKey::Kind::Member, aTarget});
  }
  for (const Member& doubted :
       mTable.Sample(kDoubtsNamed, mRandom, &MemberEntry::IsTimed)) {
    news.push_back({NewsKey::Kind::Member, doubted.mId});
  }
  return news;
}

void Membership::Impl::Spread(Millis aNow, GossipActions& aActions) {
  if (aNow < mNextSpread || !mComposer.HasNews()) {
    return;
  }
  mNextSpread = aNow + mLimits.mSpreadPeriod;
  for (const Member& peer :
       mTable.Sample(mLimits.mSpreadFanout, mRandom, &MemberEntry::IsPresent)) {
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
  step.mDatagrams.push_back(
      {GossipKind::Ping, seed, "", mProber.NextSequence()});
  Send(step, aActions);
}

void Membership::Impl::ProbeDead(Millis aNow, GossipActions& aActions) {
  if (aNow < mNextRevive || mTable.CountDead() == 0) {
    return;
  }
  mNextRevive = aNow + kRevivePeriod;
  ProbeStep step;
  for (const Member& dead : mTable.Sample(1, mRandom, &MemberEntry::IsDead)) {
    step.mDatagrams.push_back(
        {GossipKind::Ping, dead.mGossip, dead.mId, mProber.NextSequence()});
  }
  Send(step, aActions);
}

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
    mDeafUntil = aNow + kBacklogSpan;
  }
}

bool Membership::Impl::IsNewcomer(Millis aNow) const {
  return !mFirstTick || aNow - *mFirstTick < kNewcomerSpan;
}

Millis Membership::Impl::LeastSuspicion() const {
  const Millis fleet =
      mLimits.mSuspicion * FleetTenths(mTable.CountPresent()) / 10;
  // A refutation waits its turn behind other news, here and elsewhere.
  const auto datagrams = static_cast<int64_t>(mComposer.Backlog());
  return fleet + mLimits.mSpreadPeriod * datagrams;
}

Millis Membership::Impl::SuspicionSpan() const {
  return LeastSuspicion() * mProber.Health().Factor();
}

void Membership::Impl::Suspect(const std::string& aId, Millis aNow,
                               GossipActions& aActions) {
  const MemberEntry* entry = mTable.Find(aId);
  if (entry == nullptr) {
    return;
  }
  if (entry->mMember.mState == MemberState::Leaving) {
    // It holds no duties: nothing is to be told before it is dead.
    mTable.StartTimer(aId, aNow);
  } else if (entry->mMember.mState == MemberState::Alive) {
    Conclude(aId, MemberState::Suspect, aNow, aActions);
  }
}

void Membership::Impl::ExpireSuspicions(Millis aNow, GossipActions& aActions) {
  for (const std::string& id : mTable.TimedSince(aNow - SuspicionSpan())) {
    Conclude(id, MemberState::Dead, aNow, aActions);
  }
}

void Membership::Impl::Conclude(const std::string& aId, MemberState aState,
                                Millis aNow, GossipActions& aActions) {
  const Member& record = mTable.Conclude(aId, aState, aNow);
  mComposer.Add(record);
  aActions.mChangedMembers.push_back(record);
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
  GossipActions actions;
  mImpl->Receive(aMessage, aFrom, aNow, actions);
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
  mImpl->mComposer.Add(self);
  actions.mChangedMembers.push_back(self);
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

std::vector<Fact> Membership::FactsWithPrefix(std::string_view aPrefix) const {
  return mImpl->mFacts.Under(aPrefix);
}

}  // namespace rillwall
