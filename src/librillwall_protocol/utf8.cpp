/// \file
/// Validates UTF-8 by the byte ranges of RFC 3629, section 4.

#include "utf8.h"

#include <cstddef>

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

/// \return the sequence that a first byte starts; kInvalid for control
/// characters and bytes that cannot come first
Sequence SequenceOf(unsigned char aFirst) {
  if (aFirst < 0x20 || aFirst == 0x7F) {
    return {kInvalid, 0, 0};
  }
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

}  // namespace

bool IsPlainUtf8(std::string_view aText) {
  size_t at = 0;
  while (at < aText.size()) {
    const Sequence sequence = SequenceOf(static_cast<unsigned char>(aText[at]));
    if (sequence.mContinuationBytes == kInvalid ||
        aText.size() - at <= sequence.mContinuationBytes) {
      return false;
    }
    for (size_t i = 1; i <= sequence.mContinuationBytes; ++i) {
      const auto byte = static_cast<unsigned char>(aText[at + i]);
      const bool second = i == 1;
      if (!InRange(byte, second ? sequence.mSecondLow : kContinuationLow,
                   second ? sequence.mSecondHigh : kContinuationHigh)) {
        return false;
      }
    }
    at += sequence.mContinuationBytes + 1;
  }
  return true;
}

}  // namespace rillwall
