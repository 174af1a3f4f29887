/// \file
/// Conversions between the HTTP messages of Boost.Beast and of rillwall.

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "rillwall/http.h"

namespace rillwall {

using boost::system::error_code;
namespace http = boost::beast::http;

using RequestParser = http::request_parser<http::string_body>;
using ResponseParser = http::response_parser<http::string_body>;

/// How the end of a body is marked.
enum class BodyFraming {
  Length,
  Chunked,
  UntilClose,  ///< the head says nothing; also of responses without a body
};

/// What a response head says about body and connection.
struct HeadOptions {
  BodyFraming mFraming = BodyFraming::Length;
  uint64_t mLength = 0;  ///< of the body in bytes, for BodyFraming::Length
  bool mKeepAlive = true;
  unsigned mVersion = 11;  ///< 10 for HTTP/1.0, 11 for HTTP/1.1
};

/// \return the serialized head of a response. Headers of aHead that describe
/// the connection or the framing are replaced according to aOptions.
std::string ResponseHead(const HttpResponse& aHead,
                         const HeadOptions& aOptions);
/// \return the serialized head of a request; Host is added if absent
std::string RequestHead(const HttpRequest& aRequest, const Endpoint& aEndpoint);
/// \return whether method and target are valid in a request line
bool ValidRequestLine(const HttpRequest& aRequest);

/// Moves a parsed request out of its parser.
/// \param aCharge for the body
HttpRequest TakeRequest(RequestParser& aParser, MemoryCharge aCharge);
/// \return the head of a request whose body is not parsed yet
HttpRequest CopyHead(const RequestParser& aParser);

/// What a parsed head of a response is.
enum class HeadKind {
  Final,    ///< of a response
  Interim,  ///< informational; another one follows
  /// Of no response that the client may have asked for: HTTP has no such
  /// status, only a request for another protocol gets it (101), or the body is
  /// in another transfer coding than "chunked".
  Invalid,
};
/// Decides alone, for all that read answers, what counts as one.
/// \param aParser has parsed a whole head
HeadKind KindOf(const ResponseParser& aParser);
/// \return status and headers of a parsed response, without its body
HttpResponse TakeHead(ResponseParser& aParser);

}  // namespace rillwall
