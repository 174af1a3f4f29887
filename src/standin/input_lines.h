/// \file
/// Reads prompts and the lengths of their answers from a file with one JSON
/// object per line.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rillwall/error.h"

namespace rillwall::standin {

/// A prompt and the length of its answer in tokens.
struct InputLine {
  std::string mPrompt;
  int64_t mTokens = 0;
  bool operator==(const InputLine&) const = default;
};

/// Reads lines of the form {"prompt":TEXT,"tokens":NUMBER}.
/// \return at least one line, or BadRequest with the number of the invalid line
Result<std::vector<InputLine>> ReadInputs(const std::string& aPath);

/// \return the prompt with its answer length, made unique by aMark
std::string MarkedPrompt(const InputLine& aLine, const std::string& aMark);

}  // namespace rillwall::standin
