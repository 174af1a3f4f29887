/// \file
/// Between Beast's messages and rillwall's.

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

/// How the body that follows a head is delimited.
enum class BodyFraming { Length, Chunked, UntilClose };

/// What a head says besides the message's own headers.
struct HeadOptions {
  BodyFraming mFraming = BodyFraming::Length;
  uint64_t mLength = 0;
  bool mKeepAlive = true;
  unsigned mVersion = 11;
};

/// The bytes of an answer's head. Headers that describe the connection or the
/// framing are left out of aHead and written as aOptions says.
std::string ResponseHead(const HttpResponse& aHead,
                         const HeadOptions& aOptions);
/// The bytes of a request's head; Host is added if absent.
std::string RequestHead(const HttpRequest& aRequest, const Endpoint& aEndpoint);
/// \return whether method and target may stand in a request line
bool ValidRequestLine(const HttpRequest& aRequest);

/// Moves a parsed request out of its parser.
HttpRequest TakeRequest(RequestParser& aParser);
/// Status and headers of a parsed answer, without its body.
HttpResponse TakeHead(ResponseParser& aParser);

}  // namespace rillwall
