/// \file
/// Texts between hosts, and those in the store, made smaller.
///
/// Generated text, scores and configurations shrink to two fifths or less.
/// Bytes between availability zones are paid for, and most of them are results
/// that readers ask for at hosts in other zones. At this level a host packs
/// some 400 bytes a microsecond, so that a page of a MB takes 2 to 3 ms.
///
/// A packed text begins with a mark that no JSON text has, so that readers take
/// both forms.

#pragma once

#include <string>
#include <string_view>

#include "rillwall/error.h"

namespace rillwall {

/// \return the text packed; as it is if it is short
std::string Compressed(std::string aText);
/// \param aText packed, or as it is
/// \param aMaxBytes of the text
/// \return the text, or BadRequest or TooLarge
Result<std::string> Decompressed(std::string_view aText, size_t aMaxBytes);

}  // namespace rillwall
