/// \file
/// Shared parts of the serving path's tests: an in-memory store with faults, a
/// scripted replica, and a node on one thread.

#pragma once

#include <cppunit/TestAssert.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rillwall/node_context.h"

namespace rillwall {

/// Fault injected into the next change of the store.
enum class StoreFault {
  None,
  Refused,      ///< the change is not applied, and the error says so
  LostApplied,  ///< the change is applied, and its answer is lost
  LostDropped,  ///< the change is not applied, and its answer is lost
};

/// An in-memory store.
class FakeStore final : public StorePort {
 public:
  asio::awaitable<Result<std::optional<StoreItem>>> Get(
      std::string aKey) override;
  asio::awaitable<Result<std::optional<StoreItem>>> GetStale(
      std::string aKey) override;
  asio::awaitable<Result<StoreList>> List(std::string aPrefix,
                                          std::string aAfter) override;
  asio::awaitable<Result<StoreEvents>> Watch(std::string aPrefix,
                                             int64_t aAfter,
                                             Millis aWait) override;
  asio::awaitable<Result<StoreCommit>> Commit(StoreChange aChange) override;
  asio::awaitable<Result<StoreLease>> Grant(Millis aTtl) override;
  asio::awaitable<Result<bool>> Renew(int64_t aLease) override;
  asio::awaitable<std::optional<Error>> Release(int64_t aLease) override;
  StoreCounts Counts() const override { return mCounts; }

  /// Expires a lease, as if it had not been renewed.
  void Lapse(int64_t aLease);
  /// Writes a key as another client of the store would.
  void Write(const std::string& aKey, const std::string& aValue);
  const std::map<std::string, StoreItem>& Items() const { return mItems; }
  size_t CountOf(const std::string& aPrefix) const;

  std::deque<StoreFault> mFaults;  ///< for the next changes, in order
  bool mDown = false;              ///< every call is refused
  uint64_t mStaleReads = 0;        ///< number of reads that allow stale data
  Millis mDelay;                   ///< before each call and after each change

 private:
  std::optional<Error> Down() const;
  StoreCommit Apply(const StoreChange& aChange);

  StoreCounts mCounts;
  std::map<std::string, StoreItem> mItems;
  std::map<std::string, int64_t> mKeyLeases;
  std::map<int64_t, bool> mLeases;
  std::vector<StoreEvent> mHistory;
  int64_t mRevision = 1;
  int64_t mNextLease = 100;
};

/// How a scripted replica answers one request.
struct ReplicaScript {
  int mStatus = 200;
  bool mNotRun = false;   ///< the response says that the request was not run
  bool mWrongId = false;  ///< echoes the identity of another request
  bool mSilent = false;   ///< never answers
  bool mProcessEnds = false;  ///< the replica's process ends under the request
  int64_t mBreakAfter = -1;   ///< events after which the stream is cut
  int64_t mSkipEvent = -1;    ///< id of an event that is left out
  Millis mEventTime{1};       ///< between two events
  int64_t mVersionAt = -1;    ///< event at which the version increases by one
  int64_t mEndsAfter = -1;    ///< events after which the process ends
  std::string mSignature = {};  ///< of a scorer; empty: a sound one
};

/// An HTTP server on its own port that answers by script.
class ScriptedReplica {
 public:
  ScriptedReplica(asio::io_context& aIo, std::string aId, HeaderNames aNames);
  ~ScriptedReplica() { mServer.Stop(); }

  Replica Entry(const std::string& aService) const;
  /// Ends the replica's process: connections are closed, and nothing listens
  /// any more.
  void Stop() { mServer.Stop(); }
  std::deque<ReplicaScript> mScripts;  ///< for the next requests
  ReplicaScript mDefaultScript;        ///< for all later requests
  /// Received requests, without questions whether it runs (AskReplica).
  std::vector<HttpRequest> mRequests;
  int64_t mEvents = 3;  ///< number of events of a whole stream
  int64_t mVersion = 5;
  int64_t mSlots = 8;
  bool mStreams = true;  ///< answers with events, else with a plain body
  int mRunning = 0;
  std::string mLoad;  ///< load report of its responses; empty: none
  static constexpr char kHealthPath[] = "/healthy";
  int mHealthStatus = 200;
  int mHealthChecks = 0;  ///< received; they are not in mRequests

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  asio::awaitable<void> Stream(const HttpRequest& aRequest,
                               ReplicaScript aScript, HttpResponse aHead,
                               HttpExchange& aExchange);

  asio::io_context& mIo;
  const std::string mId;
  const HeaderNames mNames;
  HttpServer mServer;
  Endpoint mEndpoint;
};

/// A replica that has ended, though a connection to it has not been closed yet:
/// the connection is reset when a request arrives, and others are refused.
class EndedReplica {
 public:
  EndedReplica(asio::io_context& aIo, std::string aId);
  Replica Entry(const std::string& aService) const;
  /// \return whether the connection that stays open has been made; the first
  /// one is
  bool Connected() const { return mSocket.is_open(); }
  Endpoint Address() const { return mEndpoint; }
  int mRequests = 0;  ///< that arrived on the connection

 private:
  const std::string mId;
  asio::ip::tcp::acceptor mAcceptor;
  asio::ip::tcp::socket mSocket;
  Endpoint mEndpoint;
};

/// What an UnframedReplica does as it closes the connection of a response.
enum class UnframedEnd {
  Lives,   ///< goes on
  Ends,    ///< its process ends: nothing listens any more
  Reborn,  ///< another replica is at its address at once
  Mute,    ///< goes on, but answers nothing any more
};

/// A replica whose responses have no length and end with their connections,
/// which it closes in order.
class UnframedReplica {
 public:
  UnframedReplica(asio::io_context& aIo, std::string aId);
  ~UnframedReplica() { mAcceptor->close(); }
  Replica Entry(const std::string& aService) const;
  UnframedEnd mEnd = UnframedEnd::Lives;  ///< at the next response
  std::string mBody;                      ///< of its responses
  /// Bytes that it repeats after its next response until the peer closes the
  /// connection.
  std::string mEndless;
  /// Bytes after which it stops its next response, and closes.
  std::optional<size_t> mStopAfter;
  bool mWithLength = false;                     ///< its responses have a length
  std::string mStatusLine = "HTTP/1.1 200 OK";  ///< of its responses
  /// Bytes of the response to a request that resumes after an event.
  std::string mBodyAfterEvent;
  std::vector<HttpRequest> mRequests;  ///< that it ran
  int mQuestions = 0;                  ///< requests that it rejected

 private:
  using Socket = asio::ip::tcp::socket;
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Socket> aSocket);
  std::string ResponseTo(const HttpRequest& aRequest);
  void End();

  asio::io_context& mIo;
  const std::string mId;
  std::string mPresentId;  ///< of the process at its address
  bool mMute = false;
  std::shared_ptr<asio::ip::tcp::acceptor> mAcceptor;
  Endpoint mEndpoint;
};

/// An io_context whose pending coroutines can be destroyed while the objects
/// that they refer to still exist.
class TestContext : public asio::io_context {
 public:
  void Close() { shutdown(); }
};

/// The clock of a host that a test can suspend.
class SuspendedClock final : public Clock {
 public:
  Millis Now() const override { return mSteady.Now() + mSuspended; }
  /// Advances the clock while the host's timers stand still.
  void Suspend(Millis aSpan) { mSuspended += aSpan; }

 private:
  SteadyClock mSteady;
  Millis mSuspended;
};

/// The parts that outlive a node: the store, and the io_context that replicas
/// run on.
struct TestWorld {
  TestContext mIo;
  FakeStore mStore;
};

/// A node's process. A node whose io_context is no longer run behaves as if it
/// had crashed.
class TestNode {
 public:
  explicit TestNode(TestWorld& aWorld, std::string aRun = "n1-run");
  ~TestNode() { mIo.Close(); }

  /// Runs a coroutine to its end.
  template <class Value>
  Value Run(asio::awaitable<Value> aWork) {
    std::optional<Value> result;
    std::exception_ptr thrown;
    asio::co_spawn(mIo, std::move(aWork),
                   [&](std::exception_ptr aThrown, Value aValue) {
                     thrown = aThrown;
                     result.emplace(std::move(aValue));
                   });
    RunUntil([&] { return result.has_value(); });
    if (thrown) {
      std::rethrow_exception(thrown);
    }
    return std::move(*result);
  }
  /// Runs until a condition holds; fails after 20 s.
  template <class Condition>
  void RunUntil(Condition aCondition) {
    constexpr int kTimeoutMs = 20000;
    const Millis end = mNode.Now() + Millis(kTimeoutMs);
    while (!aCondition()) {
      CPPUNIT_ASSERT_MESSAGE("waited too long", mNode.Now() < end);
      const size_t done = mIo.poll() + mWorld.mIo.poll();
      if (done == 0) {
        std::this_thread::sleep_for(std::chrono::microseconds(300));
      }
      mIo.restart();
      mWorld.mIo.restart();
    }
  }
  /// Runs for the given time.
  void RunFor(Millis aSpan);
  /// Suspends the host for the given time.
  void Suspend(Millis aSpan) { mClock->Suspend(aSpan); }
  /// Adds a replica to the node's list, as the registry would.
  void Add(const ScriptedReplica& aReplica, const std::string& aService) {
    Add(aReplica.Entry(aService));
  }
  /// Adds a replica that has ended to the node's list, and leaves a connection
  /// to it in the node's pool.
  void Add(const EndedReplica& aReplica, const std::string& aService);

  TestWorld& mWorld;
  TestContext mIo;
  NodeContext mNode{mIo, mWorld.mStore};

 private:
  void Add(const Replica& aEntry);

  std::shared_ptr<SuspendedClock> mClock = std::make_shared<SuspendedClock>();
  std::vector<Replica> mListed;
};

/// Routes of host "h": steps under /r/ at the service "engine", scores under
/// /score/ at "scorer".
RouteTable StepRoutes();

/// Header names for tests.
HeaderNames TestHeaders();

}  // namespace rillwall
