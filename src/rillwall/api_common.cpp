#include "api_common.h"

#include <atomic>
#include <charconv>
#include <random>

#include "rillwall/token.h"

namespace rillwall {

namespace {

constexpr size_t kMaxRequestIdLength = 128;
constexpr std::string_view kBearer = "Bearer ";

std::string NewRequestId() {
  static const uint64_t kProcess = std::random_device()();
  static std::atomic<uint64_t> sNext{1};
  return std::to_string(kProcess) + "-" + std::to_string(sNext.fetch_add(1));
}

int HexDigit(char aDigit) {
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  constexpr int kLetterOffset = 10;
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + kLetterOffset : -1;
}

std::string DecodePercent(std::string_view aText) {
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    const bool escape = aText[i] == '%' && i + 2 < aText.size();
    const int high = escape ? HexDigit(aText[i + 1]) : -1;
    const int low = escape ? HexDigit(aText[i + 2]) : -1;
    if (high >= 0 && low >= 0) {
      constexpr int kBase = 16;
      text += static_cast<char>(high * kBase + low);
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

}  // namespace

std::string ErrorJson(const Error& aError) {
  json::object error;
  error["kind"] = ErrorName(aError.Kind());
  error["message"] = aError.Detail();
  error["remedy"] = ErrorRemedy(aError.Kind());
  error["run"] = RunStateName(aError.Run());
  return json::serialize(json::object{{"error", std::move(error)}});
}

HttpResponse ErrorResponse(const Error& aError) {
  HttpResponse response =
      HttpResponse::Json(ErrorStatus(aError.Kind()), ErrorJson(aError));
  constexpr int64_t kMillisPerSecond = 1000;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  const bool retryLater =
      response.mStatus == kTooManyRequests || response.mStatus == kUnavailable;
  if (retryLater) {
    const int64_t after = std::max<int64_t>(1, aError.RetryAfter().Count());
    const int64_t seconds = (after + kMillisPerSecond - 1) / kMillisPerSecond;
    response.mHeaders.push_back({"Retry-After", std::to_string(seconds)});
    response.mHeaders.push_back({"Retry-After-Ms", std::to_string(after)});
  }
  return response;
}

void AddRunHeaders(HttpResponse& aResponse, RunState aRun,
                   const std::string& aRequestId) {
  aResponse.mHeaders.push_back({kRunHeader, RunStateName(aRun)});
  aResponse.mHeaders.push_back({kRequestHeader, aRequestId});
}

std::string RequestId(const HttpRequest& aRequest) {
  const std::string* given = aRequest.Find(kRequestHeader);
  const bool usable = given != nullptr && !given->empty() &&
                      given->size() <= kMaxRequestIdLength;
  return usable ? *given : NewRequestId();
}

Result<Identity> Identify(const PolicySet& aPolicies,
                          const HttpRequest& aRequest,
                          std::string_view aScope) {
  Identity identity;
  identity.mScope = aScope;
  if (aPolicies.Rules().mTokens.empty()) {
    identity.mName = "open";
    identity.mUnauthenticated = true;
    return identity;
  }
  const std::string* header = aRequest.Find("Authorization");
  if (header == nullptr || !header->starts_with(kBearer)) {
    return Error(ErrorKind::Unauthorized, "The request carries no token.");
  }
  const std::string_view token =
      std::string_view(*header).substr(kBearer.size());
  const TokenRule* rule = FindToken(aPolicies.Rules(), token);
  if (rule == nullptr) {
    return Error(ErrorKind::Unauthorized, "The token is not known.");
  }
  if (rule->mScope != aScope) {
    return Error(ErrorKind::Forbidden, "The token's scope is '" + rule->mScope +
                                           "', not '" + std::string(aScope) +
                                           "'.");
  }
  identity.mName = rule->mName;
  return identity;
}

int64_t ReadInt(JsonReader& aReader, std::string_view aName, int64_t aLeast,
                int64_t aMost, std::optional<int64_t> aDefault) {
  const int64_t value =
      aDefault ? aReader.Int(aName, *aDefault) : aReader.Int(aName);
  if (!aReader.Failed() && (value < aLeast || value > aMost)) {
    aReader.Fail(aName, "must be from " + std::to_string(aLeast) + " to " +
                            std::to_string(aMost));
  }
  return value;
}

Result<uint64_t> ParseNumber(std::string_view aText, const char* aWhat) {
  uint64_t number = 0;
  const auto [end, failed] =
      std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (failed != std::errc() || end != aText.data() + aText.size()) {
    return Error(ErrorKind::BadRequest,
                 "The " + std::string(aWhat) + " '" +
                     std::string(aText.substr(0, kMaxRequestIdLength)) +
                     "' is not a whole number.");
  }
  return number;
}

std::vector<std::string> SplitPath(std::string_view aPath) {
  std::vector<std::string> parts;
  while (!aPath.empty()) {
    const size_t end = std::min(aPath.find('/'), aPath.size());
    if (end > 0) {
      parts.push_back(DecodePercent(aPath.substr(0, end)));
    }
    aPath.remove_prefix(std::min(end + 1, aPath.size()));
  }
  return parts;
}

}  // namespace rillwall
