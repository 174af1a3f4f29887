/// \file
/// Line-by-line comparison of two texts.

#pragma once

#include <string>
#include <string_view>

namespace rillwall {

/// \return the lines of both texts, or an empty text if they are equal. Lines
/// only in the first text begin with "- ", lines only in the second with "+ "
/// and common lines with "  ".
std::string DiffLines(std::string_view aFirst, std::string_view aSecond);

}  // namespace rillwall
