/// \file
/// Helpers shared by all parts of the HTTP API: error responses, identities,
/// request ids and parsing.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "node.h"
#include "rillwall/json.h"

namespace rillwall {

/// Response header that states whether an upstream ran the request.
inline constexpr const char* kRunHeader = "Rillwall-Run";
/// Header that carries the request id across nodes and upstreams.
inline constexpr const char* kRequestHeader = "Rillwall-Request";

/// Sender of a request, as its token states.
struct Identity {
  std::string mScope;             ///< "caller", "trainer" or "operator"
  std::string mName;              ///< name of the house, trainer or operator
  bool mUnauthenticated = false;  ///< no policy declares a token
};

/// \return an HTTP response with the error's kind, message, remedy and run
/// state, and Retry-After headers for statuses 429 and 503
HttpResponse ErrorResponse(const Error& aError);
/// \return the JSON body that ErrorResponse() sends
std::string ErrorJson(const Error& aError);
/// Adds the headers with the run state and the request id.
void AddRunHeaders(HttpResponse& aResponse, RunState aRun,
                   const std::string& aRequestId);
/// \return the request id that the sender gave, or a new one if it gave none or
/// one that is too long
std::string RequestId(const HttpRequest& aRequest);

/// Checks a request's token against the policies in force.
/// \param aScope the scope that the request needs
/// \return the sender, or Unauthorized or Forbidden. Without any token in the
/// policies every request is accepted.
Result<Identity> Identify(const PolicySet& aPolicies,
                          const HttpRequest& aRequest, std::string_view aScope);

/// Reads an integer field. A value outside [aLeast, aMost] makes the reader
/// fail.
/// \param aDefault value for a missing field; if absent, the field is required
int64_t ReadInt(JsonReader& aReader, std::string_view aName, int64_t aLeast,
                int64_t aMost, std::optional<int64_t> aDefault);
/// Parses a decimal number.
/// \param aWhat what the number stands for, used in the error message
/// \return the number, or BadRequest if the text is not a number
Result<uint64_t> ParseNumber(std::string_view aText, const char* aWhat);
/// Splits a path at its slashes, drops empty segments and decodes percent
/// escapes.
std::vector<std::string> SplitPath(std::string_view aPath);

}  // namespace rillwall
