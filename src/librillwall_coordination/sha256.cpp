#include "sha256.h"

#include <openssl/evp.h>

#include <memory>

namespace rillwall {

namespace {

struct FreeContext {
  void operator()(EVP_MD_CTX* aContext) const { EVP_MD_CTX_free(aContext); }
};

}  // namespace

// Fetching the algorithm and allocating the context take two thirds of the time
// of a digest of about twenty bytes. The algorithm is therefore fetched once,
// and each thread reuses its context.
Sha256Bytes Sha256(std::initializer_list<std::string_view> aTexts) {
  static EVP_MD* const kSha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  thread_local std::unique_ptr<EVP_MD_CTX, FreeContext> sContext(
      EVP_MD_CTX_new());
  Sha256Bytes bytes{};
  EVP_DigestInit_ex2(sContext.get(), kSha256, nullptr);
  for (const std::string_view text : aTexts) {
    EVP_DigestUpdate(sContext.get(), text.data(), text.size());
  }
  EVP_DigestFinal_ex(sContext.get(), bytes.data(), nullptr);
  return bytes;
}

}  // namespace rillwall
