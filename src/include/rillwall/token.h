/// \file
/// Credentials: tokens that are kept only as salted SHA-256 hashes.
///
/// Tokens are long and random, so that a fast hash is safe: none can be found
/// by trying. The salt keeps equal tokens from being seen to be equal.

#pragma once

#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/policy.h"

namespace rillwall {

/// \return SHA-256 of the salt followed by the token, 64 lower-case
/// hexadecimal digits
std::string TokenHash(std::string_view aSalt, std::string_view aToken);

/// Compares in a time that does not depend on where the hashes differ.
bool TokenMatches(const TokenRule& aRule, std::string_view aToken);

/// \return the rule whose token this is, or nullptr
const TokenRule* FindToken(const PolicyRules& aRules, std::string_view aToken);

/// A new token and what a policy declares of it.
struct NewToken {
  std::string mToken;  ///< shown once, kept nowhere
  TokenRule mRule;
  /// \return the declaration, one line of Lua
  std::string Declaration() const;
};

/// Makes a random token.
/// \param aScope "caller", "trainer" or "operator"
/// \param aName house, trainer or operator
Result<NewToken> MakeToken(std::string_view aScope, std::string_view aName);

}  // namespace rillwall
