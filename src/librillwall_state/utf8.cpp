#include "rillwall/utf8.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>

namespace rillwall {

namespace {

/// Number of continuation bytes of a character, and the bounds of the first
/// one. The bounds exclude overlong forms, surrogates and values beyond
/// U+10FFFF.
struct Sequence {
  size_t mContinuationBytes;
  unsigned char mSecondLow;
  unsigned char mSecondHigh;
};

constexpr size_t kInvalid = ~size_t{0};
constexpr unsigned char kContinuationLow = 0x80;
constexpr unsigned char kContinuationHigh = 0xBF;
constexpr std::string_view kReplacement = "\xEF\xBF\xBD";

/// \return the sequence that a first byte starts; kInvalid for bytes that
/// cannot come first
Sequence SequenceOf(unsigned char aFirst) {
  if (aFirst < 0x80) {
    return {0, 0, 0};
  }
  if (aFirst < 0xC2 || aFirst > 0xF4) {
    return {kInvalid, 0, 0};
  }
  if (aFirst < 0xE0) {
    return {1, kContinuationLow, kContinuationHigh};
  }
  if (aFirst < 0xF0) {
    const unsigned char low = aFirst == 0xE0 ? 0xA0 : kContinuationLow;
    const unsigned char high = aFirst == 0xED ? 0x9F : kContinuationHigh;
    return {2, low, high};
  }
  const unsigned char low = aFirst == 0xF0 ? 0x90 : kContinuationLow;
  const unsigned char high = aFirst == 0xF4 ? 0x8F : kContinuationHigh;
  return {3, low, high};
}

bool InRange(unsigned char aByte, unsigned char aLow, unsigned char aHigh) {
  return aByte >= aLow && aByte <= aHigh;
}

/// \return number of bytes of the character that a text begins with; 0 if it
/// does not begin with a valid one
size_t CharacterBytes(std::string_view aText) {
  const Sequence sequence = SequenceOf(static_cast<unsigned char>(aText[0]));
  if (sequence.mContinuationBytes == kInvalid ||
      aText.size() <= sequence.mContinuationBytes) {
    return 0;
  }
  for (size_t i = 1; i <= sequence.mContinuationBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aText[i]);
    const bool second = i == 1;
    if (!InRange(byte, second ? sequence.mSecondLow : kContinuationLow,
                 second ? sequence.mSecondHigh : kContinuationHigh)) {
      return 0;
    }
  }
  return sequence.mContinuationBytes + 1;
}

bool IsControl(char aChar) {
  return static_cast<unsigned char>(aChar) < 0x20 || aChar == 0x7F;
}

/// \return number of bytes at the beginning of a text that are ASCII, as far as
/// whole words show it
size_t AsciiPrefix(std::string_view aText) {
  constexpr uint64_t kHighBits = 0x8080808080808080;
  size_t bytes = 0;
  uint64_t word = 0;
  while (aText.size() - bytes >= sizeof(word)) {
    std::memcpy(&word, aText.data() + bytes, sizeof(word));
    if ((word & kHighBits) != 0) {
      break;
    }
    bytes += sizeof(word);
  }
  return bytes;
}

}  // namespace

bool IsUtf8(std::string_view aText) {
  while (!aText.empty()) {
    aText.remove_prefix(AsciiPrefix(aText));
    if (aText.empty()) {
      break;
    }
    const size_t bytes = CharacterBytes(aText);
    if (bytes == 0) {
      return false;
    }
    aText.remove_prefix(bytes);
  }
  return true;
}

bool IsPlainUtf8(std::string_view aText) {
  return IsUtf8(aText) && std::none_of(aText.begin(), aText.end(), IsControl);
}

std::string ReplaceInvalidUtf8(std::string_view aText) {
  std::string valid;
  valid.reserve(aText.size());
  while (!aText.empty()) {
    const size_t bytes = CharacterBytes(aText);
    valid += bytes == 0 ? kReplacement : aText.substr(0, bytes);
    aText.remove_prefix(std::max<size_t>(bytes, 1));
  }
  return valid;
}

}  // namespace rillwall
