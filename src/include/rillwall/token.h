/// \file
/// Credentials: tokens that are stored only as salted SHA-256 hashes.
///
/// Tokens are long and random, so a fast hash is safe: they cannot be found by
/// brute force. The salt hides whether two tokens are equal.

#pragma once

#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/policy.h"

namespace rillwall {

/// \return SHA-256 of the salt followed by the token, as 64 lower-case
/// hexadecimal digits; empty if OpenSSL fails
std::string TokenHash(std::string_view aSalt, std::string_view aToken);

/// Compares the hashes in constant time.
/// \return whether the token belongs to the rule
bool TokenMatches(const TokenRule& aRule, std::string_view aToken);

/// \return the rule that the token matches, or nullptr
const TokenRule* FindToken(const PolicyRules& aRules, std::string_view aToken);

/// A new token and the rule that declares it in a policy.
struct NewToken {
  std::string mToken;  ///< the secret; shown once and never stored
  TokenRule mRule;
  /// \return the declaration for a policy, one line of Lua
  std::string Declaration() const;
};

/// Generates a random token.
/// \param aScope "caller", "trainer" or "operator"
/// \param aName name of the house, trainer or operator
/// \return the token; BadRequest for an invalid scope or name; Internal if the
/// system provides no random bytes
Result<NewToken> MakeToken(std::string_view aScope, std::string_view aName);

}  // namespace rillwall
