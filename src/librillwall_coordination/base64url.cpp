#include "base64url.h"

#include <openssl/evp.h>

#include <algorithm>

namespace rillwall {

namespace {

constexpr size_t kBytesPerBlock = 3;
constexpr size_t kCharsPerBlock = 4;
constexpr char kPadding = '=';

std::string Translate(std::string aText, char aPlus, char aSlash, char aToPlus,
                      char aToSlash) {
  std::replace(aText.begin(), aText.end(), aPlus, aToPlus);
  std::replace(aText.begin(), aText.end(), aSlash, aToSlash);
  return aText;
}

const unsigned char* Bytes(const std::string& aText) {
  return reinterpret_cast<const unsigned char*>(aText.data());
}

unsigned char* Bytes(std::string& aText) {
  return reinterpret_cast<unsigned char*>(aText.data());
}

}  // namespace

std::string EncodeBase64Url(std::string_view aBytes) {
  const std::string input(aBytes);
  const size_t blocks = (input.size() + kBytesPerBlock - 1) / kBytesPerBlock;
  std::string text(blocks * kCharsPerBlock + 1, '\0');
  const int size = EVP_EncodeBlock(Bytes(text), Bytes(input),
                                   static_cast<int>(input.size()));
  text.resize(static_cast<size_t>(size));
  while (!text.empty() && text.back() == kPadding) {
    text.pop_back();
  }
  return Translate(std::move(text), '+', '/', '-', '_');
}

std::optional<std::string> DecodeBase64Url(std::string_view aText) {
  std::string padded = Translate(std::string(aText), '-', '_', '+', '/');
  const size_t remainder = padded.size() % kCharsPerBlock;
  const size_t missing = remainder == 0 ? 0 : kCharsPerBlock - remainder;
  padded.append(missing, kPadding);
  std::string bytes(padded.size(), '\0');
  const int size = EVP_DecodeBlock(Bytes(bytes), Bytes(padded),
                                   static_cast<int>(padded.size()));
  if (size < 0 || static_cast<size_t>(size) < missing) {
    return std::nullopt;
  }
  bytes.resize(static_cast<size_t>(size) - missing);
  // Accepts only the canonical encoding of the bytes.
  if (EncodeBase64Url(bytes) != aText) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace rillwall
