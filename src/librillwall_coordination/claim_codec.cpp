/// \file
/// The encoding of claims in the key-value service, and the digest of requests.

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>

#include "base64url.h"
#include "rillwall/claim.h"

namespace rillwall {

namespace {

namespace json = boost::json;

constexpr size_t kMaxKeyLength = 255;
constexpr char kFirstVisible = '!';
constexpr char kLastVisible = '~';
constexpr const char* kClaimed = "claimed";
constexpr const char* kDone = "done";
constexpr std::array<std::string_view, 5> kRecordedHeaders = {
    "content-type", "content-language", "location", "etag", "retry-after"};

std::string Hex(const unsigned char* aBytes, size_t aSize) {
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr unsigned kHighShift = 4;
  constexpr unsigned kLowMask = 15;
  std::string text;
  for (size_t at = 0; at < aSize; ++at) {
    text.push_back(kDigits[aBytes[at] >> kHighShift]);
    text.push_back(kDigits[aBytes[at] & kLowMask]);
  }
  return text;
}

bool IsUnreserved(char aChar) {
  const auto byte = static_cast<unsigned char>(aChar);
  return std::isalnum(byte) != 0 || aChar == '-' || aChar == '_' ||
         aChar == '.';
}

std::string PercentEncode(std::string_view aText) {
  std::string encoded;
  for (const char each : aText) {
    if (IsUnreserved(each)) {
      encoded.push_back(each);
      continue;
    }
    const auto byte = static_cast<unsigned char>(each);
    encoded += "%" + Hex(&byte, 1);
  }
  return encoded;
}

json::object EncodeAnswer(const ClaimAnswer& aAnswer) {
  json::array headers;
  for (const ClaimHeader& header : aAnswer.mHeaders) {
    headers.push_back(json::array{header.mName, header.mValue});
  }
  // The body may contain any bytes, which JSON text cannot represent directly.
  return {{"status", aAnswer.mStatus},
          {"headers", headers},
          {"body", EncodeBase64Url(aAnswer.mBody)},
          {"body_left_out", aAnswer.mBodyOmitted}};
}

std::string Text(const json::value& aValue) {
  return std::string(aValue.as_string());
}

ClaimAnswer DecodeAnswer(const json::object& aObject) {
  ClaimAnswer answer;
  answer.mStatus = aObject.at("status").to_number<int>();
  for (const json::value& each : aObject.at("headers").as_array()) {
    const json::array& pair = each.as_array();
    answer.mHeaders.push_back({Text(pair.at(0)), Text(pair.at(1))});
  }
  answer.mBody = DecodeBase64Url(aObject.at("body").as_string()).value();
  answer.mBodyOmitted = aObject.at("body_left_out").as_bool();
  return answer;
}

ClaimRecord DecodeRecord(const json::object& aObject) {
  ClaimRecord record;
  record.mKey = {Text(aObject.at("house")), Text(aObject.at("service")),
                 Text(aObject.at("key"))};
  record.mNonce = Text(aObject.at("nonce"));
  record.mDigest = Text(aObject.at("digest"));
  if (aObject.at("state").as_string() == kDone) {
    record.mState = ClaimState::Done;
    record.mAnswer = DecodeAnswer(aObject.at("answer").as_object());
  }
  return record;
}

char Lower(char aChar) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
}

}  // namespace

std::string ClaimKey::Path() const {
  return "claim/" + PercentEncode(mHouse) + "/" + PercentEncode(mService) +
         "/" + PercentEncode(mKey);
}

std::string EncodeClaim(const ClaimRecord& aRecord) {
  const bool done = aRecord.mState == ClaimState::Done;
  json::object object{
      {"house", aRecord.mKey.mHouse}, {"service", aRecord.mKey.mService},
      {"key", aRecord.mKey.mKey},     {"nonce", aRecord.mNonce},
      {"digest", aRecord.mDigest},    {"state", done ? kDone : kClaimed}};
  if (done) {
    object["answer"] = EncodeAnswer(aRecord.mAnswer);
  }
  return json::serialize(object);
}

Result<ClaimRecord> DecodeClaim(std::string_view aText) {
  try {
    return DecodeRecord(json::parse(aText).as_object());
  } catch (const std::exception& failure) {
    return Error(ErrorKind::Internal,
                 std::string("The claim record cannot be decoded (") +
                     failure.what() + ").");
  }
}

std::string RequestDigest(std::string_view aMethod, std::string_view aTarget,
                          std::string_view aBody) {
  std::string text(aMethod);
  text += " " + std::string(aTarget) + "\n";
  text += aBody;
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), hash.data(), &size, EVP_sha256(),
             nullptr);
  return Hex(hash.data(), size);
}

bool IsRecordedHeader(std::string_view aName) {
  std::string name(aName);
  std::transform(name.begin(), name.end(), name.begin(), Lower);
  return std::find(kRecordedHeaders.begin(), kRecordedHeaders.end(), name) !=
         kRecordedHeaders.end();
}

std::optional<Error> CheckIdempotencyKey(std::string_view aKey) {
  const auto visible = [](char aChar) {
    return aChar >= kFirstVisible && aChar <= kLastVisible;
  };
  const bool fits = !aKey.empty() && aKey.size() <= kMaxKeyLength;
  if (fits && std::all_of(aKey.begin(), aKey.end(), visible)) {
    return std::nullopt;
  }
  return Error(ErrorKind::BadRequest,
               "This call is non-idempotent and needs an Idempotency-Key "
               "header of 1 to 255 visible ASCII characters, unique to it.");
}

}  // namespace rillwall
