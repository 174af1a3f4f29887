#include "http_server_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>

namespace rillwall {

namespace {

constexpr size_t kReadSize = 4096;
constexpr size_t kLargeReadSize = 64 * 1024;
/// Within the charge of a connection.
constexpr size_t kLingerReadSize = 16 * 1024;
/// Largest body, and most that a head may cost, that the charge of a connection
/// covers.
constexpr size_t kCoveredBody = 4 * 1024;
constexpr size_t kCoveredHead = 16 * 1024;
/// What a head takes while its request is forwarded: its bytes are held in the
/// input buffer, in the request and in the copies for its tries, and each field
/// takes some list nodes besides.
constexpr size_t kHeadCopies = 4;
constexpr size_t kFieldBytes = 400;
/// A body of unknown length is charged in steps, each so many times as large.
constexpr size_t kFirstBodyStep = 16 * 1024;
constexpr size_t kBodyStepFactor = 4;
constexpr size_t kMaxCopiedBody = 1024 * 1024;
/// Longest wait for memory. Clients give up a request that nobody reads after a
/// second.
constexpr Millis kRoomTimeout{900};
/// How often a waiting connection has slow receivers evicted.
constexpr Millis kEvictInterval{100};
/// Retry-After of requests without memory, in seconds; other hosts may have it.
constexpr char kNoRoomRetryAfter[] = "0.2";
constexpr int kNoRoom = 503;
/// Requests that were sent ahead and run at once.
constexpr size_t kMaxTurns = 8;
/// Bytes of a refused request that are read and discarded, so that the response
/// reaches the peer.
constexpr size_t kMaxDiscardBytes = 64 * 1024 * 1024;
constexpr Millis kLingerTimeout{1000};
constexpr Millis kDrainIdleTimeout{300};
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kComplete = 0;
constexpr int kClose = -1;

int StatusFor(const error_code& aCode) {
  if (aCode == http::error::body_limit) {
    return 413;
  }
  if (aCode == http::error::header_limit) {
    return 431;
  }
  return 400;
}

std::string ErrorBody(int aStatus) {
  switch (aStatus) {
    case 408:
      return R"({"error":{"kind":"timeout","message":"The request did not )"
             R"(arrive in time.","remedy":"Send it without pauses.",)"
             R"("run":"not-run"}})";
    case kNoRoom:
      return R"({"error":{"kind":"unavailable","message":"This host has no )"
             R"(memory for the request now.","remedy":"Send it again, or to )"
             R"(another host.","run":"not-run"}})";
    case 413:
      return R"({"error":{"kind":"too-large","message":"The body is over the )"
             R"(limit.","remedy":"Send less at once.","run":"not-run"}})";
    case 431:
      return R"({"error":{"kind":"too-large","message":"The headers are over )"
             R"(the limit.","remedy":"Send fewer or shorter headers.",)"
             R"("run":"not-run"}})";
    default:
      return R"({"error":{"kind":"bad-request","message":"The request is not )"
             R"(valid HTTP/1.1.","remedy":"Correct the request.",)"
             R"("run":"not-run"}})";
  }
}

HttpResponse ErrorResponse(int aStatus) {
  HttpResponse response = HttpResponse::Json(aStatus, ErrorBody(aStatus));
  response.mHeaders.push_back({"Rillwall-Run", RunStateName(RunState::NotRun)});
  if (aStatus == kNoRoom) {
    response.mHeaders.push_back({"Retry-After", kNoRoomRetryAfter});
  }
  return response;
}

/// \return why the server itself refuses a request, for the log
std::string_view ReasonFor(int aStatus) {
  switch (aStatus) {
    case 408:
      return "the request did not arrive in time";
    case 413:
      return "the body is over the limit";
    case 431:
      return "the head is over the limit";
    case kNoRoom:
      return "there is no memory for the request";
    default:
      return "the request is not valid";
  }
}

HttpResponse NoResponseError() {
  return HttpResponse::Json(
      500, R"({"error":{"kind":"internal","message":"The request's handler )"
           R"(sent no response.","remedy":"Report this with the node's dump.",)"
           R"("run":"unknown"}})");
}

/// \return whether responses with this status have no body
bool IsBodiless(int aStatus) {
  return aStatus == kNoContent || aStatus == kNotModified;
}

/// \return the size line of a chunk
std::string ChunkHead(size_t aSize) {
  std::array<char, 2 * sizeof(size_t)> digits;
  char* const begin = digits.data();
  const auto [end, code] =
      std::to_chars(begin, begin + digits.size(), aSize, 16);
  return std::string(begin, end) + "\r\n";
}

/// \return bytes to charge for a body of unknown length that has this many,
/// some of which may be the heads of chunks
size_t BodyStep(size_t aBytes, size_t aMax) {
  size_t step = kFirstBodyStep;
  while (step < aBytes && step < aMax) {
    step *= kBodyStepFactor;
  }
  return std::min(step, aMax);
}

}  // namespace

size_t HttpServerShared::Connections() const {
  const std::lock_guard lock(mMutex);
  return mConnections.size();
}

std::optional<std::string> HttpServerShared::EvictWithoutRequest() {
  const std::lock_guard lock(mMutex);
  ConnectionList& list = mWithoutHead.empty() ? mIdle : mWithoutHead;
  if (list.empty()) {
    return std::nullopt;
  }
  HttpServerConnection& evicted = *list.front();
  evicted.mNode.splice(evicted.mNode.end(), list, list.begin());
  evicted.mList = &evicted.mNode;
  evicted.Stop();
  return evicted.mPeer;
}

void HttpServerShared::AwaitTurn(std::function<void()> aResume) {
  {
    const std::lock_guard lock(mMutex);
    if (mTurns >= kMaxTurns) {
      mAwaitTurn.push_back(std::move(aResume));
      return;
    }
    ++mTurns;
  }
  aResume();
}

void HttpServerShared::EndTurn() {
  std::function<void()> next;
  {
    const std::lock_guard lock(mMutex);
    if (mAwaitTurn.empty()) {
      --mTurns;
      return;
    }
    next = std::move(mAwaitTurn.front());
    mAwaitTurn.pop_front();
  }
  next();
}

void HttpServerShared::Refused(const HttpRefusal& aRefusal) const {
  if (mOptions.mMemory && aRefusal.mBytes > 0) {
    mOptions.mMemory->CountRefusal();
  }
  if (mOptions.mOnRefused) {
    mOptions.mOnRefused(aRefusal);
  }
}

HttpServerConnection::HttpServerConnection(
    std::shared_ptr<HttpServerShared> aShared, TcpSocket aSocket,
    std::string aPeer, MemoryCharge aCharge)
    : mShared(std::move(aShared)),
      mStrand(asio::make_strand(mShared->mContext.get_executor())),
      mPeer(std::move(aPeer)),
      mSocket(mShared->mContext, std::move(aSocket)),
      mNode{this},
      mConnectionCharge(std::move(aCharge)) {
  {
    const std::lock_guard lock(mShared->mMutex);
    mShared->mConnections.insert(this);
  }
  MoveTo(&mShared->mWithoutHead);
}

HttpServerConnection::~HttpServerConnection() {
  DropRequest();
  MoveTo(nullptr);
  const std::lock_guard lock(mShared->mMutex);
  mShared->mConnections.erase(this);
}

void HttpServerConnection::MoveTo(HttpServerShared::ConnectionList* aList) {
  const std::lock_guard lock(mShared->mMutex);
  HttpServerShared::ConnectionList* const target =
      aList == nullptr ? &mNode : aList;
  if (mList != target) {
    target->splice(target->end(), *mList, mPlace);
    mList = target;
  }
}

void HttpServerConnection::Start(
    std::shared_ptr<HttpServerConnection> aConnection) {
  const Strand strand = aConnection->mStrand;
  asio::co_spawn(
      strand,
      [](std::shared_ptr<HttpServerConnection> aSelf) -> asio::awaitable<void> {
        co_await aSelf->Run();
      }(std::move(aConnection)),
      asio::detached);
}

void HttpServerConnection::Drain() {
  // On the strand, so that a request that is just arriving is not aborted.
  asio::post(mStrand, [weak = weak_from_this()] {
    const std::shared_ptr<HttpServerConnection> self = weak.lock();
    if (self && self->mIdle) {
      self->mSocket.Deadline().Set(kDrainIdleTimeout,
                                   DeadlineEffect::StopReading);
    }
  });
}

void HttpServerConnection::Stop() { mSocket.Deadline().Shutdown(); }

asio::awaitable<void> HttpServerConnection::Run() {
  bool more = co_await HandshakeTls();
  if (!more) {
    mSocket.Close();
    co_return;
  }
  while (more) {
    more = co_await ServeRequest();
    mSentAhead = mInput.size() > 0;
  }
  if (mResponseState == ResponseState::Aborted) {
    // Without chunks, only a reset tells the peer that the response is
    // truncated.
    mChunked ? mSocket.Close() : mSocket.Reset();
    co_return;
  }
  co_await Linger();
  mSocket.Close();
}

asio::awaitable<bool> HttpServerConnection::HandshakeTls() {
  if (!mShared->mKeys) {
    co_return true;
  }
  mSocket.Deadline().Set(mShared->Limits().mHeadTimeout);
  const error_code code = co_await mSocket.HandshakeTls(
      TlsRole::Server, mShared->mKeys->Current(), std::string());
  co_return mSocket.Deadline().Clear() && !code;
}

asio::awaitable<bool> HttpServerConnection::ServeRequest() {
  mLimits = mShared->Limits();
  mParser.emplace();
  mParser->header_limit(mLimits.mMaxHeader);
  mParser->body_limit(mLimits.mMaxBody);
  mHeadCost = 0;
  mResponseState = ResponseState::None;
  mChunked = false;
  const int status = co_await ReadRequest();
  if (status != kComplete) {
    DropRequest();
  }
  if (status == kClose) {
    co_return false;
  }
  if (status != kComplete) {
    co_await RespondWithError(status);
    co_return false;
  }
  mKeepAlive = mParser->get().keep_alive();
  mVersion = mParser->get().version();
  const HttpRequest request = TakeRequest(*mParser, std::move(mBodyCharge));
  mParser.reset();
  ShrinkInput();
  mHeadOnly = request.mMethod == "HEAD";
  co_await RunInTurn(request);
  mHeadCharge.Shrink(0);
  co_return mResponseState == ResponseState::Done&& mKeepAlive;
}

asio::awaitable<void> HttpServerConnection::RunInTurn(
    const HttpRequest& aRequest) {
  const bool inTurn = mSentAhead;
  if (inTurn) {
    co_await asio::async_initiate<const asio::use_awaitable_t<>&, void()>(
        [this](auto aHandler) {
          auto shared =
              std::make_shared<decltype(aHandler)>(std::move(aHandler));
          mShared->AwaitTurn([shared, strand = mStrand] {
            asio::post(strand, [shared] { std::move (*shared)(); });
          });
        },
        asio::use_awaitable);
  }
  co_await RunHandler(aRequest);
  if (inTurn) {
    mShared->EndTurn();
  }
}

void HttpServerConnection::DropRequest() {
  if (mReceiver) {
    mShared->mOptions.mMemory->RemoveReceiver(*mReceiver);
    mReceiver.reset();
  }
  mParser.reset();
  mHeadCharge.Shrink(0);
  mBodyCharge.Shrink(0);
}

void HttpServerConnection::ShrinkInput() {
  // A pending read writes into the buffer.
  if (mPending == nullptr && mInput.size() == 0 &&
      mInput.capacity() > kReadSize) {
    mInput = boost::beast::flat_buffer();
  }
}

asio::awaitable<int> HttpServerConnection::ReadRequest() {
  if (mInput.size() == 0) {
    mIdle = true;
    const bool draining = mShared->mDraining.load();
    mSocket.Deadline().Set(draining ? kDrainIdleTimeout : mLimits.mIdleTimeout,
                           DeadlineEffect::StopReading);
    const bool received = co_await ReadMore();
    mIdle = false;
    if (!received) {
      co_return kClose;
    }
  }
  int status = co_await ReadHead();
  if (status != kComplete) {
    co_return status;
  }
  MoveTo(nullptr);
  status = CheckRequest();
  if (status == kComplete && !mParser->is_done()) {
    status = co_await ReadBody();
  }
  co_return status;
}

asio::awaitable<int> HttpServerConnection::ReadHead() {
  int status = Parse();
  if (status == kComplete && !mParser->is_header_done()) {
    MoveTo(&mShared->mWithoutHead);
    mSocket.Deadline().Set(std::min(mLimits.mHeadTimeout, mLimits.mReadTimeout),
                           DeadlineEffect::StopReading);
  }
  while (status == kComplete && !mParser->is_header_done()) {
    if (!co_await ReadMore()) {
      co_return mSocket.Deadline().Expired() ? 408 : kClose;
    }
    status = Parse();
  }
  const bool inTime = mSocket.Deadline().Clear();
  co_return status == kComplete && !inTime ? 408 : status;
}

asio::awaitable<int> HttpServerConnection::ReadBody() {
  const bool roomNow = mParser->content_length().value_or(0) <= kCoveredBody &&
                       !mParser->chunked();
  if (!roomNow && !MayReadBody()) {
    co_return mRefusal->mStatus;
  }
  if (!roomNow && !co_await AwaitBodyRoom()) {
    co_return mInputEnded ? kClose : kNoRoom;
  }
  mParser->eager(true);
  co_await SendContinue();
  mSocket.Deadline().Set(mLimits.mReadTimeout, DeadlineEffect::StopReading);
  int status = co_await ReadBodyParts();
  const bool inTime = mSocket.Deadline().Clear();
  if (mReceiver) {
    mShared->mOptions.mMemory->RemoveReceiver(*mReceiver);
    mReceiver.reset();
  }
  status = status == kComplete && !inTime ? 408 : status;
  if (status == kComplete) {
    mBodyCharge.Shrink(mParser->get().body().size());
  }
  co_return status;
}

asio::awaitable<int> HttpServerConnection::ReadBodyParts() {
  int status = Parse();
  while (status == kComplete && !mParser->is_done()) {
    if (!co_await ReadMore()) {
      co_return mSocket.Deadline().Expired() || mEvicted ? 408 : kClose;
    }
    if (mReceiver) {
      mShared->mOptions.mMemory->Received(*mReceiver, mInput.size(),
                                          SteadyClock().Now());
    }
    if (mParser->chunked() && !co_await AwaitBodyRoom()) {
      co_return mInputEnded ? kClose : kNoRoom;
    }
    status = Parse();
  }
  co_return status;
}

asio::awaitable<bool> HttpServerConnection::AwaitBodyRoom() {
  if (!mShared->mOptions.mMemory) {
    co_return true;
  }
  std::string& body = mParser->get().body();
  size_t wanted = 0;
  if (mParser->chunked()) {
    const size_t held = body.size() + mInput.size();
    wanted = held <= kCoveredBody ? 0 : BodyStep(held, mLimits.mMaxBody);
  } else {
    const size_t length = mParser->content_length().value_or(0);
    wanted = length + std::min(length, kLargeReadSize);
  }
  if (wanted <= mBodyCharge.Bytes()) {
    co_return true;
  }
  mWanted = wanted;
  if (!mBodyCharge.Budget()) {
    mBodyCharge =
        MemoryCharge(mShared->mOptions.mMemory, mShared->mOptions.mUse);
  }
  if (!mBodyCharge.TryGrow(wanted)) {
    const bool granted = co_await AwaitRoom(wanted);
    if (!granted) {
      co_return false;
    }
  }
  mWanted = 0;
  if (mParser->chunked()) {
    // Growth copies the body. A large block is mapped, so that the bytes of it
    // that are not in use take no memory.
    body.reserve(wanted > kMaxCopiedBody ? mLimits.mMaxBody : wanted);
  }
  MemoryBudget& budget = *mShared->mOptions.mMemory;
  if (mReceiver) {
    budget.RemoveReceiver(*mReceiver);
  }
  const Millis now = SteadyClock().Now();
  mReceiver = budget.AddReceiver(
      {wanted, 0, now, now, [weak = weak_from_this()] {
         const std::shared_ptr<HttpServerConnection> self = weak.lock();
         if (self) {
           asio::post(self->mStrand, [self] { self->Evict(); });
         }
       }});
  co_return true;
}

asio::awaitable<bool> HttpServerConnection::AwaitRoom(size_t aBytes) {
  struct Grant {
    explicit Grant(asio::io_context& aContext) : mTimer(aContext) {}
    bool mGranted = false;
    asio::steady_timer mTimer;
  };
  MemoryBudget& budget = *mShared->mOptions.mMemory;
  const auto grant = std::make_shared<Grant>(mShared->mContext);
  const std::optional<MemoryBudget::Ticket> ticket =
      budget.Wait(aBytes, mBodyCharge.UseOf(aBytes), [grant, strand = mStrand] {
        asio::post(strand, [grant] {
          grant->mGranted = true;
          grant->mTimer.cancel();
        });
      });
  if (!ticket) {
    co_return false;
  }
  // The wait for memory is not the sender's delay.
  mSocket.Deadline().Clear();
  const Millis until = SteadyClock().Now() + kRoomTimeout;
  while (!grant->mGranted && SteadyClock().Now() < until) {
    budget.EvictSlowReceiver(SteadyClock().Now());
    grant->mTimer.expires_after(
        std::chrono::milliseconds(kEvictInterval.Count()));
    co_await grant->mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (!grant->mGranted && budget.StopWaiting(*ticket)) {
    co_return false;
  }
  mBodyCharge.Adopt(aBytes);
  mSocket.Deadline().Set(mLimits.mReadTimeout, DeadlineEffect::StopReading);
  co_return true;
}

void HttpServerConnection::Evict() {
  if (mReceiver) {
    mEvicted = true;
    mSocket.StopReceiving();
  }
}

bool HttpServerConnection::MayReadBody() {
  if (!mShared->mOptions.mCheckHead) {
    return true;
  }
  mRefusal = mShared->mOptions.mCheckHead(CopyHead(*mParser));
  return !mRefusal;
}

bool HttpServerConnection::ChargeHead(std::string_view aPart) {
  if (!mShared->mOptions.mMemory) {
    return true;
  }
  const auto fields = std::count(aPart.begin(), aPart.end(), '\n');
  mHeadCost +=
      aPart.size() * kHeadCopies + static_cast<size_t>(fields) * kFieldBytes;
  if (mHeadCost <= kCoveredHead) {
    return true;
  }
  if (!mHeadCharge.Budget()) {
    mHeadCharge =
        MemoryCharge(mShared->mOptions.mMemory, mShared->mOptions.mUse);
  }
  if (mHeadCharge.TryGrow(mHeadCost)) {
    return true;
  }
  mWanted = mHeadCost;
  // Connections that have no whole head go before this one.
  return mHeadCost <= kMaxSmallCharge && mShared->EvictWithoutRequest() &&
         (mHeadCharge.Grow(mHeadCost), true);
}

int HttpServerConnection::Parse() {
  while (mInput.size() > 0 && !mParser->is_done()) {
    const bool inHead = !mParser->is_header_done();
    error_code code;
    const asio::const_buffer input = mInput.data();
    const size_t parsed = mParser->put(input, code);
    if (inHead &&
        !ChargeHead({static_cast<const char*>(input.data()), parsed})) {
      return kNoRoom;
    }
    mInput.consume(parsed);
    if (code == http::error::need_more) {
      // The parser limits the head, but not the line of a chunk's length.
      return mInput.size() > mLimits.mMaxHeader + kLargeReadSize ? 400
                                                                 : kComplete;
    }
    if (code) {
      return StatusFor(code);
    }
    if (inHead && mParser->is_header_done()) {
      return kComplete;
    }
  }
  return kComplete;
}

int HttpServerConnection::CheckRequest() {
  const auto& message = mParser->get();
  const bool noHost = message.version() >= 11 &&
                      message.find(http::field::host) == message.end();
  const bool unsupportedCoding =
      !mParser->chunked() &&
      message.find(http::field::transfer_encoding) != message.end();
  const bool connect = message.method() == http::verb::connect;
  return noHost || unsupportedCoding || connect ? 400 : kComplete;
}

asio::awaitable<void> HttpServerConnection::SendContinue() {
  const auto found = mParser->get().find(http::field::expect);
  if (found == mParser->get().end()) {
    co_return;
  }
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  const WriteBuffers buffers{asio::buffer(kContinue)};
  co_await WriteAll(buffers);
}

asio::awaitable<void> HttpServerConnection::RunHandler(
    const HttpRequest& aRequest) {
  mShared->mActive.fetch_add(1);
  // Bytes in the buffer belong to the next request and are parsed while no read
  // is pending: parsing would move the memory that a pending read writes to.
  if (mPending == nullptr && !mInputEnded && mInput.size() == 0) {
    StartRead();
  }
  bool handlerThrew = false;
  try {
    co_await mShared->mHandler(aRequest, *this);
  } catch (const std::exception&) {
    handlerThrew = true;
  }
  mOnPeerDisconnected = nullptr;
  if (mResponseState == ResponseState::None) {
    mKeepAlive = mKeepAlive && !handlerThrew;
    HttpResponse response = NoResponseError();
    co_await Respond(std::move(response));
  }
  if (mResponseState == ResponseState::Streaming) {
    mResponseState = ResponseState::Aborted;
  }
  mShared->mActive.fetch_sub(1);
  MoveTo(&mShared->mIdle);
}

asio::awaitable<void> HttpServerConnection::RespondWithError(int aStatus) {
  mKeepAlive = false;
  mHeadOnly = false;
  mShared->Refused(
      {aStatus, mRefusal ? "the head settles the request" : ReasonFor(aStatus),
       mPeer, std::exchange(mWanted, 0)});
  HttpResponse response =
      mRefusal ? std::move(*mRefusal) : ErrorResponse(aStatus);
  mRefusal.reset();
  co_await Respond(std::move(response));
}

asio::awaitable<void> HttpServerConnection::Linger() {
  // Closing a socket with unread input resets the connection, and the peer
  // could lose a response that is still in transit.
  mSocket.ShutdownSend(asio::bind_executor(
      mStrand, [self = shared_from_this()](const error_code&) {}));
  mSocket.Deadline().Set(kLingerTimeout);
  mLingers = true;
  size_t discarded = 0;
  do {
    discarded += mInput.size();
    mInput.clear();
  } while (discarded < kMaxDiscardBytes && co_await ReadMore());
}

void HttpServerConnection::StartRead() {
  const bool large = mParser && mParser->is_header_done();
  size_t size = mLingers ? kLingerReadSize : kReadSize;
  if (large) {
    // No more than the body, so that a small one gets a small buffer.
    const uint64_t rest =
        mParser->content_length_remaining().value_or(kLargeReadSize);
    size = std::clamp<size_t>(rest, kReadSize, kLargeReadSize);
  }
  auto pending = std::make_shared<PendingRead>();
  mPending = pending.get();
  mSocket.ReadSome(
      mInput.prepare(size),
      asio::bind_executor(
          mStrand, [self = shared_from_this(), pending = std::move(pending)](
                       const error_code& aCode, size_t aBytes) {
            self->OnRead(*pending, aCode, aBytes);
          }));
}

void HttpServerConnection::OnRead(PendingRead& aPending,
                                  const error_code& aCode, size_t aBytes) {
  mPending = nullptr;
  mInput.commit(aBytes);
  if (aCode) {
    mInputEnded = true;
    mPeerDisconnected.store(true);
    if (mOnPeerDisconnected) {
      std::exchange(mOnPeerDisconnected, nullptr)();
    }
  }
  if (aPending.mResume) {
    std::exchange(aPending.mResume, nullptr)();
  }
}

asio::awaitable<bool> HttpServerConnection::ReadMore() {
  const size_t before = mInput.size();
  if (mInputEnded) {
    co_return false;
  }
  if (mPending == nullptr) {
    StartRead();
  }
  co_await asio::async_initiate<const asio::use_awaitable_t<>&, void()>(
      [this](auto aHandler) {
        auto shared = std::make_shared<decltype(aHandler)>(std::move(aHandler));
        mPending->mResume = [shared] { std::move (*shared)(); };
      },
      asio::use_awaitable);
  co_return mInput.size() > before;
}

asio::awaitable<std::error_code> HttpServerConnection::WriteAll(
    WriteBuffers aBuffers) {
  WriteResult result;
  if (!mSocket.WriteNow(aBuffers, result)) {
    const Millis limit = mLimits.mWriteTimeout;
    MemoryCharge unread(mShared->mOptions.mMemory, mShared->mOptions.mUse);
    if (!unread.TryGrow(asio::buffer_size(aBuffers))) {
      mShared->Refused({0, "the response is not read and there is no memory",
                        mPeer, asio::buffer_size(aBuffers)});
      mPeerDisconnected.store(true);
      co_return make_error_code(ErrorKind::ConnectionLost);
    }
    mSocket.Deadline().Set(limit);
    co_await mSocket.WriteRest(aBuffers, result);
    if (!mSocket.Deadline().Clear()) {
      mPeerDisconnected.store(true);
      co_return make_error_code(ErrorKind::Timeout);
    }
  }
  if (result.mCode) {
    mPeerDisconnected.store(true);
    co_return make_error_code(ErrorKind::ConnectionLost);
  }
  co_return std::error_code();
}

bool HttpServerConnection::MayStayOpen() const {
  return !mShared->mDraining.load() || mInput.size() > 0;
}

HeadOptions HttpServerConnection::Framing(const HttpResponse& aHead,
                                          BodyFraming aFraming) const {
  HeadOptions options;
  options.mFraming = aFraming;
  options.mLength = aHead.mBody.size();
  options.mKeepAlive = mKeepAlive;
  options.mVersion = mVersion;
  return options;
}

asio::awaitable<std::error_code> HttpServerConnection::Respond(
    HttpResponse aResponse) {
  if (mResponseState != ResponseState::None) {
    co_return make_error_code(ErrorKind::Internal);
  }
  mKeepAlive = mKeepAlive && MayStayOpen();
  const std::string head =
      ResponseHead(aResponse, Framing(aResponse, BodyFraming::Length));
  WriteBuffers buffers{asio::buffer(head)};
  if (!mHeadOnly) {
    buffers[1] = asio::buffer(aResponse.mBody);
  }
  mResponseState = ResponseState::Aborted;
  const std::error_code code = co_await WriteAll(buffers);
  if (!code) {
    mResponseState = ResponseState::Done;
  }
  co_return code;
}

asio::awaitable<std::error_code> HttpServerConnection::Begin(
    HttpResponse aHead) {
  if (mResponseState != ResponseState::None) {
    co_return make_error_code(ErrorKind::Internal);
  }
  mChunked = mVersion >= 11;
  mKeepAlive = mKeepAlive && mChunked && MayStayOpen();
  BodyFraming framing =
      mChunked ? BodyFraming::Chunked : BodyFraming::UntilClose;
  if (IsBodiless(aHead.mStatus)) {
    // The client would take chunks for the next response.
    mHeadOnly = true;
    framing = BodyFraming::UntilClose;
  }
  const std::string head = ResponseHead(aHead, Framing(aHead, framing));
  mResponseState = ResponseState::Streaming;
  const WriteBuffers buffers{asio::buffer(head)};
  co_return co_await WriteAll(buffers);
}

asio::awaitable<std::error_code> HttpServerConnection::Write(
    std::string aChunk) {
  if (mResponseState != ResponseState::Streaming) {
    co_return make_error_code(ErrorKind::Internal);
  }
  if (mPeerDisconnected.load()) {
    co_return make_error_code(ErrorKind::ConnectionLost);
  }
  // An empty chunk would end the body.
  if (aChunk.empty() || mHeadOnly) {
    co_return std::error_code();
  }
  WriteBuffers buffers{asio::buffer(aChunk)};
  std::string head;
  if (mChunked) {
    head = ChunkHead(aChunk.size());
    buffers = {asio::buffer(head), asio::buffer(aChunk),
               asio::buffer(std::string_view("\r\n"))};
  }
  co_return co_await WriteAll(buffers);
}

asio::awaitable<std::error_code> HttpServerConnection::End() {
  if (mResponseState != ResponseState::Streaming) {
    co_return make_error_code(ErrorKind::Internal);
  }
  std::error_code code;
  if (mChunked && !mHeadOnly) {
    const WriteBuffers buffers{asio::buffer(std::string_view("0\r\n\r\n"))};
    code = co_await WriteAll(buffers);
  }
  mResponseState = code ? ResponseState::Aborted : ResponseState::Done;
  co_return code;
}

void HttpServerConnection::Abort() {
  if (mResponseState != ResponseState::Done) {
    mResponseState = ResponseState::Aborted;
  }
}

}  // namespace rillwall
