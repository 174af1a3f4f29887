#include "http_wire.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/serializer.hpp>

namespace rillwall {

namespace {

constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastFinalStatus = 599;

/// \return whether the header describes the connection or the framing; each
/// hop sets such headers itself
bool IsConnectionHeader(http::field aField) {
  switch (aField) {
    case http::field::connection:
    case http::field::content_length:
    case http::field::transfer_encoding:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

bool IsControlChar(char aChar) {
  return (static_cast<unsigned char>(aChar) < 0x20 && aChar != '\t') ||
         aChar == 0x7f;
}

bool IsTokenChar(char aChar) {
  return aChar > 0x20 && aChar < 0x7f && aChar != ':';
}

/// Adds headers. To prevent header injection, headers with an invalid name are
/// omitted and control characters in values are replaced by spaces.
void AddHeaders(const std::vector<HttpHeader>& aHeaders,
                http::fields& aFields) {
  for (const HttpHeader& header : aHeaders) {
    const http::field field = http::string_to_field(header.mName);
    const bool valid =
        !header.mName.empty() &&
        std::all_of(header.mName.begin(), header.mName.end(), IsTokenChar);
    if (!valid || IsConnectionHeader(field)) {
      continue;
    }
    const std::string& value = header.mValue;
    if (std::none_of(value.begin(), value.end(), IsControlChar)) {
      aFields.insert(field, header.mName, value);
      continue;
    }
    std::string cleaned = value;
    std::replace_if(cleaned.begin(), cleaned.end(), IsControlChar, ' ');
    aFields.insert(field, header.mName, cleaned);
  }
}

template <bool isRequest>
std::string Serialize(http::message<isRequest, http::empty_body>& aMessage) {
  http::serializer<isRequest, http::empty_body> serializer(aMessage);
  std::string bytes;
  error_code code;
  while (!serializer.is_header_done() && !code) {
    serializer.next(code, [&](error_code&, const auto& aBuffers) {
      size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      serializer.consume(size);
    });
  }
  return bytes;
}

/// \return whether a body is in a coding that the parser does not remove, so
/// that it could not be passed on
bool HasOtherCoding(const ResponseParser& aParser) {
  const auto& message = aParser.get();
  const auto [begin, end] = message.equal_range(http::field::transfer_encoding);
  return begin != end && (std::next(begin) != end ||
                          !boost::beast::iequals(begin->value(), "chunked"));
}

template <class Fields>
std::vector<HttpHeader> CopyHeaders(const Fields& aFields) {
  std::vector<HttpHeader> headers;
  headers.reserve(std::distance(aFields.begin(), aFields.end()));
  for (const auto& field : aFields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

}  // namespace

std::string ResponseHead(const HttpResponse& aHead,
                         const HeadOptions& aOptions) {
  http::response<http::empty_body> message;
  message.version(aOptions.mVersion);
  message.result(static_cast<unsigned>(aHead.mStatus));
  AddHeaders(aHead.mHeaders, message);
  if (aOptions.mFraming == BodyFraming::Chunked) {
    message.chunked(true);
  } else if (aOptions.mFraming == BodyFraming::Length) {
    message.content_length(aOptions.mLength);
  }
  message.keep_alive(aOptions.mKeepAlive);
  return Serialize(message);
}

std::string RequestHead(const HttpRequest& aRequest,
                        const Endpoint& aEndpoint) {
  http::request<http::empty_body> message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  AddHeaders(aRequest.mHeaders, message);
  if (message.find(http::field::host) == message.end()) {
    message.insert(http::field::host, aEndpoint.Text());
  }
  const bool bodyExpected =
      aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD";
  if (!aRequest.mBody.empty() || bodyExpected) {
    message.content_length(aRequest.mBody.size());
  }
  return Serialize(message);
}

bool ValidRequestLine(const HttpRequest& aRequest) {
  const std::string& method = aRequest.mMethod;
  const std::string& target = aRequest.mTarget;
  const auto visible = [](char aChar) {
    return static_cast<unsigned char>(aChar) > 0x20 && aChar != 0x7f;
  };
  return !method.empty() && method != "CONNECT" && !target.empty() &&
         std::all_of(method.begin(), method.end(), IsTokenChar) &&
         std::all_of(target.begin(), target.end(), visible);
}

HttpRequest CopyHead(const RequestParser& aParser) {
  const auto& message = aParser.get();
  HttpRequest request;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  request.mHeaders = CopyHeaders(message);
  return request;
}

HttpRequest TakeRequest(RequestParser& aParser, MemoryCharge aCharge) {
  HttpRequest request = CopyHead(aParser);
  request.mBody =
      SharedText(std::move(aParser.get().body()), std::move(aCharge));
  return request;
}

HeadKind KindOf(const ResponseParser& aParser) {
  const unsigned status = aParser.get().result_int();
  if (status < kFirstInterimStatus || status == kSwitchingProtocols ||
      status > kLastFinalStatus || HasOtherCoding(aParser)) {
    return HeadKind::Invalid;
  }
  return status < kFirstFinalStatus ? HeadKind::Interim : HeadKind::Final;
}

HttpResponse TakeHead(ResponseParser& aParser) {
  HttpResponse response;
  response.mStatus = static_cast<int>(aParser.get().result_int());
  response.mHeaders = CopyHeaders(aParser.get());
  return response;
}

}  // namespace rillwall
