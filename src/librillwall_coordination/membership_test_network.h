/// \file
/// Simulated deterministic network of Membership objects, for tests and
/// benchmarks.

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

/// Nodes that exchange datagrams with seeded random latency and loss. Nodes can
/// be crashed, frozen (datagrams that arrive meanwhile wait) and partitioned.
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
  /// \return how often a node declared a member dead whose process was running
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
  /// Nodes receive datagrams only from nodes of the same partition.
  void SetPartition(size_t aIndex, int aPartition) {
    mNodes[aIndex].mPartition = aPartition;
  }
  /// Drops all datagrams between two nodes.
  void BreakLink(size_t aLeft, size_t aRight) { mBrokenLink = {aLeft, aRight}; }
  /// Sets a function that sees the actions of every step.
  void Watch(std::function<void(size_t, const GossipActions&)> aWatcher) {
    mWatcher = std::move(aWatcher);
  }
  /// Carries out the actions that a node's membership returned.
  void CarryOut(size_t aFrom, const GossipActions& aActions) {
    if (mWatcher) {
      mWatcher(aFrom, aActions);
    }
    for (const Member& member : aActions.mChangedMembers) {
      const size_t index = IndexOf(member.mId);
      const bool isFalse =
          !mNodes[index].mCrashed && member.mState == MemberState::Dead;
      mFalseDeaths += isFalse ? 1 : 0;
    }
    for (const GossipDatagram& datagram : aActions.mDatagrams) {
      const size_t to =
          std::stoul(datagram.mTo.substr(datagram.mTo.find(':') + 1)) -
          kFirstPort;
      const bool isLost = std::bernoulli_distribution(mLoss)(mRandom);
      if (!isLost && CanReach(aFrom, to)) {
        const Millis arrival =
            mNow + kStep * (1 + static_cast<int64_t>(mRandom() % 2));
        mInFlight.emplace(arrival,
                          InFlightDatagram{aFrom, to, datagram.mMessage});
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
  /// Replaces a process by a new one with a greater incarnation.
  void Restart(size_t aIndex, uint64_t aIncarnation) {
    mNodes[aIndex].mCrashed = false;
    mNodes[aIndex].mFrozenUntil = Millis();
    mNodes[aIndex].mWaiting.clear();
    mNodes[aIndex].mMembership = Make(aIndex, aIncarnation);
  }

 private:
  struct InFlightDatagram {
    size_t mFrom = 0;
    size_t mTo = 0;
    GossipMessage mMessage;
  };
  struct Node {
    std::unique_ptr<Membership> mMembership;
    Millis mFrozenUntil;
    std::vector<InFlightDatagram> mWaiting;
    bool mCrashed = false;
    int mPartition = 0;
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
  bool CanReach(size_t aFrom, size_t aTo) const {
    const std::pair<size_t, size_t> link = std::minmax(aFrom, aTo);
    return aTo < mNodes.size() && !mNodes[aTo].mCrashed &&
           link != mBrokenLink &&
           mNodes[aFrom].mPartition == mNodes[aTo].mPartition;
  }
  void Deliver(const InFlightDatagram& aDatagram) {
    Node& node = mNodes[aDatagram.mTo];
    if (IsFrozen(aDatagram.mTo)) {
      node.mWaiting.push_back(aDatagram);
    } else if (!node.mCrashed) {
      CarryOut(aDatagram.mTo,
               node.mMembership->Receive(aDatagram.mMessage,
                                         Address(aDatagram.mFrom), mNow));
    }
  }
  void Exchange(size_t aIndex) {
    const std::vector<Member> live = At(aIndex).Live();
    const Member& peer = live[mRandom() % live.size()];
    const size_t other = IndexOf(peer.mId);
    if (other == aIndex || !CanReach(aIndex, other) || IsFrozen(other)) {
      return;
    }
    const GossipState state = At(aIndex).Snapshot();
    CarryOut(aIndex, At(aIndex).Merge(At(other).Snapshot(), mNow));
    CarryOut(other, At(other).Merge(state, mNow));
  }
  void Step() {
    mNow += kStep;
    while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
      const InFlightDatagram datagram = std::move(mInFlight.begin()->second);
      mInFlight.erase(mInFlight.begin());
      Deliver(datagram);
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
        mNow + kStep * static_cast<int64_t>(aIndex * 7);  // nodes are staggered
    if (turn.Count() % kTick.Count() == 0) {
      // Before the waiting datagrams are read, because timers may fire first.
      CarryOut(aIndex, node.mMembership->Tick(mNow));
    }
    const std::vector<InFlightDatagram> waiting = std::move(node.mWaiting);
    node.mWaiting.clear();
    for (const InFlightDatagram& datagram : waiting) {
      Deliver(datagram);
    }
    if (turn.Count() % mExchange.Count() == 0) {
      Exchange(aIndex);
    }
  }

  std::mt19937_64 mRandom;
  GossipLimits mLimits;
  std::vector<Node> mNodes;
  std::multimap<Millis, InFlightDatagram> mInFlight;
  std::function<void(size_t, const GossipActions&)> mWatcher;
  Millis mNow = kStart;
  Millis mExchange{10000};  // as in gossip_loop.cpp
  std::pair<size_t, size_t> mBrokenLink;
  double mLoss = 0;
  size_t mFalseDeaths = 0;
};

}  // namespace rillwall
