#include "http_client_connection.h"

#include <boost/beast/http/error.hpp>

namespace rillwall {

namespace {

constexpr size_t kReadSize = 4096;
constexpr size_t kLargeReadSize = 64 * 1024;
constexpr uint32_t kMaxHeader = 64 * 1024;
/// The longest body that Send() takes in.
constexpr uint64_t kMaxBody = 256ull * 1024 * 1024;

/// The status after which a connection no longer speaks HTTP.
constexpr unsigned kSwitching = 101;

constexpr bool Informational(unsigned aStatus) {
  return aStatus >= 100 && aStatus < 200 && aStatus != kSwitching;
}

}  // namespace

HttpClientCall::HttpClientCall(
    std::shared_ptr<HttpConnectionSink> aSink,
    std::unique_ptr<HttpClientConnection> aConnection)
    : mSink(std::move(aSink)),
      mConnection(std::move(aConnection)),
      mPeer(mConnection->mEndpoint.Text()) {}

asio::awaitable<std::optional<Error>> HttpClientCall::WriteRequest(
    const HttpRequest& aRequest) {
  mHeadOnly = aRequest.mMethod == "HEAD";
  const std::string head = RequestHead(aRequest, mConnection->mEndpoint);
  WriteBuffers buffers{asio::buffer(head), asio::buffer(aRequest.mBody)};
  WriteResult result;
  if (!mConnection->mSocket.WriteNow(buffers, result)) {
    co_await mConnection->mSocket.WriteRest(buffers, result);
  }
  if (!result.mCode) {
    co_return std::nullopt;
  }
  if (result.mWritten == 0) {
    const bool late = mConnection->mSocket.Deadline().Expired();
    Error error(late ? ErrorKind::Timeout : ErrorKind::ConnectionLost,
                "No byte of the request could be written to " + mPeer + ".",
                RunState::NotRun);
    mConnection.reset();
    co_return error;
  }
  // The upstream may have answered before it had read everything.
  mWriteFailed = true;
  co_return std::nullopt;
}

void HttpClientCall::ResetParser() {
  mParser.emplace();
  mParser->eager(true);
  mParser->skip(mHeadOnly);
  mParser->header_limit(kMaxHeader);
  mParser->body_limit(kMaxBody);
}

asio::awaitable<std::optional<Error>> HttpClientCall::ReadHead() {
  ResetParser();
  std::optional<Error> error;
  while (!error && !mParser->is_header_done()) {
    error = co_await More();
    while (!error && mParser->is_header_done() &&
           Informational(mParser->get().result_int())) {
      ResetParser();
      error = Parse();
    }
  }
  if (!error) {
    mHead = TakeHead(*mParser);
    Finish();
  }
  co_return error;
}

asio::awaitable<Result<HttpResponse>> HttpClientCall::ReadAll() {
  while (!mParser->is_done()) {
    std::optional<Error> error = co_await More();
    if (error) {
      co_return std::move(*error);
    }
  }
  HttpResponse response = std::move(mHead);
  response.mBody = TakeBody();
  Finish();
  co_return response;
}

void HttpClientCall::Pause() {
  if (mConnection) {
    mConnection->mSocket.Deadline().Clear();
  }
}

asio::awaitable<Result<std::string>> HttpClientCall::Read(Millis aWait) {
  if (mFailure) {
    co_return *mFailure;
  }
  std::string part = TakeBody();
  if (part.empty() && !mParser->is_done()) {
    mConnection->mSocket.Deadline().Set(aWait);
  }
  while (part.empty() && !mParser->is_done()) {
    std::optional<Error> error = co_await More();
    // What came before a cut is handed on first.
    part = TakeBody();
    if (error && part.empty()) {
      co_return std::move(*error);
    }
  }
  Pause();
  Finish();
  co_return part;
}

void HttpClientCall::Abort() {
  if (mConnection) {
    mConnection->mSocket.Deadline().Shutdown();
  }
}

std::string HttpClientCall::TakeBody() {
  std::string part;
  std::swap(part, mParser->get().body());
  return part;
}

asio::awaitable<std::optional<Error>> HttpClientCall::More() {
  HttpClientConnection& connection = *mConnection;
  const bool large = mParser->is_header_done() &&
                     mParser->content_length().value_or(0) > kReadSize;
  const auto [code, bytes] = co_await connection.mSocket.ReadSome(
      connection.mInput.prepare(large ? kLargeReadSize : kReadSize));
  connection.mInput.commit(bytes);
  if (connection.mSocket.Deadline().Expired()) {
    co_return Fail(ErrorKind::Timeout, "did not answer in time");
  }
  if (code == asio::error::eof && mParser->got_some()) {
    error_code cut;
    mParser->put_eof(cut);
    if (!cut && mParser->is_done()) {
      co_return std::nullopt;
    }
  }
  if (code) {
    co_return Lost(code);
  }
  co_return Parse();
}

std::optional<Error> HttpClientCall::Parse() {
  boost::beast::flat_buffer& input = mConnection->mInput;
  while (input.size() > 0 && !mParser->is_done()) {
    error_code code;
    const size_t used = mParser->put(input.data(), code);
    input.consume(used);
    if (code == http::error::need_more) {
      return std::nullopt;
    }
    if (code == http::error::body_limit) {
      return Fail(ErrorKind::TooLarge, "sent an answer over the limit");
    }
    if (code) {
      return Fail(ErrorKind::UpstreamFailed, "sent bad HTTP");
    }
  }
  return std::nullopt;
}

Error HttpClientCall::Fail(ErrorKind aKind, std::string_view aWhat) {
  const bool ran = mParser && mParser->is_header_done() &&
                   mParser->get().result_int() / 100 == 2;
  mFailure.emplace(aKind, mPeer + " " + std::string(aWhat) + ".",
                   ran ? RunState::Run : RunState::Unknown);
  mConnection.reset();
  return *mFailure;
}

Error HttpClientCall::Lost(const error_code& aCode) {
  const std::string what =
      "closed the connection before its answer was whole (" + aCode.message() +
      ")";
  return Fail(ErrorKind::ConnectionLost, what);
}

void HttpClientCall::Finish() {
  if (!mConnection || !mParser->is_done()) {
    return;
  }
  std::unique_ptr<HttpClientConnection> connection = std::move(mConnection);
  // Bytes after the answer's end could be taken for the next call's answer.
  const bool reusable = !mWriteFailed &&
                        mParser->get().result_int() != kSwitching &&
                        mParser->keep_alive() && connection->mInput.size() == 0;
  if (connection->mSocket.Deadline().Clear() && reusable) {
    mSink->Release(std::move(connection));
  }
}

}  // namespace rillwall
