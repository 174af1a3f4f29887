#include "rillwall/compression.h"

#include <zstd.h>

#include <memory>

namespace rillwall {

namespace {

/// The fastest zstd level that still applies entropy coding.
constexpr int kCompressionLevel = 1;
/// Below this size, compression costs more than it saves.
constexpr size_t kMinCompressBytes = 512;
/// Magic number at the start of each zstd frame (RFC 8878, 3.1.1).
constexpr std::string_view kFrameMagic("\x28\xb5\x2f\xfd", 4);

struct CompressorDeleter {
  void operator()(ZSTD_CCtx* aCompressor) const { ZSTD_freeCCtx(aCompressor); }
};

struct DecompressorDeleter {
  void operator()(ZSTD_DCtx* aDecompressor) const {
    ZSTD_freeDCtx(aDecompressor);
  }
};

/// \return the compression context of this thread. Its tables take a few
/// hundred KB, and creating them costs as much as compressing a page, so each
/// thread reuses its context.
ZSTD_CCtx* Compressor() {
  thread_local std::unique_ptr<ZSTD_CCtx, CompressorDeleter> sCompressor(
      ZSTD_createCCtx());
  return sCompressor.get();
}

/// \return the decompression context of this thread
ZSTD_DCtx* Decompressor() {
  thread_local std::unique_ptr<ZSTD_DCtx, DecompressorDeleter> sDecompressor(
      ZSTD_createDCtx());
  return sDecompressor.get();
}

}  // namespace

std::string Compress(std::string aText) {
  if (aText.size() < kMinCompressBytes) {
    return aText;
  }
  std::string compressed(ZSTD_compressBound(aText.size()), '\0');
  const size_t size =
      ZSTD_compressCCtx(Compressor(), compressed.data(), compressed.size(),
                        aText.data(), aText.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0 || size >= aText.size()) {
    return aText;
  }
  compressed.resize(size);
  return compressed;
}

Result<std::string> Decompress(std::string_view aText, size_t aMaxBytes) {
  if (!aText.starts_with(kFrameMagic)) {
    return std::string(aText);
  }
  const unsigned long long size =
      ZSTD_getFrameContentSize(aText.data(), aText.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Error(ErrorKind::BadRequest, "The compressed text is corrupt.");
  }
  if (size > aMaxBytes) {
    return Error(ErrorKind::TooLarge, "The compressed text is too large.");
  }
  std::string text(size, '\0');
  const size_t written = ZSTD_decompressDCtx(
      Decompressor(), text.data(), text.size(), aText.data(), aText.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return Error(ErrorKind::BadRequest, "The compressed text is corrupt.");
  }
  return text;
}

}  // namespace rillwall
