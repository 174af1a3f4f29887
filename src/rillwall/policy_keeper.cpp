#include "policy_keeper.h"

#include <algorithm>

#include "rillwall/log.h"
#include "tasks.h"

namespace rillwall {

namespace {

constexpr const char* kPolicyKey = "rillwall/policies";
constexpr const char* kPolicyFact = "policy";
constexpr Millis kUnconfirmedPeriod{250};
constexpr Millis kConfirmPeriod{3000};
constexpr Millis kPeerTimeout{1000};
constexpr Millis kInForceWait{3000};
constexpr Millis kInForcePollPeriod{100};
constexpr size_t kWatchersPerZone = 2;
constexpr int kWriteAttempts = 5;
constexpr int kResolveAttempts = 20;
constexpr Millis kResolvePause{250};

Error ConflictError(const PolicyDocument& aCurrent, uint64_t aRevision) {
  const PolicyChange* winner = aCurrent.FindRevision(aRevision);
  std::string who = "another operator";
  if (winner != nullptr) {
    who = "'" + winner->mAuthor + "' changed '" + winner->mName + "'";
  }
  return Error(ErrorKind::Conflict,
               "The policies are at revision " +
                   std::to_string(aCurrent.mSet.Revision()) + "; " + who +
                   " first. Read the policies and repeat your change with "
                   "that revision.");
}

}  // namespace

PolicyKeeper::PolicyKeeper(Node& aNode, GossipLoop& aGossip)
    : mNode(aNode), mGossip(aGossip), mRandom(std::random_device()()) {}

void PolicyKeeper::Start() {
  mGossip.OnFact([this](const Fact& aFact) {
    const bool newer = aFact.mRevision > mDocument.mSet.Revision();
    if (aFact.mKey == kPolicyFact && newer) {
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

wire::PolicyBody PolicyKeeper::HandleAskPolicy(const wire::AskPolicy& aRequest,
                                               const std::string& aFrom) {
  wire::PolicyBody body;
  body.set_revision(mDocument.mSet.Revision());
  body.set_known(mConfirmed);
  if (!aRequest.revision_only()) {
    body.set_body(mDocument.Encode());
  }
  // The peer may know of a newer revision than this node does.
  if (aRequest.known() > mDocument.mSet.Revision()) {
    Log(Part::Policy).Info("Node " + aFrom + " has a newer policy revision.");
    mNode.SpawnControl(FetchFromPeers());
  }
  return body;
}

asio::awaitable<Result<KvEntry>> PolicyKeeper::ReadKey() {
  const Result<KvRange> range = co_await mNode.Kv().Range(kPolicyKey, false);
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
      co_return ConflictError(current, *aEdit.mBasedOn + 1);
    }
    Result<PolicyDocument> next = current.With(change, aEdit.mProgram);
    if (!next) {
      co_return next.error();
    }
    const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
        kPolicyKey, entry->mModRevision, next->Encode(), 0);
    if (swap && swap->mApplied) {
      Adopt(*next);
      co_return std::move(*next);
    }
    if (!swap && swap.error().Kind() == ErrorKind::KvUncertain) {
      co_return co_await ResolveUncertainWrite(change.mNonce, std::move(*next));
    }
    if (!swap) {
      co_return swap.error();
    }
    // Another change was accepted first. An edit without a stated revision
    // applies to whatever is in force, so it is repeated on the new document.
  }
  co_return Error(ErrorKind::Conflict,
                  "Other operators changed the policies during each attempt.");
}

// The response to the write was lost. Reads the key until it shows whether the
// write was applied.
asio::awaitable<Result<PolicyDocument>> PolicyKeeper::ResolveUncertainWrite(
    std::string aNonce, PolicyDocument aNext) {
  for (int attempt = 0; attempt < kResolveAttempts; ++attempt) {
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
        co_return ConflictError(*current, revision);
      }
      // The write may still be applied later. It is not reported as failed
      // until another change has replaced it; when the attempts are used up,
      // its outcome is reported as uncertain.
    }
    co_await Node::Sleep(kResolvePause);
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
    std::vector<asio::awaitable<bool>> requests;
    for (const Member& member : pending) {
      requests.push_back(HasRevision(member, aRevision));
    }
    const std::vector<bool> has =
        co_await RunAll(mNode.Control(), std::move(requests));
    std::vector<Member> stillPending;
    for (size_t i = 0; i < pending.size(); ++i) {
      if (!has[i]) {
        stillPending.push_back(pending[i]);
      }
    }
    pending = std::move(stillPending);
    if (!pending.empty()) {
      co_await Node::Sleep(kInForcePollPeriod);
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

// Asks random peers for the policies until this node has the newest revision
// that gossip has announced.
asio::awaitable<void> PolicyKeeper::FetchFromPeers() {
  if (mFetching) {
    co_return;
  }
  mFetching = true;
  constexpr int kMaxRounds = 10;
  for (int round = 0; round < kMaxRounds; ++round) {
    const Fact* fact = mNode.Members().FindFact(kPolicyFact);
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
    if (mConfirmed && !peers.empty()) {
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
    co_await Node::Sleep(confirmed ? kConfirmPeriod : kUnconfirmedPeriod);
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
    // ConfirmLoop() finds a change that falls between the read above and the
    // start of the watch, so the watch may start at the present revision.
    co_await mNode.Kv().Watch(
        kPolicyKey, 0, [this](const std::vector<KvEvent>& aEvents) {
          for (const KvEvent& event : aEvents) {
            Result<PolicyDocument> document =
                PolicyDocument::Decode(event.mEntry.mValue);
            if (document && event.mEntry.mKey == kPolicyKey) {
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
  mGossip.SetFact({kPolicyFact, revision, ""});
  Log(Part::Policy)
      .Info("Policy revision " + std::to_string(revision) + " is in force.");
}

void PolicyKeeper::Confirm() {
  mConfirmed = true;
  mNode.Lifecycle().PolicyConfirmed(mNode.Now());
  mNode.PublishPhase();
}

}  // namespace rillwall
