#include "rillwall/request_digest.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>

#include "sha256.h"

namespace rillwall {

namespace {

/// \return the length of a part, and a mark that ends it: without them, parts
/// that run into one another could make two requests alike
std::string Frame(std::string_view aPart) {
  return std::to_string(aPart.size()) + ':';
}

}  // namespace

RequestDigest::RequestDigest(const RequestParts& aParts) {
  const Sha256Bytes whole =
      Sha256({Frame(aParts.mMethod), aParts.mMethod, Frame(aParts.mHost),
              aParts.mHost, Frame(aParts.mTarget), aParts.mTarget,
              Frame(aParts.mAccount), aParts.mAccount, aParts.mBody});
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
