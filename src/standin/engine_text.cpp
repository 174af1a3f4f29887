#include "engine_text.h"

#include <array>
#include <charconv>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall::standin {

namespace {

constexpr std::string_view kLengthTag = "[len=";
constexpr int64_t kMinDefaultTokens = 40;
constexpr int64_t kDefaultTokenRange = 120;
constexpr int kHexBase = 16;
/// Multipliers of the MurmurHash3 finalizer, which is a bijection, and of its
/// inverse.
constexpr uint32_t kMixFirst = 0x85ebca6b;
constexpr uint32_t kMixSecond = 0xc2b2ae35;
constexpr uint32_t kUnmixFirst = 0xa5cb9243;
constexpr uint32_t kUnmixSecond = 0x7ed1b41d;

uint32_t Mix(uint32_t aValue) {
  aValue ^= aValue >> 16;
  aValue *= kMixFirst;
  aValue ^= aValue >> 13;
  aValue *= kMixSecond;
  aValue ^= aValue >> 16;
  return aValue;
}

uint32_t Unmix(uint32_t aValue) {
  aValue ^= aValue >> 16;
  aValue *= kUnmixSecond;
  aValue ^= (aValue >> 13) ^ (aValue >> 26);
  aValue *= kUnmixFirst;
  aValue ^= aValue >> 16;
  return aValue;
}

uint64_t HashPrompt(std::string_view aPrompt) {
  return XXH3_64bits(aPrompt.data(), aPrompt.size());
}

std::string Hex(uint64_t aValue, int aDigits) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%0*llx", aDigits,
                static_cast<unsigned long long>(aValue));
  return text.data();
}

}  // namespace

AnswerText AnswerText::ForSeed(std::string_view aPrompt, int64_t aSeed) {
  const uint64_t key = XXH3_64bits(&aSeed, sizeof(aSeed));
  return {HashPrompt(aPrompt), static_cast<uint32_t>(key ^ (key >> 32))};
}

std::optional<AnswerText> AnswerText::FromText(std::string_view aPrompt,
                                               std::string_view aText) {
  if (aText.size() < kTokenBytes || aText[0] != 'w') {
    return std::nullopt;
  }
  const char* begin = aText.data() + 1;
  const char* end = aText.data() + kTokenBytes - 1;
  uint32_t word = 0;
  const auto [stop, failure] = std::from_chars(begin, end, word, kHexBase);
  if (failure != std::errc() || stop != end) {
    return std::nullopt;
  }
  const uint64_t prompt = HashPrompt(aPrompt);
  return AnswerText(prompt, Unmix(word) ^ static_cast<uint32_t>(prompt));
}

uint32_t AnswerText::Word(int64_t aIndex) const {
  if (aIndex == 0) {
    return Mix(mKey ^ static_cast<uint32_t>(mPromptHash));
  }
  const std::array<uint64_t, 3> place{mPromptHash, mKey,
                                      static_cast<uint64_t>(aIndex)};
  return static_cast<uint32_t>(XXH3_64bits(place.data(), sizeof(place)));
}

std::string AnswerText::Range(int64_t aBegin, int64_t aEnd) const {
  std::string text;
  text.reserve(kTokenBytes *
               static_cast<size_t>(std::max<int64_t>(0, aEnd - aBegin)));
  for (int64_t index = aBegin; index < aEnd; ++index) {
    text += 'w';
    text += Hex(Word(index), 8);
    text += ' ';
  }
  return text;
}

std::string AnswerText::Id() const {
  return Hex(mPromptHash, 16) + Hex(mKey, 8);
}

int64_t CountTokens(std::string_view aText) {
  if (aText.size() % kTokenBytes != 0) {
    return -1;
  }
  return static_cast<int64_t>(aText.size() / kTokenBytes);
}

bool IsAnswerTo(std::string_view aPrompt, std::string_view aText) {
  const auto answer = AnswerText::FromText(aPrompt, aText);
  const int64_t tokens = CountTokens(aText);
  return answer && tokens > 0 && answer->Range(0, tokens) == aText;
}

std::string PromptId(std::string_view aPrompt) {
  return Hex(HashPrompt(aPrompt), 16);
}

std::string WithLength(std::string_view aPrompt, int64_t aTokens) {
  return std::string(aPrompt) + " " + std::string(kLengthTag) +
         std::to_string(aTokens) + "]";
}

int64_t AnswerLength(std::string_view aPrompt) {
  const size_t mark = aPrompt.rfind(kLengthTag);
  int64_t length = 0;
  if (mark != std::string_view::npos) {
    const char* begin = aPrompt.data() + mark + kLengthTag.size();
    std::from_chars(begin, aPrompt.data() + aPrompt.size(), length);
  }
  if (length > 0) {
    return length;
  }
  return kMinDefaultTokens +
         static_cast<int64_t>(HashPrompt(aPrompt) % kDefaultTokenRange);
}

}  // namespace rillwall::standin
