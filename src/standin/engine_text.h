/// \file
/// The text that engine stand-ins generate, and how receivers check it.
///
/// An answer is a function of (prompt, seed, token index) alone, the same on
/// every engine, so that a resumed stream continues exactly. Each token is
/// "w", eight hex digits and a space. The first token is a one-to-one image of
/// the seed, so a receiver that knows the prompt can recover the answer's key
/// from the text and check every following token without knowing the seed.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rillwall::standin {

/// Bytes of one generated token.
inline constexpr size_t kTokenBytes = 10;
/// Bytes of a prompt that count as one token.
inline constexpr size_t kPromptBytesPerToken = 4;

/// One answer's text, whole or in parts.
class AnswerText {
 public:
  static AnswerText ForSeed(std::string_view aPrompt, int64_t aSeed);
  /// Recovers the key from an answer's first token.
  /// \return nothing if the text is empty or was not generated
  static std::optional<AnswerText> FromText(std::string_view aPrompt,
                                            std::string_view aText);

  /// \return tokens [aBegin, aEnd)
  std::string Range(int64_t aBegin, int64_t aEnd) const;
  /// \return prompt and key as hex digits, equal for equal texts
  std::string Id() const;
  bool operator==(const AnswerText&) const = default;

 private:
  AnswerText(uint64_t aPromptHash, uint32_t aKey)
      : mPromptHash(aPromptHash), mKey(aKey) {}
  uint32_t Word(int64_t aIndex) const;

  uint64_t mPromptHash;
  uint32_t mKey;
};

/// \return tokens in a generated text, or -1 if its size is not a whole number
int64_t CountTokens(std::string_view aText);
/// \return whether the text is one answer to the prompt, from its first token
bool IsAnswerTo(std::string_view aPrompt, std::string_view aText);
/// \return the prompt's hash as hex digits: the first part of AnswerText::Id()
std::string PromptId(std::string_view aPrompt);

/// \return the prompt with its true answer length stated as "[len=N]"
std::string WithLength(std::string_view aPrompt, int64_t aTokens);
/// \return the true answer length: the last "[len=N]" of the prompt, or a
/// value that follows from the prompt
int64_t AnswerLength(std::string_view aPrompt);

}  // namespace rillwall::standin
