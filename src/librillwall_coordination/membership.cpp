#include "rillwall/membership.h"

#include "membership_impl.h"

namespace rillwall {

namespace {

// A longer gap between ticks means that this node itself was stalled.
constexpr Millis kStallGap{1000};
// Time after a long stall in which datagrams are ignored, because they were
// probably queued during the stall and are outdated.
constexpr Millis kBacklogDrainTime{200};
// Interval at which a dead member is probed, to heal a partition.
constexpr Millis kDeadProbePeriod{5000};
// Interval of seed pings while this node knows other members.
constexpr Millis kSeedPeriod{15000};
// A node that started less than this ago does not gossip what it learns by a
// full exchange, because the other nodes know it already.
constexpr Millis kNewcomerPeriod{10000};
// Sequence of an Ack that answers no ping and only carries updates.
constexpr uint64_t kNoSequence = 0;
// Suspicions included in a ping. A receiver that knows of a refutation answers
// with it, so a node that missed it rarely declares the member dead.
constexpr size_t kSuspicionsPerPing = 3;

/// \return max(1, log10(aMembers)) in tenths. The suspicion timeout grows by
/// this factor, because a refutation takes longer to spread in a larger fleet.
int64_t LogScaleTenths(size_t aMembers) {
  int64_t tenths = 10;
  for (size_t bound = 10; bound < aMembers; bound = bound * 5 / 4 + 1) {
    ++tenths;  // 1.25 approximates the tenth root of 10
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

void Membership::Impl::Send(const GossipHeader& aHeader,
                            const std::vector<UpdateKey>& aPriority,
                            GossipActions& aActions) {
  aActions.mDatagrams.push_back(mComposer.Compose(aHeader, aPriority));
}

void Membership::Impl::Send(const ProbeStep& aStep, GossipActions& aActions) {
  for (const GossipHeader& header : aStep.mDatagrams) {
    const bool isPing = header.mKind == GossipKind::Ping;
    const auto priority =
        isPing ? PingUpdates(header.mTarget) : std::vector<UpdateKey>();
    Send(header, priority, aActions);
  }
}

std::vector<UpdateKey> Membership::Impl::PingUpdates(
    const std::string& aTarget) {
  std::vector<UpdateKey> updates;
  // For receivers that do not know this node or believe it dead.
  updates.push_back({UpdateKey::Kind::Member, mTable.Self().mId});
  const MemberEntry* target = mTable.Find(aTarget);
  if (target != nullptr && target->mMember.mState != MemberState::Alive) {
    // Lets the target refute it at once.
    updates.push_back({UpdateKey::Kind::Member, aTarget});
  }
  for (const Member& suspect :
       mTable.Sample(kSuspicionsPerPing, mRandom, &MemberEntry::HasTimer)) {
    updates.push_back({UpdateKey::Kind::Member, suspect.mId});
  }
  return updates;
}

void Membership::Impl::GossipUpdates(Millis aNow, GossipActions& aActions) {
  if (aNow < mNextGossip || !mComposer.HasUpdates()) {
    return;
  }
  mNextGossip = aNow + mLimits.mGossipPeriod;
  for (const Member& peer :
       mTable.Sample(mLimits.mGossipFanout, mRandom, &MemberEntry::IsPresent)) {
    Send({GossipKind::Ack, peer.mGossip, mTable.Self().mId, kNoSequence}, {},
         aActions);
  }
}

void Membership::Impl::PingSeed(Millis aNow, GossipActions& aActions) {
  if (aNow < mNextSeedPing || mSeeds.empty()) {
    return;
  }
  const bool isAlone = mTable.CountPresent() == 1;
  mNextSeedPing = aNow + (isAlone ? mLimits.mProbePeriod : kSeedPeriod);
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
  if (aNow < mNextDeadProbe || mTable.CountDead() == 0) {
    return;
  }
  mNextDeadProbe = aNow + kDeadProbePeriod;
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
  // Members may have answered meanwhile without this node receiving it.
  mLastTick = aNow;
  mProber.Discard(aNow);
  mProber.Health().Worsen(1);
  mTable.RestartTimers(aNow);
  if (gap >= mLimits.mDeadRetention / 2) {
    mTable.MarkUnconfirmed();
    mIgnoreDatagramsUntil = aNow + kBacklogDrainTime;
  }
}

bool Membership::Impl::IsNewcomer(Millis aNow) const {
  return !mFirstTick || aNow - *mFirstTick < kNewcomerPeriod;
}

Millis Membership::Impl::MinSuspicionTimeout() const {
  const Millis fleet =
      mLimits.mMinSuspicion * LogScaleTenths(mTable.CountPresent()) / 10;
  // A refutation may be queued behind other updates, here and at other nodes.
  const auto datagrams = static_cast<int64_t>(mComposer.Backlog());
  return fleet + mLimits.mGossipPeriod * datagrams;
}

Millis Membership::Impl::SuspicionTimeout() const {
  return MinSuspicionTimeout() * mProber.Health().Factor();
}

void Membership::Impl::Suspect(const std::string& aId, Millis aNow,
                               GossipActions& aActions) {
  const MemberEntry* entry = mTable.Find(aId);
  if (entry == nullptr) {
    return;
  }
  if (entry->mMember.mState == MemberState::Leaving) {
    // It holds no duties, so nothing is announced before it is dead.
    mTable.StartTimer(aId, aNow);
  } else if (entry->mMember.mState == MemberState::Alive) {
    SetState(aId, MemberState::Suspect, aNow, aActions);
  }
}

void Membership::Impl::ExpireSuspicions(Millis aNow, GossipActions& aActions) {
  for (const std::string& id :
       mTable.TimersStartedBy(aNow - SuspicionTimeout())) {
    SetState(id, MemberState::Dead, aNow, aActions);
  }
}

void Membership::Impl::SetState(const std::string& aId, MemberState aState,
                                Millis aNow, GossipActions& aActions) {
  const Member& record = mTable.SetState(aId, aState, aNow);
  mComposer.Add(record);
  aActions.mChangedMembers.push_back(record);
}

// Public interface.

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
  impl.mTable.RemoveDead(aNow - impl.mLimits.mDeadRetention);
  impl.PingSeed(aNow, actions);
  impl.ProbeDead(aNow, actions);
  impl.GossipUpdates(aNow, actions);
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
    mImpl->MergeMember(record, Impl::Source::Exchange, aNow, actions);
  }
  for (const Fact& fact : aState.mFacts) {
    mImpl->MergeFact(fact, !mImpl->IsNewcomer(aNow), actions);
  }
  mImpl->mCorrections.clear();
  return actions;
}

GossipState Membership::Snapshot() const {
  GossipState state;
  state.mMembers = mImpl->mTable.Select(
      [](const MemberEntry& aEntry) { return !aEntry.mUnconfirmed; });
  state.mFacts = mImpl->mFacts.WithPrefix("");
  return state;
}

uint64_t Membership::Digest() const {
  return mImpl->mTable.Digest() ^ mImpl->mFacts.Digest();
}

GossipActions Membership::SetFact(Fact aFact, Millis aNow) {
  GossipActions actions;
  mImpl->MergeFact(aFact, true, actions);
  mImpl->mCorrections.clear();
  mImpl->GossipUpdates(aNow, actions);
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
  mImpl->mNextGossip = aNow;
  mImpl->GossipUpdates(aNow, actions);
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
  return mImpl->mFacts.WithPrefix(aPrefix);
}

}  // namespace rillwall
