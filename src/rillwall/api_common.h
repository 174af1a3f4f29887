/// \file
/// What all parts of the HTTP API share: error answers, identities, relays.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "node.h"
#include "rillwall/json.h"

namespace rillwall {

/// Header that tells whether an upstream ran the request.
inline constexpr const char* kRunHeader = "Rillwall-Run";
/// Header that carries the request's identity over nodes and upstreams.
inline constexpr const char* kRequestHeader = "Rillwall-Request";

/// Who sends a request, as its token says.
struct Identity {
  std::string mScope;  ///< "caller", "trainer" or "operator"
  std::string mName;   ///< house, trainer or operator
  bool mOpen = false;  ///< no policy names a token; names are as stated
};

/// \return the error as an answer with kind, message, remedy and run state
HttpResponse ErrorResponse(const Error& aError);
/// \return the error's JSON, as in ErrorResponse
std::string ErrorJson(const Error& aError);
/// Adds the run state and the request's identity.
void Mark(HttpResponse& aResponse, RunState aRun,
          const std::string& aRequestId);
/// \return the identity given by the peer, or a new one
std::string RequestId(const HttpRequest& aRequest);

/// Checks a request's token against the policies in force.
/// \param aScope the scope that the request needs
/// \return who it is, or Unauthorized or Forbidden
Result<Identity> Identify(const PolicySet& aPolicies,
                          const HttpRequest& aRequest, std::string_view aScope);

/// Reads a whole number; one out of bounds is the reader's failure.
/// \param aDefault for when the field is missing; without it it must be there
int64_t ReadInt(JsonReader& aReader, std::string_view aName, int64_t aLeast,
                int64_t aMost, std::optional<int64_t> aDefault);
/// Parses a decimal number of a path, BadRequest if it is none.
Result<uint64_t> ParseNumber(std::string_view aText, const char* aWhat);
/// Splits a path at its slashes, percent-decoded.
std::vector<std::string> SplitPath(std::string_view aPath);

}  // namespace rillwall
