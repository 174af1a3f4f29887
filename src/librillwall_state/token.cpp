#include "rillwall/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

#include "policy_fields.h"

namespace rillwall {

namespace {

constexpr size_t kTokenBytes = 24;
constexpr size_t kSaltBytes = 12;
constexpr char kTokenPrefix[] = "rw_";

std::string Hex(const unsigned char* aBytes, size_t aCount) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (size_t i = 0; i < aCount; ++i) {
    text += kDigits[aBytes[i] >> 4];
    text += kDigits[aBytes[i] & 15];
  }
  return text;
}

// Returns an empty string if the system provides no random bytes.
template <size_t Count>
std::string RandomHex() {
  std::array<unsigned char, Count> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(Count)) != 1) {
    return "";
  }
  return Hex(bytes.data(), Count);
}

}  // namespace

std::string TokenHash(std::string_view aSalt, std::string_view aToken) {
  const std::string text = std::string(aSalt) + std::string(aToken);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    return "";
  }
  return Hex(digest.data(), size);
}

bool TokenMatches(const TokenRule& aRule, std::string_view aToken) {
  const std::string hash = TokenHash(aRule.mSalt, aToken);
  return !hash.empty() && hash.size() == aRule.mHash.size() &&
         CRYPTO_memcmp(hash.data(), aRule.mHash.data(), hash.size()) == 0;
}

const TokenRule* FindToken(const PolicyRules& aRules, std::string_view aToken) {
  for (const TokenRule& rule : aRules.mTokens) {
    if (TokenMatches(rule, aToken)) {
      return &rule;
    }
  }
  return nullptr;
}

std::string NewToken::Declaration() const {
  return "token{ scope=\"" + mRule.mScope + "\", name=\"" + mRule.mName +
         "\", salt=\"" + mRule.mSalt + "\", hash=\"" + mRule.mHash + "\" }";
}

Result<NewToken> MakeToken(std::string_view aScope, std::string_view aName) {
  if (!IsName(aName) || !IsName(aScope)) {
    return Error(
        ErrorKind::BadRequest,
        "The scope or the name is not valid. Use 1 to 64 letters, digits, "
        "'.', '_' or '-'.");
  }
  const std::string random = RandomHex<kTokenBytes>();
  const std::string salt = RandomHex<kSaltBytes>();
  if (random.empty() || salt.empty()) {
    return Error(ErrorKind::Internal, "The system provides no random bytes.");
  }
  NewToken made;
  made.mToken = kTokenPrefix + random;
  made.mRule = {salt, TokenHash(salt, made.mToken), std::string(aScope),
                std::string(aName)};
  // The checks of the declaration report an invalid scope.
  const Result<PolicyRules> rules = EvaluatePolicy("token", made.Declaration());
  if (!rules) {
    return Error(ErrorKind::BadRequest, rules.error().Detail());
  }
  return made;
}

}  // namespace rillwall
