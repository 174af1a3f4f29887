/// \file
/// Texts between hosts made smaller, as bytes between availability zones are
/// paid for.
///
/// A configuration of a thousand routes shrinks to a tenth, and is packed once
/// for all hosts. Generated text shrinks to three fifths at a tenth of a core
/// for 4 MB a second, which the host that owns the steps does not have to
/// spare.
///
/// A packed text begins with a mark that no JSON text has, so that readers take
/// both forms.

#pragma once

#include <string>
#include <string_view>

#include "rillwall/error.h"

namespace rillwall {

/// \return the text packed; as it is if it is short
std::string Compress(std::string aText);
/// \param aText packed, or as it is
/// \param aMaxBytes of the text
/// \return the text, or BadRequest or TooLarge
Result<std::string> Decompress(std::string_view aText, size_t aMaxBytes);

}  // namespace rillwall
