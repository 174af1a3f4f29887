#include "membership_probe.h"

#include <algorithm>

namespace rillwall {

namespace {

// Lifeguard uses 7. With 7, a zone that is cut off from the rest needs minutes
// to detect it.
constexpr int kMaxScore = 3;
// Bounds the memory that requests of other nodes can use.
constexpr size_t kMaxRelays = 256;

bool IsAlive(const MemberEntry& aEntry) {
  return aEntry.mMember.mState == MemberState::Alive;
}

}  // namespace

void LocalHealth::Improve() { mScore = std::max(0, mScore - 1); }

void LocalHealth::Worsen(int aBy) {
  mScore = std::min(kMaxScore, mScore + aBy);
}

const Member* ProbeOrder::Next(const MemberTable& aTable,
                               std::mt19937_64& aRandom) {
  const Member* member = NextOfRound(aTable);
  if (member != nullptr) {
    return member;
  }
  mRound.clear();
  mPosition = 0;
  for (const Member& other : aTable.Select(&MemberEntry::IsPresent)) {
    if (!aTable.IsSelf(other.mId)) {
      mRound.push_back(other.mId);
    }
  }
  std::shuffle(mRound.begin(), mRound.end(), aRandom);
  return NextOfRound(aTable);
}

const Member* ProbeOrder::NextOfRound(const MemberTable& aTable) {
  while (mPosition < mRound.size()) {
    const MemberEntry* entry = aTable.Find(mRound[mPosition]);
    ++mPosition;
    if (entry != nullptr && entry->IsPresent()) {
      return &entry->mMember;
    }
  }
  return nullptr;
}

void ProbeOrder::Add(const std::string& aId, std::mt19937_64& aRandom) {
  const size_t left = mRound.size() - mPosition;
  const size_t position = mPosition + aRandom() % (left + 1);
  mRound.insert(mRound.begin() + static_cast<ptrdiff_t>(position), aId);
}

Prober::Prober(const GossipLimits& aLimits) : mLimits(aLimits) {}

ProbeStep Prober::Tick(const MemberTable& aTable, std::mt19937_64& aRandom,
                       Millis aNow) {
  ProbeStep step;
  ExpireRelays(aNow, step);
  if (mOutstanding && aNow >= mOutstanding->mFailsAt) {
    FailProbe(step);
  } else if (mOutstanding && !mOutstanding->mIndirect &&
             aNow >= mOutstanding->mIndirectAt) {
    SendIndirectProbes(aTable, aRandom, step);
  }
  if (!mNextStart) {
    // A random start keeps nodes that start together from probing in step.
    const auto period = static_cast<uint64_t>(mLimits.mProbePeriod.Count());
    mNextStart = aNow + Millis(static_cast<int64_t>(aRandom() % period));
  }
  if (!mOutstanding && aNow >= *mNextStart) {
    StartProbe(aTable, aRandom, aNow, step);
  }
  return step;
}

void Prober::StartProbe(const MemberTable& aTable, std::mt19937_64& aRandom,
                        Millis aNow, ProbeStep& aStep) {
  const Millis period = mLimits.mProbePeriod * mHealth.Factor();
  mNextStart = aNow + period;
  const Member* target = mOrder.Next(aTable, aRandom);
  if (target == nullptr) {
    return;
  }
  Outstanding probe;
  probe.mTarget = target->mId;
  probe.mSequence = NextSequence();
  probe.mIndirectAt = aNow + mLimits.mProbeTimeout * mHealth.Factor();
  probe.mFailsAt = aNow + period;
  mOutstanding = probe;
  aStep.mDatagrams.push_back(
      {GossipKind::Ping, target->mGossip, target->mId, probe.mSequence});
}

void Prober::SendIndirectProbes(const MemberTable& aTable,
                                std::mt19937_64& aRandom, ProbeStep& aStep) {
  Outstanding& probe = *mOutstanding;
  probe.mIndirect = true;
  const auto relays = aTable.Sample(
      mLimits.mIndirectProbes, aRandom, [&](const MemberEntry& aEntry) {
        return IsAlive(aEntry) && aEntry.mMember.mId != probe.mTarget;
      });
  probe.mNacksMissing = static_cast<int>(relays.size());
  for (const Member& relay : relays) {
    aStep.mDatagrams.push_back({GossipKind::PingRequest, relay.mGossip,
                                probe.mTarget, probe.mSequence});
  }
}

void Prober::FailProbe(ProbeStep& aStep) {
  // Relays that answered show that the target is at fault. Without indirect
  // probes, this node itself may be cut off.
  const bool probedIndirectly = mOutstanding->mIndirect;
  mHealth.Worsen(probedIndirectly ? mOutstanding->mNacksMissing : 1);
  aStep.mFailed = mOutstanding->mTarget;
  mOutstanding.reset();
}

void Prober::ExpireRelays(Millis aNow, ProbeStep& aStep) {
  std::erase_if(mRelays, [&](const auto& aItem) {
    const RelayedProbe& relay = aItem.second;
    if (aNow < relay.mFailsAt) {
      return false;
    }
    aStep.mDatagrams.push_back({GossipKind::Nack, relay.mOrigin, relay.mTarget,
                                relay.mOriginSequence});
    return true;
  });
}

ProbeStep Prober::Relay(const GossipMessage& aMessage, std::string_view aFrom,
                        const MemberTable& aTable, Millis aNow) {
  ProbeStep step;
  const MemberEntry* target = aTable.Find(aMessage.mTarget);
  if (target == nullptr || mRelays.size() >= kMaxRelays) {
    step.mDatagrams.push_back({GossipKind::Nack, std::string(aFrom),
                               aMessage.mTarget, aMessage.mSequence});
    return step;
  }
  const uint64_t sequence = NextSequence();
  mRelays[sequence] = {aMessage.mTarget, std::string(aFrom), aMessage.mSequence,
                       aNow + mLimits.mProbeTimeout};
  step.mDatagrams.push_back(
      {GossipKind::Ping, target->mMember.mGossip, aMessage.mTarget, sequence});
  return step;
}

ProbeStep Prober::HandleAck(const GossipMessage& aMessage) {
  ProbeStep step;
  if (mOutstanding && mOutstanding->mSequence == aMessage.mSequence &&
      mOutstanding->mTarget == aMessage.mTarget) {
    mHealth.Improve();
    mOutstanding.reset();
    return step;
  }
  const auto relay = mRelays.find(aMessage.mSequence);
  if (relay != mRelays.end() && relay->second.mTarget == aMessage.mTarget) {
    step.mDatagrams.push_back({GossipKind::Ack, relay->second.mOrigin,
                               aMessage.mTarget,
                               relay->second.mOriginSequence});
    mRelays.erase(relay);
  }
  return step;
}

void Prober::HandleNack(const GossipMessage& aMessage) {
  if (mOutstanding && mOutstanding->mSequence == aMessage.mSequence) {
    mOutstanding->mNacksMissing = std::max(0, mOutstanding->mNacksMissing - 1);
  }
}

void Prober::Discard(Millis aNow) {
  mOutstanding.reset();
  mRelays.clear();
  mNextStart = aNow;
}

}  // namespace rillwall
