/// \file
/// The lines in which two texts differ.

#pragma once

#include <string>
#include <string_view>

namespace rillwall {

/// \return the lines of both texts, those only in the first marked "- ", those
/// only in the second "+ ", common ones "  "; empty if the texts are equal
std::string DiffLines(std::string_view aFirst, std::string_view aSecond);

}  // namespace rillwall
