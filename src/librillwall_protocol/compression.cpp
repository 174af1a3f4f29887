#include "rillwall/compression.h"

#include <zstd.h>

#include <memory>

namespace rillwall {

namespace {

/// The fastest level that still codes letters by how frequent they are.
constexpr int kLevel = 1;
/// Shorter texts gain less than the packing costs.
constexpr size_t kLeast = 512;
/// First bytes of each frame (RFC 8878, 3.1.1).
constexpr std::string_view kMark("\x28\xb5\x2f\xfd", 4);

struct FreePacker {
  void operator()(ZSTD_CCtx* aPacker) const { ZSTD_freeCCtx(aPacker); }
};

struct FreeUnpacker {
  void operator()(ZSTD_DCtx* aUnpacker) const { ZSTD_freeDCtx(aUnpacker); }
};

/// The tables of a packer take some hundred KB: each thread keeps its own, as
/// to make them anew costs as much as a page.
ZSTD_CCtx* Packer() {
  thread_local std::unique_ptr<ZSTD_CCtx, FreePacker> sPacker(
      ZSTD_createCCtx());
  return sPacker.get();
}

ZSTD_DCtx* Unpacker() {
  thread_local std::unique_ptr<ZSTD_DCtx, FreeUnpacker> sUnpacker(
      ZSTD_createDCtx());
  return sUnpacker.get();
}

}  // namespace

std::string Compress(std::string aText) {
  if (aText.size() < kLeast) {
    return aText;
  }
  std::string packed(ZSTD_compressBound(aText.size()), '\0');
  const size_t size = ZSTD_compressCCtx(Packer(), packed.data(), packed.size(),
                                        aText.data(), aText.size(), kLevel);
  if (ZSTD_isError(size) != 0 || size >= aText.size()) {
    return aText;
  }
  packed.resize(size);
  return packed;
}

Result<std::string> Decompress(std::string_view aText, size_t aMaxBytes) {
  if (!aText.starts_with(kMark)) {
    return std::string(aText);
  }
  const unsigned long long size =
      ZSTD_getFrameContentSize(aText.data(), aText.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Error(ErrorKind::BadRequest, "The packed text is broken.");
  }
  if (size > aMaxBytes) {
    return Error(ErrorKind::TooLarge, "The packed text is too large.");
  }
  std::string text(size, '\0');
  const size_t got = ZSTD_decompressDCtx(Unpacker(), text.data(), text.size(),
                                         aText.data(), aText.size());
  if (ZSTD_isError(got) != 0 || got != size) {
    return Error(ErrorKind::BadRequest, "The packed text is broken.");
  }
  return text;
}

}  // namespace rillwall
