/// \file
/// Compression of texts sent between hosts, because traffic between
/// availability zones is billed by the byte.
///
/// A configuration of a thousand routes shrinks to a tenth of its size and is
/// compressed once for all hosts. Generated text is not worth it: it shrinks
/// only to three fifths and costs a tenth of a core for 4 MB a second, which
/// the host that owns the steps cannot spare.
///
/// A compressed text begins with the zstd magic number, which no JSON text
/// begins with, so readers accept compressed and plain texts alike.

#pragma once

#include <string>
#include <string_view>

#include "rillwall/error.h"

namespace rillwall {

/// Compresses a text with zstd.
/// \return the compressed text; the unchanged text if it is shorter than 512
/// bytes or would not shrink
std::string Compress(std::string aText);
/// Restores a text that Compress() returned.
/// \param aText compressed or plain text
/// \param aMaxBytes largest size of the decompressed text; plain text is not
/// checked
/// \return the text; BadRequest if the compressed text is corrupt, TooLarge if
/// it exceeds aMaxBytes
Result<std::string> Decompress(std::string_view aText, size_t aMaxBytes);

}  // namespace rillwall
