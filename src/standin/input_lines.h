/// \file
/// Prompts with the true lengths of their answers, one JSON object a line.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rillwall/error.h"

namespace rillwall::standin {

/// One prompt and how many tokens its answer has.
struct InputLine {
  std::string mPrompt;
  int64_t mTokens = 0;
  bool operator==(const InputLine&) const = default;
};

/// Reads lines of {"prompt","tokens"}.
/// \return at least one line, or BadRequest naming the faulty line
Result<std::vector<InputLine>> ReadInputs(const std::string& aPath);

/// \return the prompt made unlike any other by aMark, with its true length
std::string MarkedPrompt(const InputLine& aLine, const std::string& aMark);

}  // namespace rillwall::standin
