#include "cli_diff.h"

#include <algorithm>
#include <vector>

namespace rillwall {

namespace {

using Lines = std::vector<std::string_view>;

Lines Split(std::string_view aText) {
  Lines lines;
  while (!aText.empty()) {
    const size_t end = std::min(aText.find('\n'), aText.size());
    lines.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return lines;
}

/// Lengths of the longest common subsequences of all pairs of suffixes of two
/// lists of lines.
class LcsLengths {
 public:
  LcsLengths(const Lines& aFirst, const Lines& aSecond)
      : mWidth(aSecond.size() + 1), mLengths((aFirst.size() + 1) * mWidth) {
    for (size_t i = aFirst.size(); i-- > 0;) {
      for (size_t j = aSecond.size(); j-- > 0;) {
        mLengths[i * mWidth + j] = aFirst[i] == aSecond[j]
                                       ? At(i + 1, j + 1) + 1
                                       : std::max(At(i + 1, j), At(i, j + 1));
      }
    }
  }
  uint32_t At(size_t aI, size_t aJ) const { return mLengths[aI * mWidth + aJ]; }

 private:
  size_t mWidth;
  std::vector<uint32_t> mLengths;
};

void AddLine(std::string& aText, const char* aMark, std::string_view aLine) {
  aText += aMark;
  aText += aLine;
  aText += "\n";
}

}  // namespace

std::string DiffLines(std::string_view aFirst, std::string_view aSecond) {
  if (aFirst == aSecond) {
    return "";
  }
  const Lines first = Split(aFirst);
  const Lines second = Split(aSecond);
  const LcsLengths lengths(first, second);
  std::string text;
  size_t i = 0;
  size_t j = 0;
  while (i < first.size() || j < second.size()) {
    const bool more = i < first.size() && j < second.size();
    if (more && first[i] == second[j]) {
      AddLine(text, "  ", first[i++]);
      ++j;
    } else if (j == second.size() ||
               (more && lengths.At(i + 1, j) >= lengths.At(i, j + 1))) {
      AddLine(text, "- ", first[i++]);
    } else {
      AddLine(text, "+ ", second[j++]);
    }
  }
  return text;
}

}  // namespace rillwall
