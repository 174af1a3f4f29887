#include "input_lines.h"

#include <fstream>

#include "control_serve.h"
#include "engine_text.h"

namespace rillwall::standin {

Result<std::vector<InputLine>> ReadInputs(const std::string& aPath) {
  std::ifstream file(aPath);
  std::vector<InputLine> lines;
  std::string text;
  while (std::getline(file, text)) {
    const auto object = ParseObject(text);
    InputLine line;
    if (object.has_value()) {
      line = {TextOf(object.value(), "prompt"),
              NumberOf(object.value(), "tokens")};
    }
    if (line.mPrompt.empty() || line.mTokens < 1) {
      return Error(ErrorKind::BadRequest,
                   aPath + " line " + std::to_string(lines.size() + 1) +
                       " is not {\"prompt\":TEXT,\"tokens\":NUMBER}.");
    }
    lines.push_back(std::move(line));
  }
  if (lines.empty()) {
    return Error(ErrorKind::BadRequest, aPath + " contains no prompts.");
  }
  return lines;
}

std::string MarkedPrompt(const InputLine& aLine, const std::string& aMark) {
  return WithLength(aLine.mPrompt + " (" + aMark + ")", aLine.mTokens);
}

}  // namespace rillwall::standin
