#include "policy_keeper.h"

#include <algorithm>

#include "rillwall/log.h"
#include "tasks.h"

namespace rillwall {

namespace {

constexpr const char* kKey = "rillwall/policies";
constexpr const char* kFact = "policy";
constexpr Millis kStartPeriod{250};
constexpr Millis kConfirmPeriod{3000};
constexpr Millis kPeerTimeout{1000};
constexpr Millis kInForceWait{3000};
constexpr Millis kInForcePoll{100};
constexpr size_t kWatchersPerZone = 2;
constexpr int kWriteAttempts = 5;
constexpr int kSettleAttempts = 20;
constexpr Millis kSettlePause{250};

Error LostRace(const PolicyDocument& aCurrent, uint64_t aRevision) {
  const PolicyChange* winner = aCurrent.FindRevision(aRevision);
  std::string who = "another operator";
  if (winner != nullptr) {
    who = "'" + winner->mAuthor + "' changed '" + winner->mName + "'";
  }
  return Error(ErrorKind::Conflict,
               "The policies are at revision " +
                   std::to_string(aCurrent.mSet.Revision()) + "; " + who +
                   " first. Read them, and put your change again with "
                   "that revision.");
}

}  // namespace

PolicyKeeper::PolicyKeeper(Node& aNode, GossipLoop& aGossip)
    : mNode(aNode), mGossip(aGossip), mRandom(std::random_device()()) {}

void PolicyKeeper::Start() {
  mGossip.OnFact([this](const Fact& aFact) {
    const bool newer = aFact.mRevision > mDocument.mSet.Revision();
    if (aFact.mKey == kFact && newer) {
      mNode.SpawnControl(FetchFromPeers());
    }
  });
  mNode.SpawnControl(ConfirmLoop());
  mNode.SpawnControl(WatchLoop());
}

asio::awaitable<Result<PolicyAccepted>> PolicyKeeper::Change(PolicyEdit aEdit) {
  Result<PolicyDocument> written = co_await asio::co_spawn(
      mNode.Control(), Write(std::move(aEdit)), asio::use_awaitable);
  if (!written) {
    co_return written.error();
  }
  const uint64_t revision = written->mSet.Revision();
  mNode.Meter().Add(Counter::PolicyChanges);
  co_return co_await asio::co_spawn(mNode.Control(), AwaitInForce(revision),
                                    asio::use_awaitable);
}

wire::PolicyBody PolicyKeeper::Answer(const wire::AskPolicy& aAsk,
                                      const std::string& aFrom) {
  wire::PolicyBody body;
  body.set_revision(mDocument.mSet.Revision());
  body.set_known(mKnown);
  if (!aAsk.revision_only()) {
    body.set_body(mDocument.Encode());
  }
  // The asker may know of a newer one than we do.
  if (aAsk.known() > mDocument.mSet.Revision()) {
    Log(Part::Policy).Info("Node " + aFrom + " has a newer policy revision.");
    mNode.SpawnControl(FetchFromPeers());
  }
  return body;
}

asio::awaitable<Result<KvEntry>> PolicyKeeper::ReadKey() {
  const Result<KvRange> range = co_await mNode.Kv().Range(kKey, false);
  if (!range) {
    co_return range.error();
  }
  if (range->mEntries.empty()) {
    co_return KvEntry();
  }
  co_return range->mEntries.front();
}

asio::awaitable<Result<PolicyDocument>> PolicyKeeper::Write(PolicyEdit aEdit) {
  PolicyChange change;
  change.mName = aEdit.mName;
  change.mRemoved = aEdit.mRemove;
  change.mAuthor = aEdit.mAuthor;
  change.mNonce = mNode.Settings().mNodeId + "/" + std::to_string(mRandom());
  for (int attempt = 0; attempt < kWriteAttempts; ++attempt) {
    const Result<KvEntry> entry = co_await ReadKey();
    if (!entry) {
      co_return entry.error();
    }
    PolicyDocument current;
    if (entry->mModRevision != 0) {
      Result<PolicyDocument> decoded = PolicyDocument::Decode(entry->mValue);
      if (!decoded) {
        co_return decoded.error();
      }
      current = std::move(*decoded);
      Adopt(current);
    }
    const uint64_t revision = current.mSet.Revision();
    if (aEdit.mBasedOn && *aEdit.mBasedOn != revision) {
      co_return LostRace(current, *aEdit.mBasedOn + 1);
    }
    Result<PolicyDocument> next = current.With(change, aEdit.mProgram);
    if (!next) {
      co_return next.error();
    }
    const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
        kKey, entry->mModRevision, next->Encode(), 0);
    if (swap && swap->mApplied) {
      Adopt(*next);
      co_return std::move(*next);
    }
    if (!swap && swap.error().Kind() == ErrorKind::KvUncertain) {
      co_return co_await Settle(change.mNonce, std::move(*next));
    }
    if (!swap) {
      co_return swap.error();
    }
    // Another operator was first. Without a stated revision the edit stands on
    // whatever is in force, so it is made again on that.
  }
  co_return Error(ErrorKind::Conflict,
                  "Other operators kept changing the policies meanwhile.");
}

// The answer of the write was lost: what stands there now tells.
asio::awaitable<Result<PolicyDocument>> PolicyKeeper::Settle(
    std::string aNonce, PolicyDocument aNext) {
  for (int attempt = 0; attempt < kSettleAttempts; ++attempt) {
    const Result<KvEntry> entry = co_await ReadKey();
    if (entry) {
      Result<PolicyDocument> current =
          entry->mModRevision == 0 ? Result<PolicyDocument>(PolicyDocument())
                                   : PolicyDocument::Decode(entry->mValue);
      if (!current) {
        co_return current.error();
      }
      Adopt(*current);
      if (current->FindNonce(aNonce) != nullptr) {
        co_return std::move(aNext);
      }
      const uint64_t revision = aNext.mSet.Revision();
      if (current->mSet.Revision() >= revision) {
        co_return LostRace(*current, revision);
      }
      // Not there yet: it may still arrive, so it must not be called failed
      // before it has been overtaken or the attempts are used up.
    }
    co_await Node::Sleep(kSettlePause);
  }
  co_return Error(ErrorKind::KvUncertain,
                  "The change may or may not have been accepted.");
}

asio::awaitable<bool> PolicyKeeper::HasRevision(Member aPeer,
                                                uint64_t aRevision) {
  wire::PeerRequest request;
  request.mutable_ask_policy()->set_revision_only(true);
  request.mutable_ask_policy()->set_known(aRevision);
  const Result<wire::PeerReply> reply = co_await mNode.CallPeer(
      aPeer.mId, aPeer.mRpc, std::move(request), kPeerTimeout);
  co_return reply && reply->policy().revision() >= aRevision;
}

asio::awaitable<PolicyAccepted> PolicyKeeper::AwaitInForce(uint64_t aRevision) {
  PolicyAccepted accepted;
  accepted.mRevision = aRevision;
  std::vector<Member> pending = OtherMembers();
  accepted.mNodes = pending.size() + 1;
  const Millis start = mNode.Now();
  while (!pending.empty() && mNode.Now() - start < kInForceWait) {
    std::vector<asio::awaitable<bool>> asks;
    for (const Member& member : pending) {
      asks.push_back(HasRevision(member, aRevision));
    }
    const std::vector<bool> has =
        co_await RunAll(mNode.Control(), std::move(asks));
    std::vector<Member> still;
    for (size_t i = 0; i < pending.size(); ++i) {
      if (!has[i]) {
        still.push_back(pending[i]);
      }
    }
    pending = std::move(still);
    if (!pending.empty()) {
      co_await Node::Sleep(kInForcePoll);
    }
  }
  mNode.Meter().Measure(Timing::PolicySpread, mNode.Now() - start);
  for (const Member& member : pending) {
    accepted.mMissing.push_back(member.mId);
  }
  co_return accepted;
}

asio::awaitable<bool> PolicyKeeper::ConfirmWithKv() {
  const Result<KvEntry> entry = co_await ReadKey();
  if (!entry) {
    co_return false;
  }
  if (entry->mModRevision != 0) {
    Result<PolicyDocument> document = PolicyDocument::Decode(entry->mValue);
    if (!document) {
      Log(Part::Policy).Error(document.error().Message());
      co_return false;
    }
    Adopt(std::move(*document));
  }
  Confirm();
  co_return true;
}

asio::awaitable<bool> PolicyKeeper::ConfirmWithPeer(Member aPeer) {
  wire::PeerRequest request;
  const uint64_t own = mDocument.mSet.Revision();
  request.mutable_ask_policy()->set_revision_only(true);
  request.mutable_ask_policy()->set_known(own);
  const Result<wire::PeerReply> reply = co_await mNode.CallPeer(
      aPeer.mId, aPeer.mRpc, std::move(request), kPeerTimeout);
  if (!reply || !reply->policy().known()) {
    co_return false;
  }
  if (reply->policy().revision() > mDocument.mSet.Revision()) {
    wire::PeerRequest fetch;
    fetch.mutable_ask_policy();
    const Result<wire::PeerReply> body = co_await mNode.CallPeer(
        aPeer.mId, aPeer.mRpc, std::move(fetch), kPeerTimeout);
    if (!body) {
      co_return false;
    }
    Result<PolicyDocument> document =
        PolicyDocument::Decode(body->policy().body());
    if (!document) {
      co_return false;
    }
    mNode.Meter().Add(Counter::PolicyFetches);
    Adopt(std::move(*document));
  }
  Confirm();
  co_return true;
}

// A gossiped revision is newer: ask peers until one has it.
asio::awaitable<void> PolicyKeeper::FetchFromPeers() {
  if (mFetching) {
    co_return;
  }
  mFetching = true;
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    const Fact* fact = mNode.Members().FindFact(kFact);
    if (fact == nullptr || fact->mRevision <= mDocument.mSet.Revision()) {
      break;
    }
    std::vector<Member> peers = OtherMembers();
    if (!peers.empty()) {
      co_await ConfirmWithPeer(peers[mRandom() % peers.size()]);
    }
    co_await Node::Sleep(Millis(20));
  }
  mFetching = false;
}

asio::awaitable<void> PolicyKeeper::ConfirmLoop() {
  while (true) {
    bool confirmed = false;
    const std::vector<Member> peers = OtherMembers();
    if (mKnown && !peers.empty()) {
      confirmed = co_await ConfirmWithPeer(peers[mRandom() % peers.size()]);
    }
    if (!confirmed) {
      confirmed = co_await ConfirmWithKv();
    }
    for (size_t i = 0; !confirmed && i < peers.size() && i < 3; ++i) {
      confirmed = co_await ConfirmWithPeer(peers[mRandom() % peers.size()]);
    }
    mNode.Lifecycle().Tick(mNode.Now());
    mNode.PublishPhase();
    co_await Node::Sleep(confirmed ? kConfirmPeriod : kStartPeriod);
  }
}

bool PolicyKeeper::IsWatcher() {
  std::vector<Member> zone = mNode.Members().Live();
  std::erase_if(zone, [this](const Member& aMember) {
    return aMember.mZone != mNode.Settings().mZone;
  });
  const std::string duty = "policy-watch/" + mNode.Settings().mZone;
  const std::vector<Member> owners = DutyOwners(zone, duty, kWatchersPerZone);
  return std::ranges::any_of(owners, [this](const Member& aMember) {
    return aMember.mId == mNode.Settings().mNodeId;
  });
}

asio::awaitable<void> PolicyKeeper::WatchLoop() {
  while (true) {
    co_await Node::Sleep(kConfirmPeriod);
    if (!IsWatcher() || !co_await ConfirmWithKv()) {
      continue;
    }
    // A change between the read above and the watch is seen by the next
    // confirmation, so the watch may start at the present.
    co_await mNode.Kv().Watch(
        kKey, 0, [this](const std::vector<KvEvent>& aEvents) {
          for (const KvEvent& event : aEvents) {
            Result<PolicyDocument> document =
                PolicyDocument::Decode(event.mEntry.mValue);
            if (document && event.mEntry.mKey == kKey) {
              asio::post(mNode.Control(),
                         [this, made = std::move(*document)] { Adopt(made); });
            }
          }
        });
  }
}

std::vector<Member> PolicyKeeper::OtherMembers() {
  std::vector<Member> members = mNode.Members().Live();
  std::erase_if(members, [this](const Member& aMember) {
    return aMember.mId == mNode.Settings().mNodeId;
  });
  return members;
}

void PolicyKeeper::Adopt(PolicyDocument aDocument) {
  const uint64_t revision = aDocument.mSet.Revision();
  mNode.Meter().Add(Counter::ChecksPolicyOrder);
  if (revision <= mDocument.mSet.Revision()) {
    return;
  }
  mDocument = std::move(aDocument);
  mNode.Policies().Publish(std::make_shared<const PolicySet>(mDocument.mSet));
  mGossip.SetFact({kFact, revision, ""});
  Log(Part::Policy)
      .Info("Policy revision " + std::to_string(revision) + " is in force.");
}

void PolicyKeeper::Confirm() {
  mKnown = true;
  mNode.Lifecycle().PolicyConfirmed(mNode.Now());
  mNode.PublishPhase();
}

}  // namespace rillwall
