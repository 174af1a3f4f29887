#include "rillwall/client_accounts.h"

#include <openssl/evp.h>

#include <cstring>
#include <memory>

namespace rillwall {

namespace {

struct FreeContext {
  void operator()(EVP_MD_CTX* aContext) const { EVP_MD_CTX_free(aContext); }
};

}  // namespace

// The algorithm is looked up once, and each thread keeps its context: that is
// two thirds of the time of a digest of some twenty bytes.
KeyDigest DigestOfKey(std::string_view aKey) {
  static EVP_MD* const kSha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  thread_local std::unique_ptr<EVP_MD_CTX, FreeContext> sContext(
      EVP_MD_CTX_new());
  KeyDigest digest{};
  EVP_DigestInit_ex2(sContext.get(), kSha256, nullptr);
  EVP_DigestUpdate(sContext.get(), aKey.data(), aKey.size());
  EVP_DigestFinal_ex(sContext.get(), digest.data(), nullptr);
  return digest;
}

size_t AccountTable::FirstBytes::operator()(const KeyDigest& aDigest) const {
  size_t hash = 0;
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

AccountTable::AccountTable(std::vector<ClientAccount> aAccounts)
    : mRequired(true), mAccounts(std::move(aAccounts)) {
  for (size_t i = 0; i < mAccounts.size(); ++i) {
    for (const KeyDigest& key : mAccounts[i].mKeys) {
      mByKey.try_emplace(key, i);
    }
  }
}

// Digests are compared, not keys: how long that takes tells a caller nothing
// that helps it to guess a key.
const ClientAccount* AccountTable::Find(std::string_view aKey) const {
  const auto found = mByKey.find(DigestOfKey(aKey));
  return found == mByKey.end() ? nullptr : &mAccounts[found->second];
}

}  // namespace rillwall
