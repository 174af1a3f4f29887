#include "gossip_loop.h"

#include <fstream>
#include <iterator>

#include "rillwall/gossip_codec.h"
#include "rillwall/log.h"
#include "rillwall/wire_convert.h"

namespace rillwall {

namespace {

constexpr Millis kTickPeriod{50};
constexpr Millis kExchangePeriod{10000};
constexpr Millis kFirstExchange{300};
constexpr Millis kExchangeTimeout{2000};

const char* StateName(MemberState aState) {
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      return "leaving";
    default:
      return "dead";
  }
}

std::string ReadKey(const std::string& aFile) {
  std::ifstream file(aFile, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

GossipLoop::GossipLoop(Node& aNode)
    : mNode(aNode),
      mSocket(aNode.Context(),
              [this](std::string_view aBytes, const std::string& aFrom) {
                HandleDatagram(std::string(aBytes), aFrom);
              }),
      mKey(ReadKey(aNode.Settings().mFleetKeyFile)),
      mRandom(std::random_device()()) {}

Result<Endpoint> GossipLoop::Start() {
  Result<Endpoint> taken = mSocket.Listen(mNode.Settings().mGossip);
  if (taken) {
    mNode.SpawnControl(TickLoop());
    mNode.SpawnControl(ExchangeLoop());
  }
  return taken;
}

void GossipLoop::OnMember(MemberListener aListener) {
  mMemberListeners.push_back(std::move(aListener));
}

void GossipLoop::OnFact(FactListener aListener) {
  mFactListeners.push_back(std::move(aListener));
}

void GossipLoop::SetFact(Fact aFact) {
  CarryOut(mNode.Members().SetFact(std::move(aFact), mNode.Now()));
}

void GossipLoop::Leave() { CarryOut(mNode.Members().Leave(mNode.Now())); }

GossipState GossipLoop::Exchange(const GossipState& aTheirs) {
  CarryOut(mNode.Members().Merge(aTheirs, mNode.Now()));
  return mNode.Members().Snapshot();
}

void GossipLoop::Stop() { mSocket.Stop(); }

asio::awaitable<void> GossipLoop::TickLoop() {
  while (true) {
    CarryOut(mNode.Members().Tick(mNode.Now()));
    const uint64_t sent = mSocket.BytesSent();
    const uint64_t received = mSocket.BytesReceived();
    mNode.Meter().Add(Counter::GossipSentBytes, sent - mSentBytes);
    mNode.Meter().Add(Counter::GossipReceivedBytes, received - mReceivedBytes);
    mSentBytes = sent;
    mReceivedBytes = received;
    co_await Node::Sleep(kTickPeriod);
  }
}

// Exchanges the full state with a random peer at intervals. This repairs what
// lost datagrams failed to deliver, and gives a node that has just joined the
// whole state at once.
asio::awaitable<void> GossipLoop::ExchangeLoop() {
  co_await Node::Sleep(kFirstExchange);
  while (true) {
    std::vector<Member> peers = mNode.Members().Live();
    std::erase_if(peers, [this](const Member& aMember) {
      return aMember.mId == mNode.Settings().mNodeId;
    });
    if (!peers.empty()) {
      co_await ExchangeWith(peers[mRandom() % peers.size()]);
    }
    co_await Node::Sleep(peers.empty() ? kFirstExchange : kExchangePeriod);
  }
}

asio::awaitable<void> GossipLoop::ExchangeWith(Member aPeer) {
  wire::PeerRequest request;
  *request.mutable_exchange() = ToWire(mNode.Members().Snapshot());
  const Result<wire::PeerReply> reply = co_await mNode.CallPeer(
      aPeer.mId, aPeer.mRpc, std::move(request), kExchangeTimeout);
  if (!reply || !reply->has_exchange()) {
    co_return;
  }
  const Result<GossipState> theirs = FromWire(reply->exchange());
  if (theirs) {
    CarryOut(mNode.Members().Merge(*theirs, mNode.Now()));
  }
}

void GossipLoop::CarryOut(GossipActions aActions) {
  for (const GossipDatagram& send : aActions.mDatagrams) {
    mSocket.Send(send.mTo, EncodeGossip(send.mMessage, mKey));
  }
  for (const Member& member : aActions.mChangedMembers) {
    Log(Part::Gossip)
        .Info("Node " + member.mId + " is " + StateName(member.mState) + ".");
    for (const MemberListener& listener : mMemberListeners) {
      listener(member);
    }
  }
  for (const Fact& fact : aActions.mUpdatedFacts) {
    for (const FactListener& listener : mFactListeners) {
      listener(fact);
    }
  }
}

void GossipLoop::HandleDatagram(std::string aBytes, const std::string& aFrom) {
  Result<GossipMessage> message = DecodeGossip(aBytes, mKey);
  if (!message) {
    Log(Part::Gossip).Warn("Dropped a datagram: " + message.error().Detail());
    return;
  }
  asio::post(mNode.Control(), [this, aFrom, message = std::move(*message)] {
    CarryOut(mNode.Members().Receive(message, aFrom, mNode.Now()));
  });
}

}  // namespace rillwall
