#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "rillwall/http.h"

namespace rillwall {

namespace {

constexpr std::string_view kScheme = "http://";

char ToLower(char aChar) {
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar + 32) : aChar;
}

bool EqualHeaderNames(std::string_view aOne, std::string_view aOther) {
  if (aOne.size() != aOther.size()) {
    return false;
  }
  for (size_t i = 0; i < aOne.size(); ++i) {
    if (ToLower(aOne[i]) != ToLower(aOther[i])) {
      return false;
    }
  }
  return true;
}

/// \return the value of two hex digits, or -1
int HexByte(std::string_view aText) {
  int value = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, code] = std::from_chars(aText.data(), end, value, 16);
  return aText.size() == 2 && last == end && code == std::errc() ? value : -1;
}

std::string PercentDecode(std::string_view aText) {
  std::string out;
  out.reserve(aText.size());
  for (size_t i = 0; i < aText.size(); ++i) {
    const int byte = aText[i] == '%' ? HexByte(aText.substr(i + 1, 2)) : -1;
    if (byte >= 0) {
      out.push_back(static_cast<char>(byte));
      i += 2;
    } else {
      out.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return out;
}

Error EndpointError(std::string_view aText) {
  return {ErrorKind::BadRequest, "'" + std::string(aText) +
                                     "' is not an endpoint such as "
                                     "'127.0.0.1:8080'."};
}

}  // namespace

Result<Endpoint> Endpoint::Parse(std::string_view aText) {
  std::string_view rest = aText;
  if (rest.starts_with(kScheme)) {
    rest.remove_prefix(kScheme.size());
    rest = rest.substr(0, rest.find('/'));
  }
  const size_t colon = rest.rfind(':');
  if (colon == std::string_view::npos) {
    return EndpointError(aText);
  }
  std::string_view host = rest.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = rest.substr(colon + 1);
  Endpoint endpoint{std::string(host), 0};
  const char* end = digits.data() + digits.size();
  const auto [last, code] = std::from_chars(digits.data(), end, endpoint.mPort);
  boost::system::error_code invalid;
  asio::ip::make_address(endpoint.mHost, invalid);
  if (invalid || code != std::errc() || last != end || digits.empty()) {
    return EndpointError(aText);
  }
  return endpoint;
}

std::string Endpoint::Text() const {
  const bool v6 = mHost.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + mHost + "]" : mHost;
  return host + ":" + std::to_string(mPort);
}

const std::string* FindHeader(const std::vector<HttpHeader>& aHeaders,
                              std::string_view aName) {
  for (const HttpHeader& header : aHeaders) {
    if (EqualHeaderNames(header.mName, aName)) {
      return &header.mValue;
    }
  }
  return nullptr;
}

std::string_view HttpRequest::Path() const {
  const std::string_view target = mTarget;
  return target.substr(0, target.find('?'));
}

std::string HttpRequest::Query(std::string_view aName) const {
  const size_t queryMark = mTarget.find('?');
  std::string_view rest =
      queryMark == std::string::npos ? "" : std::string_view(mTarget);
  rest.remove_prefix(rest.empty() ? 0 : queryMark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (PercentDecode(pair.substr(0, equals)) == aName) {
      const bool noValue = equals == std::string_view::npos;
      return noValue ? std::string() : PercentDecode(pair.substr(equals + 1));
    }
  }
  return {};
}

HttpResponse HttpResponse::Json(int aStatus, std::string aBody) {
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.push_back({"Content-Type", "application/json"});
  response.mBody = std::move(aBody);
  return response;
}

}  // namespace rillwall
