#include "cli_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <optional>

namespace rillwall {

namespace json = boost::json;

namespace {

constexpr int64_t kMillisPerSecond = 1000;
/// Largest answer, in bytes; it may be the dump of a node.
constexpr size_t kMaxAnswer = 256 * 1024 * 1024;
constexpr int kFirstErrorStatus = 400;

std::optional<ErrorKind> KindByName(std::string_view aName) {
  constexpr int kFirst = static_cast<int>(ErrorKind::BadRequest);
  constexpr int kLast = static_cast<int>(ErrorKind::Internal);
  for (int i = kFirst; i <= kLast; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    if (aName == ErrorName(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string TextOf(const json::object& aObject, const char* aKey) {
  const json::value* value = aObject.if_contains(aKey);
  const json::string* text = value ? value->if_string() : nullptr;
  return text ? std::string(*text) : std::string();
}

// Converts an error response to a failure.
CliFailure FailureFromResponse(const HttpResponse& aResponse,
                               const json::value& aValue) {
  const json::object* object = aValue.if_object();
  const json::value* inner = object ? object->if_contains("error") : nullptr;
  const json::object* error = inner ? inner->if_object() : nullptr;
  const std::optional<ErrorKind> kind =
      error ? KindByName(TextOf(*error, "kind")) : std::nullopt;
  if (!kind) {
    return {ExitCode::Failed,
            "The response has status " + std::to_string(aResponse.mStatus) +
                " and does not come from a rillwall node. Check --node."};
  }
  return {ExitCodeOf(*kind),
          TextOf(*error, "message") + " " + TextOf(*error, "remedy")};
}

}  // namespace

ExitCode ExitCodeOf(ErrorKind aKind) {
  switch (aKind) {
    case ErrorKind::BadRequest:
    case ErrorKind::TooLarge:
      return ExitCode::BadRequest;
    case ErrorKind::Unauthorized:
    case ErrorKind::Forbidden:
      return ExitCode::Refused;
    case ErrorKind::NotFound:
      return ExitCode::NotFound;
    case ErrorKind::Conflict:
    case ErrorKind::Superseded:
    case ErrorKind::Stale:
      return ExitCode::Conflict;
    case ErrorKind::PolicyInvalid:
      return ExitCode::Invalid;
    case ErrorKind::Overloaded:
    case ErrorKind::Unavailable:
    case ErrorKind::Draining:
    case ErrorKind::UpstreamRefused:
    case ErrorKind::KvUnavailable:
      return ExitCode::Unavailable;
    case ErrorKind::Timeout:
    case ErrorKind::ConnectionLost:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::KvUncertain:
    case ErrorKind::OutcomeUnknown:
      return ExitCode::Unknown;
    default:
      return ExitCode::Failed;
  }
}

void throw_exception_from_error(const CliFailure& aFailure,
                                const boost::source_location&) {
  throw std::runtime_error(aFailure.mText);
}

std::optional<TlsSettings> AdminClient::Tls() const {
  if (mOptions.mTls.mAuthorityFile.empty()) {
    return std::nullopt;
  }
  return mOptions.mTls;
}

Result<HttpResponse> AdminClient::Send(const Endpoint& aNode,
                                       HttpRequest aRequest) const {
  asio::io_context context(1);
  HttpClient client(context, Tls());
  const Millis timeout(mOptions.mTimeoutSeconds * kMillisPerSecond);
  Result<HttpResponse> result = Error(ErrorKind::Internal, "Nothing was run.");
  asio::co_spawn(context,
                 client.Send(aNode, std::move(aRequest), timeout, kMaxAnswer),
                 [&](std::exception_ptr, Result<HttpResponse> aResult) {
                   result = std::move(aResult);
                   // An idle connection of the pool would keep the context
                   // running.
                   context.stop();
                 });
  context.run();
  return result;
}

CliFailure AdminClient::SendFailure(const Error& aError) const {
  if (aError.Run() == RunState::NotRun) {
    return {ExitCode::Unreachable, "Node " + mOptions.mNode +
                                       " does not answer: " + aError.Detail() +
                                       " Check --node, or ask another node."};
  }
  return {ExitCode::Unknown,
          "Node " + mOptions.mNode +
              " was called, but its response was lost: " + aError.Detail() +
              " Read back before you try again."};
}

CliResult<CliAnswer> AdminClient::Call(const char* aMethod, std::string aTarget,
                                       std::string aBody) const {
  const Result<Endpoint> node = Endpoint::Parse(mOptions.mNode);
  if (!node) {
    return CliFailure{ExitCode::BadRequest, "--node: " + node.error().Detail()};
  }
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  if (!mOptions.mToken.empty()) {
    request.mHeaders.push_back({"Authorization", "Bearer " + mOptions.mToken});
  }
  Result<HttpResponse> response = Send(*node, std::move(request));
  if (!response) {
    return SendFailure(response.error());
  }
  json::error_code failed;
  CliAnswer answer;
  answer.mValue = json::parse(response->mBody, failed);
  if (response->mStatus >= kFirstErrorStatus) {
    return FailureFromResponse(*response, answer.mValue);
  }
  if (failed) {
    return CliFailure{ExitCode::Failed,
                      "The response is not JSON. Check --node."};
  }
  answer.mText = std::move(response->mBody);
  return answer;
}

}  // namespace rillwall
