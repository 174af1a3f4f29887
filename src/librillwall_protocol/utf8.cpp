/// \file
/// Validation of UTF-8 by the ranges of RFC 3629, section 4.

#include "utf8.h"

#include <cstddef>

namespace rillwall {

namespace {

/// The bytes of one character: how many follow the first one, and the bounds
/// of the second, which exclude overlong forms, surrogates and values beyond
/// U+10FFFF.
struct Sequence {
  size_t mFollowing;
  unsigned char mSecondLow;
  unsigned char mSecondHigh;
};

constexpr size_t kInvalid = ~size_t{0};
constexpr unsigned char kContinuationLow = 0x80;
constexpr unsigned char kContinuationHigh = 0xBF;

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

bool Between(unsigned char aByte, unsigned char aLow, unsigned char aHigh) {
  return aByte >= aLow && aByte <= aHigh;
}

}  // namespace

bool IsPlainUtf8(std::string_view aText) {
  size_t at = 0;
  while (at < aText.size()) {
    const Sequence sequence = SequenceOf(static_cast<unsigned char>(aText[at]));
    if (sequence.mFollowing == kInvalid ||
        aText.size() - at <= sequence.mFollowing) {
      return false;
    }
    for (size_t i = 1; i <= sequence.mFollowing; ++i) {
      const auto byte = static_cast<unsigned char>(aText[at + i]);
      const bool second = i == 1;
      if (!Between(byte, second ? sequence.mSecondLow : kContinuationLow,
                   second ? sequence.mSecondHigh : kContinuationHigh)) {
        return false;
      }
    }
    at += sequence.mFollowing + 1;
  }
  return true;
}

}  // namespace rillwall
