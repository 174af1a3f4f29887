/// \file
/// Calls of the administration API, one at a time, for the command line.

#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "rillwall/error.h"
#include "rillwall/http.h"

namespace rillwall {

/// What a verb exits with. Scripts tell cases apart by it.
enum class ExitCode {
  Done = 0,
  Failed = 1,       ///< any other reason
  BadRequest = 2,   ///< an argument, file or request is not valid
  Unreachable = 3,  ///< the node does not answer
  Refused = 4,      ///< the token is missing, unknown or of another scope
  NotFound = 5,     ///< there is no such thing
  Conflict = 6,     ///< another change came first
  Invalid = 7,      ///< the policy is wrong or contradicts another
  Unavailable = 8,  ///< not now; nothing was changed
  Unknown = 9,      ///< it may have been done; read back
  Partial = 10,     ///< accepted, but not yet in force on every node
  Different = 11,   ///< `policy diff` found differences
};

/// \return the exit code that stands for an error kind
ExitCode ExitCodeOf(ErrorKind aKind);

/// Why a verb failed, for people.
struct CliFailure {
  ExitCode mCode = ExitCode::Failed;
  std::string mText;  ///< cause and remedy
  bool operator==(const CliFailure&) const = default;
};

/// Which node to ask and how.
struct NodeOptions {
  std::string mNode = "127.0.0.1:8080";
  std::string mToken;
  bool mJson = false;
  TlsSettings mTls;  ///< with an authority's file TLS is spoken, else not
  int64_t mTimeoutSeconds = 30;
};

/// An answer of the API.
struct CliAnswer {
  boost::json::value mValue;
  std::string mText;  ///< as received
};

template <class Value>
using CliResult = boost::system::result<Value, CliFailure>;

/// Never called: verbs check for a value first.
[[noreturn]] void throw_exception_from_error(
    const CliFailure& aFailure, const boost::source_location& aWhere);

/// Asks one node. Each call runs to its end.
class AdminClient {
 public:
  explicit AdminClient(NodeOptions aOptions) : mOptions(std::move(aOptions)) {}

  /// \param aTarget path and query
  CliResult<CliAnswer> Call(const char* aMethod, std::string aTarget,
                            std::string aBody = "") const;
  const NodeOptions& Options() const { return mOptions; }

 private:
  std::optional<TlsSettings> Tls() const;
  Result<HttpResponse> Send(const Endpoint& aNode, HttpRequest aRequest) const;
  CliFailure Explain(const Error& aError) const;

  NodeOptions mOptions;
};

}  // namespace rillwall
