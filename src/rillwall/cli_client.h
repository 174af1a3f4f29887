/// \file
/// Synchronous client of the administration API, for the command line.

#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "rillwall/error.h"
#include "rillwall/http.h"

namespace rillwall {

/// Exit codes of the verbs. Scripts rely on these values.
enum class ExitCode {
  Done = 0,
  Failed = 1,       ///< failed for any other reason
  BadRequest = 2,   ///< an argument, file or request is not valid
  Unreachable = 3,  ///< the node does not answer
  Refused = 4,      ///< the token is missing, unknown or of another scope
  NotFound = 5,     ///< the requested object does not exist
  Conflict = 6,     ///< another change was accepted first
  Invalid = 7,      ///< the policy is invalid or contradicts another one
  Unavailable = 8,  ///< not available now; nothing was changed
  Unknown = 9,      ///< the outcome is unknown; read the state back
  Partial = 10,     ///< accepted, but not yet in force on every node
  Different = 11,   ///< `policy diff` found differences
};

/// \return the exit code for an error kind
ExitCode ExitCodeOf(ErrorKind aKind);

/// Failure of a verb, as it is reported to the user.
struct CliFailure {
  ExitCode mCode = ExitCode::Failed;
  std::string mText;  ///< cause and remedy
  bool operator==(const CliFailure&) const = default;
};

/// The node to call and how to call it.
struct NodeOptions {
  std::string mNode = "127.0.0.1:8080";
  std::string mToken;
  bool mJson = false;
  TlsSettings mTls;  ///< TLS is used if an authority file is set
  int64_t mTimeoutSeconds = 30;
};

/// A successful response of the API.
struct CliAnswer {
  boost::json::value mValue;
  std::string mText;  ///< the body as received
};

template <class Value>
using CliResult = boost::system::result<Value, CliFailure>;

/// Required by boost::system::result for value(). Never called, because verbs
/// check for a value first.
[[noreturn]] void throw_exception_from_error(
    const CliFailure& aFailure, const boost::source_location& aWhere);

/// Calls one node. Each call blocks until it has finished.
class AdminClient {
 public:
  explicit AdminClient(NodeOptions aOptions) : mOptions(std::move(aOptions)) {}

  /// \param aTarget path and query
  /// \return the response, or the failure with its cause and remedy
  CliResult<CliAnswer> Call(const char* aMethod, std::string aTarget,
                            std::string aBody = "") const;
  const NodeOptions& Options() const { return mOptions; }

 private:
  std::optional<TlsSettings> Tls() const;
  Result<HttpResponse> Send(const Endpoint& aNode, HttpRequest aRequest) const;
  CliFailure SendFailure(const Error& aError) const;

  NodeOptions mOptions;
};

}  // namespace rillwall
