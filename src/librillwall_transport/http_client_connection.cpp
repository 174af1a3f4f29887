#include "http_client_connection.h"

#include <boost/beast/http/error.hpp>

namespace rillwall {

namespace {

constexpr size_t kReadSize = 4096;
constexpr size_t kLargeReadSize = 64 * 1024;
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;

}  // namespace

HttpClientCall::HttpClientCall(
    std::shared_ptr<HttpConnectionPool> aPool,
    std::unique_ptr<HttpClientConnection> aConnection, uint64_t aMaxBody,
    HttpClient::ReusePredicate aMayReuse, EndCheck aEndCheck)
    : mPool(std::move(aPool)),
      mConnection(std::move(aConnection)),
      mMaxBody(aMaxBody),
      mMayReuse(std::move(aMayReuse)),
      mEndCheck(std::move(aEndCheck)),
      mPeer(mConnection->mEndpoint.Text()) {}

asio::awaitable<std::optional<Error>> HttpClientCall::WriteRequest(
    const HttpRequest& aRequest) {
  mHeadOnly = aRequest.mMethod == "HEAD";
  const std::string head = RequestHead(aRequest, mConnection->mEndpoint);
  WriteBuffers buffers{asio::buffer(head), asio::buffer(aRequest.mBody.Text())};
  WriteResult result;
  if (!mConnection->mSocket.WriteNow(buffers, result)) {
    co_await mConnection->mSocket.WriteRest(buffers, result);
  }
  if (!result.mCode) {
    co_return std::nullopt;
  }
  if (result.mWritten == 0) {
    const bool timedOut = mConnection->mSocket.Deadline().Expired();
    Error error(timedOut ? ErrorKind::Timeout : ErrorKind::ConnectionLost,
                "No byte of the request could be written to " + mPeer + ".",
                RunState::NotRun);
    mConnection.reset();
    co_return error;
  }
  // The upstream may have responded before it had read the whole request.
  mWriteFailed = true;
  co_return std::nullopt;
}

void HttpClientCall::ResetParser() {
  mParser.emplace();
  mParser->eager(true);
  mParser->skip(mHeadOnly);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->body_limit(mMaxBody);
}

asio::awaitable<std::optional<Error>> HttpClientCall::ReadHead() {
  ResetParser();
  std::optional<Error> error;
  while (!error && !mParser->is_header_done()) {
    error = co_await ReadMore();
    while (!error && mParser->is_header_done() &&
           KindOf(*mParser) == HeadKind::Interim) {
      ResetParser();
      error = Parse();
    }
  }
  if (!error && KindOf(*mParser) == HeadKind::Invalid) {
    error = Fail(ErrorKind::UpstreamFailed,
                 "sent a head that is none of an HTTP/1.1 response, with "
                 "status " +
                     std::to_string(mParser->get().result_int()));
  }
  if (!error) {
    mHead = TakeHead(*mParser);
    ReleaseWhenDone();
  }
  co_return error;
}

asio::awaitable<Result<HttpResponse>> HttpClientCall::ReadAll() {
  while (!mParser->is_done()) {
    std::optional<Error> error = co_await ReadMore();
    if (error) {
      co_return std::move(*error);
    }
  }
  std::string body = TakeBody();
  // The predicate for reuse looks at the head.
  ReleaseWhenDone();
  HttpResponse response = std::move(mHead);
  response.mBody = std::move(body);
  co_return response;
}

void HttpClientCall::ClearDeadline() {
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
    std::optional<Error> error = co_await ReadMore();
    // Bytes received before a failure are returned before the error.
    part = TakeBody();
    if (error && part.empty()) {
      co_return std::move(*error);
    }
  }
  ClearDeadline();
  ReleaseWhenDone();
  co_return part;
}

void HttpClientCall::Abort() {
  mAborted = true;
  if (mConnection) {
    mConnection->mSocket.Deadline().Shutdown();
  }
}

std::string HttpClientCall::TakeBody() {
  std::string part;
  std::swap(part, mParser->get().body());
  return part;
}

asio::awaitable<std::optional<Error>> HttpClientCall::ReadMore() {
  HttpClientConnection& connection = *mConnection;
  const bool large = mParser->is_header_done() &&
                     mParser->content_length().value_or(0) > kReadSize;
  const auto [code, bytes] = co_await connection.mSocket.ReadSome(
      connection.mInput.prepare(large ? kLargeReadSize : kReadSize));
  connection.mInput.commit(bytes);
  if (connection.mSocket.Deadline().Expired()) {
    co_return Fail(ErrorKind::Timeout, "did not respond in time");
  }
  // A body without a length ends with the connection, but only if the peer has
  // closed it: Abort() ends the input of this side in the same way.
  if (code == asio::error::eof && mParser->got_some() && !mAborted) {
    error_code eofError;
    mParser->put_eof(eofError);
    if (!eofError && mParser->is_done()) {
      co_return co_await ConfirmEnd();
    }
  }
  if (code) {
    co_return FailDisconnected(code);
  }
  co_return Parse();
}

asio::awaitable<std::optional<Error>> HttpClientCall::ConfirmEnd() {
  mEndedByClose = true;
  if (mWriteFailed) {
    co_return Fail(ErrorKind::ConnectionLost,
                   "ended the connection within the request, so that its "
                   "response without a length may have been truncated");
  }
  const bool confirmed = mEndCheck && co_await mEndCheck();
  if (mAborted) {
    co_return FailDisconnected(asio::error::eof);
  }
  if (!confirmed) {
    co_return Fail(ErrorKind::ConnectionLost,
                   "closed the connection of a response without a length, "
                   "which may have been truncated by the end of the process");
  }
  co_return std::nullopt;
}

std::optional<Error> HttpClientCall::Parse() {
  boost::beast::flat_buffer& input = mConnection->mInput;
  while (input.size() > 0 && !mParser->is_done()) {
    error_code code;
    const size_t parsed = mParser->put(input.data(), code);
    input.consume(parsed);
    if (code == http::error::need_more) {
      // The parser limits the head, but not the line of a chunk's length.
      return input.size() > kMaxHeaderBytes
                 ? std::optional(Fail(ErrorKind::UpstreamFailed,
                                      "sent a line over the size limit"))
                 : std::nullopt;
    }
    if (code == http::error::body_limit) {
      return Fail(ErrorKind::UpstreamFailed,
                  "sent a body over " + std::to_string(mMaxBody) +
                      " bytes, the limit for this call");
    }
    if (code) {
      return Fail(ErrorKind::UpstreamFailed, "sent malformed HTTP");
    }
  }
  return std::nullopt;
}

Error HttpClientCall::Fail(ErrorKind aKind, std::string_view aReason) {
  const bool wasRun = mParser && mParser->is_header_done() &&
                      mParser->get().result_int() / 100 == 2;
  mFailure.emplace(aKind, mPeer + " " + std::string(aReason) + ".",
                   wasRun ? RunState::Run : RunState::Unknown);
  mConnection.reset();
  return *mFailure;
}

Error HttpClientCall::FailDisconnected(const error_code& aCode) {
  if (mAborted) {
    return Fail(ErrorKind::ConnectionLost,
                "had not sent its whole response when this node ended the "
                "call");
  }
  const std::string reason =
      "closed the connection before its response was complete (" +
      aCode.message() + ")";
  return Fail(ErrorKind::ConnectionLost, reason);
}

void HttpClientCall::ReleaseWhenDone() {
  if (!mConnection || !mParser->is_done()) {
    return;
  }
  std::unique_ptr<HttpClientConnection> connection = std::move(mConnection);
  // Bytes after the end of the response could be taken for the response to the
  // next call.
  const bool reusable = !mWriteFailed && mParser->keep_alive() &&
                        connection->mInput.size() == 0 &&
                        (!mMayReuse || mMayReuse(mHead));
  if (connection->mSocket.Deadline().Clear() && reusable) {
    mPool->Release(std::move(connection));
  }
}

}  // namespace rillwall
