/// \file
/// A deterministic network of Membership objects, for tests and benchmarks.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rillwall/membership.h"

namespace rillwall {

/// Nodes that exchange datagrams with a seeded latency and loss. Nodes can be
/// crashed, frozen (what arrives meanwhile waits) and put in partitions.
class TestNetwork {
 public:
  static constexpr Millis kStep{10};
  static constexpr Millis kTick{50};
  static constexpr Millis kStart{100000};
  static constexpr size_t kFirstPort = 10000;

  TestNetwork(size_t aCount, GossipLimits aLimits, uint64_t aSeed)
      : mRandom(aSeed), mLimits(aLimits) {
    for (size_t index = 0; index < aCount; ++index) {
      Add(index, 1);
    }
  }

  static std::string Id(size_t aIndex) {
    return "node-" + std::to_string(aIndex);
  }
  static size_t IndexOf(const std::string& aId) {
    return std::stoul(aId.substr(aId.find('-') + 1));
  }
  static std::string Address(size_t aIndex) {
    return "10.20.30.40:" + std::to_string(kFirstPort + aIndex);
  }

  Membership& At(size_t aIndex) { return *mNodes[aIndex].mMembership; }
  Millis Now() const { return mNow; }
  size_t Size() const { return mNodes.size(); }
  /// \return how often a node took one for dead whose process runs on
  size_t FalseDeaths() const { return mFalseDeaths; }
  void SetLoss(double aLoss) { mLoss = aLoss; }
  void SetExchange(Millis aPeriod) { mExchange = aPeriod; }
  void Crash(size_t aIndex) { mNodes[aIndex].mCrashed = true; }
  void Freeze(size_t aIndex, Millis aSpan) {
    mNodes[aIndex].mFrozenUntil = mNow + aSpan;
  }
  bool IsFrozen(size_t aIndex) const {
    return mNodes[aIndex].mFrozenUntil > mNow;
  }
  /// Nodes hear only those with the same side.
  void SetSide(size_t aIndex, int aSide) { mNodes[aIndex].mSide = aSide; }
  /// Two nodes no longer hear each other.
  void BreakLink(size_t aLeft, size_t aRight) { mBroken = {aLeft, aRight}; }
  /// Watches every step's actions.
  void Watch(std::function<void(size_t, const GossipActions&)> aWatcher) {
    mWatcher = std::move(aWatcher);
  }
  /// Carries out what a call into a node's membership asked for.
  void Carry(size_t aFrom, const GossipActions& aActions) {
    if (mWatcher) {
      mWatcher(aFrom, aActions);
    }
    for (const Member& member : aActions.mChangedMembers) {
      const size_t index = IndexOf(member.mId);
      const bool isFalse =
          !mNodes[index].mCrashed && member.mState == MemberState::Dead;
      mFalseDeaths += isFalse ? 1 : 0;
    }
    for (const GossipDatagram& send : aActions.mDatagrams) {
      const size_t to =
          std::stoul(send.mTo.substr(send.mTo.find(':') + 1)) - kFirstPort;
      const bool isLost = std::bernoulli_distribution(mLoss)(mRandom);
      if (!isLost && Hears(aFrom, to)) {
        const Millis due =
            mNow + kStep * (1 + static_cast<int64_t>(mRandom() % 2));
        mWire.emplace(due, Flight{aFrom, to, send.mMessage});
      }
    }
  }

  void Run(Millis aSpan) {
    for (const Millis end = mNow + aSpan; mNow < end;) {
      Step();
    }
  }
  /// Runs until a condition holds.
  /// \return the time it took, or aLimit if it never held
  Millis RunUntil(Millis aLimit, const std::function<bool()>& aCondition) {
    const Millis start = mNow;
    while (mNow - start < aLimit && !aCondition()) {
      Step();
    }
    return mNow - start;
  }
  /// \return how many nodes meet a condition
  size_t Count(const std::function<bool(const Membership&)>& aCondition) const {
    return std::count_if(mNodes.begin(), mNodes.end(), [&](const Node& aNode) {
      return aCondition(*aNode.mMembership);
    });
  }
  /// \return whether every running node counts aCount live members
  bool AllSee(size_t aCount) const {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const Node& aNode) {
      return aNode.mCrashed || aNode.mMembership->Live().size() == aCount;
    });
  }
  /// Ends a process, as a replacement with a greater incarnation starts.
  void Restart(size_t aIndex, uint64_t aIncarnation) {
    mNodes[aIndex].mCrashed = false;
    mNodes[aIndex].mFrozenUntil = Millis();
    mNodes[aIndex].mWaiting.clear();
    mNodes[aIndex].mMembership = Make(aIndex, aIncarnation);
  }

 private:
  struct Flight {
    size_t mFrom = 0;
    size_t mTo = 0;
    GossipMessage mMessage;
  };
  struct Node {
    std::unique_ptr<Membership> mMembership;
    Millis mFrozenUntil;
    std::vector<Flight> mWaiting;
    bool mCrashed = false;
    int mSide = 0;
  };

  std::unique_ptr<Membership> Make(size_t aIndex, uint64_t aIncarnation) {
    const std::string address = Address(aIndex);
    return std::make_unique<Membership>(
        Member{Id(aIndex), "zone-1", address, address, address, aIncarnation},
        std::vector<std::string>{Address(0), Address(1), Address(2)}, mLimits,
        mRandom());
  }
  void Add(size_t aIndex, uint64_t aIncarnation) {
    mNodes.emplace_back().mMembership = Make(aIndex, aIncarnation);
  }
  bool Hears(size_t aFrom, size_t aTo) const {
    const std::pair<size_t, size_t> link = std::minmax(aFrom, aTo);
    return aTo < mNodes.size() && !mNodes[aTo].mCrashed && link != mBroken &&
           mNodes[aFrom].mSide == mNodes[aTo].mSide;
  }
  void Deliver(const Flight& aFlight) {
    Node& node = mNodes[aFlight.mTo];
    if (IsFrozen(aFlight.mTo)) {
      node.mWaiting.push_back(aFlight);
    } else if (!node.mCrashed) {
      Carry(aFlight.mTo, node.mMembership->Receive(
                             aFlight.mMessage, Address(aFlight.mFrom), mNow));
    }
  }
  void Exchange(size_t aIndex) {
    const std::vector<Member> live = At(aIndex).Live();
    const Member& peer = live[mRandom() % live.size()];
    const size_t other = IndexOf(peer.mId);
    if (other == aIndex || !Hears(aIndex, other) || IsFrozen(other)) {
      return;
    }
    const GossipState state = At(aIndex).Snapshot();
    Carry(aIndex, At(aIndex).Merge(At(other).Snapshot(), mNow));
    Carry(other, At(other).Merge(state, mNow));
  }
  void Step() {
    mNow += kStep;
    while (!mWire.empty() && mWire.begin()->first <= mNow) {
      const Flight flight = std::move(mWire.begin()->second);
      mWire.erase(mWire.begin());
      Deliver(flight);
    }
    for (size_t index = 0; index < mNodes.size(); ++index) {
      StepNode(index);
    }
  }
  void StepNode(size_t aIndex) {
    Node& node = mNodes[aIndex];
    if (node.mCrashed || IsFrozen(aIndex)) {
      return;
    }
    const Millis turn =
        mNow + kStep * static_cast<int64_t>(aIndex * 7);  // not all at once
    if (turn.Count() % kTick.Count() == 0) {
      // Before what waited is read, as timers may fire first.
      Carry(aIndex, node.mMembership->Tick(mNow));
    }
    const std::vector<Flight> waiting = std::move(node.mWaiting);
    node.mWaiting.clear();
    for (const Flight& flight : waiting) {
      Deliver(flight);
    }
    if (turn.Count() % mExchange.Count() == 0) {
      Exchange(aIndex);
    }
  }

  std::mt19937_64 mRandom;
  GossipLimits mLimits;
  std::vector<Node> mNodes;
  std::multimap<Millis, Flight> mWire;
  std::function<void(size_t, const GossipActions&)> mWatcher;
  Millis mNow = kStart;
  Millis mExchange{10000};  // as in gossip_loop.cpp
  std::pair<size_t, size_t> mBroken;
  double mLoss = 0;
  size_t mFalseDeaths = 0;
};

}  // namespace rillwall
