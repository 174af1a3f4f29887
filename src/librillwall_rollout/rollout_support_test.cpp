/// \file
/// Implements rollout_test_support.h.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "rollout_test_support.h"

namespace rillwall {

namespace {

constexpr Millis kWatchPoll{2};

/// Waits on the caller's executor, so that a destroyed caller leaves nothing
/// pending.
asio::awaitable<void> Wait(Millis aSpan) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Error LostAnswer() { return {ErrorKind::KvUncertain, "the answer is lost"}; }

}  // namespace

RouteTable StepRoutes() {
  Route rollout;
  rollout.mHost = "h";
  rollout.mPrefix = "/r/";
  rollout.mKind = RequestKind::Rollout;
  rollout.mAttempts = 3;
  rollout.mTargets = {{"engine", 1}};
  Route score;
  score.mHost = "h";
  score.mPrefix = "/score/";
  score.mAttempts = 2;
  score.mTargets = {{"scorer", 1}};
  return RouteTable(1, {rollout, score}, {{"engine", 0, true, {"m"}}}, {});
}

HeaderNames TestHeaders() {
  return {"Id",     "Left",    "Expected",   "Not-Run",
          "Signed", "Weights", "Last-Event", "Priority"};
}

std::optional<Error> FakeStore::Down() const {
  return mDown ? std::optional(Error(ErrorKind::KvUnavailable, "down"))
               : std::nullopt;
}

asio::awaitable<Result<std::optional<StoreItem>>> FakeStore::Get(
    std::string aKey) {
  ++mCounts.mReads;
  co_await Wait(mDelay);
  if (const auto down = Down()) {
    co_return *down;
  }
  const auto found = mItems.find(aKey);
  co_return found == mItems.end() ? std::nullopt : std::optional(found->second);
}

asio::awaitable<Result<std::optional<StoreItem>>> FakeStore::GetStale(
    std::string aKey) {
  ++mStaleReads;
  co_return co_await Get(std::move(aKey));
}

asio::awaitable<Result<StoreList>> FakeStore::List(std::string aPrefix,
                                                   std::string aAfter) {
  ++mCounts.mReads;
  co_await Wait(mDelay);
  if (const auto down = Down()) {
    co_return *down;
  }
  constexpr size_t kPageSize =
      2;  // small, so that every reader handles several pages
  StoreList list;
  list.mRevision = mRevision;
  for (const auto& [key, item] : mItems) {
    if (!key.starts_with(aPrefix) || key <= aAfter) {
      continue;
    }
    if (list.mItems.size() == kPageSize) {
      list.mMore = true;
      break;
    }
    list.mItems.push_back(item);
  }
  co_return list;
}

asio::awaitable<Result<StoreEvents>> FakeStore::Watch(std::string aPrefix,
                                                      int64_t aAfter,
                                                      Millis aWait) {
  ++mCounts.mWatches;
  StoreEvents events;
  for (Millis waited; events.mEvents.empty() && waited < aWait;
       waited += kWatchPoll) {
    if (const auto down = Down()) {
      co_return *down;
    }
    for (const StoreEvent& event : mHistory) {
      if (event.mItem.mRevision > aAfter &&
          event.mItem.mKey.starts_with(aPrefix)) {
        events.mEvents.push_back(event);
      }
    }
    if (events.mEvents.empty()) {
      co_await Wait(kWatchPoll);
    }
  }
  events.mRevision = mRevision;
  co_return events;
}

StoreCommit FakeStore::Apply(const StoreChange& aChange) {
  StoreCommit commit;
  commit.mApplied = true;
  for (const StoreGuard& guard : aChange.mGuards) {
    const auto found = mItems.find(guard.mKey);
    const int64_t revision =
        found == mItems.end() ? 0 : found->second.mRevision;
    commit.mApplied = commit.mApplied && revision == guard.mRevision;
    if (found != mItems.end()) {
      commit.mCurrent.push_back(found->second);
    }
  }
  if (!commit.mApplied) {
    return commit;
  }
  commit.mCurrent.clear();
  commit.mRevision = ++mRevision;
  for (const StorePut& put : aChange.mPuts) {
    StoreItem& item = mItems[put.mKey];
    const int64_t created =
        item.mCreateRevision == 0 ? mRevision : item.mCreateRevision;
    item = {put.mKey, put.mValue, mRevision, created, put.mLease};
    mKeyLeases[put.mKey] = put.mLease;
    mHistory.push_back({false, item});
  }
  for (const std::string& key : aChange.mRemoves) {
    mItems.erase(key);
    mHistory.push_back({true, {key, {}, mRevision, 0, 0}});
  }
  return commit;
}

asio::awaitable<Result<StoreCommit>> FakeStore::Commit(StoreChange aChange) {
  ++mCounts.mWrites;
  co_await Wait(mDelay);
  if (const auto down = Down()) {
    co_return *down;
  }
  StoreFault fault = StoreFault::None;
  if (!mFaults.empty()) {
    fault = mFaults.front();
    mFaults.pop_front();
  }
  if (fault == StoreFault::Refused) {
    co_return Error(ErrorKind::KvUnavailable, "refused");
  }
  if (fault == StoreFault::LostDropped) {
    co_return LostAnswer();
  }
  StoreCommit commit = Apply(aChange);
  co_await Wait(mDelay);
  if (fault == StoreFault::LostApplied) {
    co_return LostAnswer();
  }
  co_return commit;
}

asio::awaitable<Result<StoreLease>> FakeStore::Grant(Millis aTtl) {
  if (const auto down = Down()) {
    co_return *down;
  }
  mLeases[++mNextLease] = true;
  co_return StoreLease{mNextLease, aTtl};
}

asio::awaitable<Result<bool>> FakeStore::Renew(int64_t aLease) {
  ++mCounts.mRenewals;
  if (const auto down = Down()) {
    co_return *down;
  }
  co_return mLeases[aLease];
}

asio::awaitable<std::optional<Error>> FakeStore::Release(int64_t aLease) {
  Lapse(aLease);
  co_return std::nullopt;
}

void FakeStore::Lapse(int64_t aLease) {
  mLeases[aLease] = false;
  StoreChange change;
  for (const auto& [key, lease] : mKeyLeases) {
    if (lease == aLease && mItems.contains(key)) {
      change.mRemoves.push_back(key);
    }
  }
  Apply(change);
}

void FakeStore::Write(const std::string& aKey, const std::string& aValue) {
  StoreChange change;
  change.mPuts.push_back({aKey, aValue, 0});
  Apply(change);
}

size_t FakeStore::CountOf(const std::string& aPrefix) const {
  size_t count = 0;
  for (const auto& [key, item] : mItems) {
    count += key.starts_with(aPrefix) ? 1 : 0;
  }
  return count;
}

ScriptedReplica::ScriptedReplica(asio::io_context& aIo, std::string aId,
                                 HeaderNames aNames)
    : mIo(aIo),
      mId(std::move(aId)),
      mNames(std::move(aNames)),
      mServer(aIo, HttpLimits(),
              [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
                return Handle(aRequest, aExchange);
              }) {
  const Result<Endpoint> bound = mServer.Listen({"127.0.0.1", 0});
  CPPUNIT_ASSERT(bound.has_value());
  mEndpoint = *bound;
}

Replica ScriptedReplica::Entry(const std::string& aService) const {
  Replica entry;
  entry.mId = mId;
  entry.mService = aService;
  entry.mAddress = mEndpoint.Text();
  entry.mSlots = mSlots;
  entry.mModels = {{"m", mVersion}};
  return entry;
}

asio::awaitable<void> ScriptedReplica::Handle(const HttpRequest& aRequest,
                                              HttpExchange& aExchange) {
  if (aRequest.mTarget == kHealthPath) {
    ++mHealthChecks;
    HttpResponse health;
    health.mStatus = mHealthStatus;
    health.mHeaders = {{mNames.mReplicaLoad, mLoad}, {mNames.mReplicaId, mId}};
    co_await aExchange.Respond(std::move(health));
    co_return;
  }
  const std::string* id = aRequest.Find(mNames.mRequestId);
  if (id == nullptr && aRequest.Find(mNames.mExpectReplica) != nullptr) {
    HttpResponse rejection;
    rejection.mStatus = 400;
    rejection.mHeaders = {{mNames.mNotRun, "1"}};
    co_await aExchange.Respond(std::move(rejection));
    co_return;
  }
  mRequests.push_back(aRequest);
  ReplicaScript script = mDefaultScript;
  if (!mScripts.empty()) {
    script = mScripts.front();
    mScripts.pop_front();
  }
  if (script.mProcessEnds) {
    mServer.Stop();
    aExchange.Abort();
    co_return;
  }
  ++mRunning;
  while (script.mSilent && !aExchange.PeerDisconnected()) {
    co_await Sleep(mIo, Millis(5));
  }
  HttpResponse head;
  head.mStatus = script.mStatus;
  const std::string echo = script.mWrongId ? "other" : id ? *id : "";
  head.mHeaders.push_back({mNames.mRequestId, echo});
  head.mHeaders.push_back({mNames.mSignature, script.mSignature.empty()
                                                  ? "signed-" + echo
                                                  : script.mSignature});
  head.mHeaders.push_back({mNames.mWeightVersion, std::to_string(mVersion)});
  if (!mLoad.empty()) {
    head.mHeaders.push_back({mNames.mReplicaLoad, mLoad});
  }
  if (script.mNotRun) {
    head.mHeaders.push_back({mNames.mNotRun, "1"});
  }
  if (mStreams && script.mStatus == 200 && !script.mSilent) {
    co_await Stream(aRequest, script, std::move(head), aExchange);
  } else if (!script.mSilent) {
    head.mBody = "answer of " + mId;
    co_await aExchange.Respond(std::move(head));
  }
  --mRunning;
}

asio::awaitable<void> ScriptedReplica::Stream(const HttpRequest& aRequest,
                                              ReplicaScript aScript,
                                              HttpResponse aHead,
                                              HttpExchange& aExchange) {
  co_await aExchange.Begin(std::move(aHead));
  const std::string* last = aRequest.Find(mNames.mLastEvent);
  int64_t at = last == nullptr ? 0 : std::stoll(*last);
  int64_t sent = 0;
  while (at < mEvents) {
    ++at;
    if (sent == aScript.mEndsAfter) {
      mServer.Stop();
    }
    if (sent == aScript.mBreakAfter || sent == aScript.mEndsAfter) {
      aExchange.Abort();
      co_return;
    }
    ++sent;
    std::string event;
    if (at == aScript.mVersionAt) {
      event = "weights: " + std::to_string(mVersion + 1) + "\n";
    }
    event +=
        "id: " + std::to_string(at) + "\ndata: e" + std::to_string(at) + "\n\n";
    if (at != aScript.mSkipEvent) {
      const std::error_code failed = co_await aExchange.Write(std::move(event));
      if (failed) {
        aExchange.Abort();
        co_return;
      }
    }
    co_await Sleep(mIo, aScript.mEventTime);
  }
  co_await aExchange.End();
}

EndedReplica::EndedReplica(asio::io_context& aIo, std::string aId)
    : mId(std::move(aId)),
      mAcceptor(aIo,
                asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      mSocket(aIo),
      mEndpoint{"127.0.0.1", mAcceptor.local_endpoint().port()} {
  mAcceptor.async_accept(mSocket, [this](const auto& aCode) {
    if (aCode) {
      return;
    }
    mAcceptor.close();
    mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                       [this](const auto& aReadCode) {
                         if (!aReadCode) {
                           mRequests += mSocket.available() > 0 ? 1 : 0;
                           // Bytes that were not read cause a reset.
                           mSocket.close();
                         }
                       });
  });
}

Replica EndedReplica::Entry(const std::string& aService) const {
  Replica entry;
  entry.mId = mId;
  entry.mService = aService;
  entry.mAddress = mEndpoint.Text();
  entry.mSlots = 8;
  entry.mModels = {{"m", 5}};
  return entry;
}

UnframedReplica::UnframedReplica(asio::io_context& aIo, std::string aId)
    : mIo(aIo),
      mId(std::move(aId)),
      mPresentId(mId),
      mAcceptor(std::make_shared<asio::ip::tcp::acceptor>(
          aIo, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))),
      mEndpoint{"127.0.0.1", mAcceptor->local_endpoint().port()} {
  asio::co_spawn(aIo, Accept(), asio::detached);
}

Replica UnframedReplica::Entry(const std::string& aService) const {
  Replica entry;
  entry.mId = mId;
  entry.mService = aService;
  entry.mAddress = mEndpoint.Text();
  entry.mSlots = 8;
  entry.mModels = {{"m", 5}};
  return entry;
}

asio::awaitable<void> UnframedReplica::Accept() {
  const auto acceptor = mAcceptor;
  while (true) {
    auto socket = std::make_shared<Socket>(acceptor->get_executor());
    const auto [code] = co_await acceptor->async_accept(
        *socket, asio::as_tuple(asio::use_awaitable));
    if (code) {
      co_return;
    }
    asio::co_spawn(mIo, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> UnframedReplica::Serve(std::shared_ptr<Socket> aSocket) {
  boost::beast::flat_buffer buffer;
  boost::beast::http::request<boost::beast::http::string_body> received;
  const auto [code, size] = co_await boost::beast::http::async_read(
      *aSocket, buffer, received, asio::as_tuple(asio::use_awaitable));
  if (code) {
    co_return;
  }
  HttpRequest request;
  request.mTarget = std::string(received.target());
  for (const auto& field : received) {
    request.mHeaders.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  while (mMute) {
    co_await Wait(Millis(5));
  }
  const size_t before = mRequests.size();
  std::string response = ResponseTo(request);
  if (mStopAfter && mRequests.size() > before) {
    response.resize(std::min(response.size(), *mStopAfter));
  }
  co_await asio::async_write(*aSocket, asio::buffer(response),
                             asio::as_tuple(asio::use_awaitable));
  bool open = !mEndless.empty();
  while (open) {
    const auto [failed, written] = co_await asio::async_write(
        *aSocket, asio::buffer(mEndless), asio::as_tuple(asio::use_awaitable));
    open = !failed;
    co_await Wait(Millis(5));
  }
  if (mRequests.size() > before) {
    End();
  }
  aSocket->close();
}

std::string UnframedReplica::ResponseTo(const HttpRequest& aRequest) {
  const HeaderNames names = TestHeaders();
  const std::string* expected = aRequest.Find(names.mExpectReplica);
  const std::string* id = aRequest.Find(names.mRequestId);
  if (id == nullptr || (expected != nullptr && *expected != mPresentId)) {
    ++mQuestions;
    return std::string("HTTP/1.1 ") +
           (id == nullptr && *expected == mPresentId
                ? "400 Bad Request"
                : "421 Misdirected Request") +
           "\r\n" + names.mNotRun + ": 1\r\nContent-Length: 0\r\n\r\n";
  }
  mRequests.push_back(aRequest);
  const bool resumed = aRequest.Find(names.mLastEvent) != nullptr;
  const std::string& body = resumed ? mBodyAfterEvent : mBody;
  const std::string length =
      mWithLength ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                  : std::string();
  return mStatusLine + "\r\n" + names.mRequestId + ": " + *id + "\r\n" +
         length + names.mSignature + ": signed-" + *id + "\r\n" +
         names.mWeightVersion + ": 5\r\n\r\n" + body;
}

void UnframedReplica::End() {
  if (mEnd == UnframedEnd::Ends) {
    mAcceptor->close();
  } else if (mEnd == UnframedEnd::Reborn) {
    mPresentId = mId + "-next";
  }
  mMute = mEnd == UnframedEnd::Mute;
}

TestNode::TestNode(TestWorld& aWorld, std::string aRun) : mWorld(aWorld) {
  mNode.mIdentity = {"n1", "z", "n1-address", std::move(aRun), false};
  mNode.mHeaders = TestHeaders();
  mNode.mClock = mClock;
  mNode.mClient.SetConnectTimeout(Millis(300));
}

void TestNode::RunFor(Millis aSpan) {
  const Millis end = mNode.Now() + aSpan;
  RunUntil([&] { return mNode.Now() >= end; });
}

void TestNode::Add(const EndedReplica& aReplica, const std::string& aService) {
  Add(aReplica.Entry(aService));
  const Listening listening =
      Run(mNode.mClient.Probe(aReplica.Address(), Millis(1000)));
  CPPUNIT_ASSERT(listening == Listening::Yes);
  RunUntil([&] { return aReplica.Connected(); });
}

void TestNode::Add(const Replica& aEntry) {
  mListed.push_back(aEntry);
  mNode.mReplicas.Update(mListed, false);
}

}  // namespace rillwall
