#include "rillwall/request_digest.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>

#include "sha256.h"

namespace rillwall {

namespace {

/// \return the length of a part and a delimiter. Without them, different parts
/// with the same concatenation would have the same digest
std::string LengthPrefix(std::string_view aPart) {
  return std::to_string(aPart.size()) + ':';
}

}  // namespace

RequestDigest::RequestDigest(const RequestParts& aParts) {
  const Sha256Bytes whole = Sha256(
      {LengthPrefix(aParts.mMethod), aParts.mMethod, LengthPrefix(aParts.mHost),
       aParts.mHost, LengthPrefix(aParts.mTarget), aParts.mTarget,
       LengthPrefix(aParts.mAccount), aParts.mAccount, aParts.mBody});
  std::copy_n(whole.begin(), kBytes, mBytes.begin());
}

std::optional<RequestDigest> RequestDigest::Parse(std::string_view aText) {
  const bool digits = std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  });
  if (aText.size() != 2 * kBytes || !digits) {
    return std::nullopt;
  }
  RequestDigest digest;
  boost::algorithm::unhex(aText.begin(), aText.end(), digest.mBytes.begin());
  return digest;
}

std::string RequestDigest::Text() const {
  std::string text;
  boost::algorithm::hex_lower(mBytes.begin(), mBytes.end(),
                              std::back_inserter(text));
  return text;
}

}  // namespace rillwall
