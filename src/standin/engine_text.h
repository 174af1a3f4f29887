/// \file
/// Generates the answers of the engine stand-ins and verifies them at the
/// receiver.
///
/// An answer depends only on the prompt, the seed and the token index. It is
/// the same on every engine, so a stream that is resumed elsewhere continues
/// exactly. Each token is "w", eight hex digits and a space. The first token is
/// a bijective function of the key, which is derived from the seed. A receiver
/// that knows the prompt can therefore recover the key from the first token and
/// check every following token without knowing the seed.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rillwall::standin {

/// Bytes of one generated token.
inline constexpr size_t kTokenBytes = 10;
/// Bytes of a prompt per token.
inline constexpr size_t kPromptBytesPerToken = 4;

/// The text of one answer, which can be generated from any token on.
class AnswerText {
 public:
  static AnswerText ForSeed(std::string_view aPrompt, int64_t aSeed);
  /// Recovers the key from the first token of an answer.
  /// \return nothing if the text does not begin with a generated token
  static std::optional<AnswerText> FromText(std::string_view aPrompt,
                                            std::string_view aText);

  /// \return the text of the tokens [aBegin, aEnd)
  std::string Range(int64_t aBegin, int64_t aEnd) const;
  /// \return prompt hash and key as hex digits; equal answers have equal ids
  std::string Id() const;
  bool operator==(const AnswerText&) const = default;

 private:
  AnswerText(uint64_t aPromptHash, uint32_t aKey)
      : mPromptHash(aPromptHash), mKey(aKey) {}
  uint32_t Word(int64_t aIndex) const;

  uint64_t mPromptHash;
  uint32_t mKey;
};

/// \return the number of tokens in a generated text, or -1 if its size is not a
/// multiple of kTokenBytes
int64_t CountTokens(std::string_view aText);
/// \return whether the text is an answer to the prompt, or the beginning of one
bool IsAnswerTo(std::string_view aPrompt, std::string_view aText);
/// \return the hash of the prompt as hex digits: the first part of
/// AnswerText::Id()
std::string PromptId(std::string_view aPrompt);

/// \return the prompt followed by its answer length as "[len=N]"
/// \param aTokens answer length in tokens
std::string WithLength(std::string_view aPrompt, int64_t aTokens);
/// \return the answer length in tokens: the last "[len=N]" of the prompt, or a
/// value derived from the hash of the prompt
int64_t AnswerLength(std::string_view aPrompt);

}  // namespace rillwall::standin
