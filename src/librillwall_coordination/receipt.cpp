/// \file
/// The text of a receipt: the base64url encoding of
///
///     format (1 byte) | binding (8) | body | checksum (4)
///
/// The binding is a digest of trainer, step and number of groups, which detects
/// a receipt of another step. The body is a bitmap, or run lengths if these are
/// shorter: the lengths of alternating runs of groups, of which the first run
/// is of groups not received. Each set of groups has exactly one text. The text
/// of the empty set is "".

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "base64url.h"
#include "rillwall/step.h"

namespace rillwall {

namespace {

constexpr char kBitmapFormat = 'b';
constexpr char kRunsFormat = 'r';
constexpr size_t kFormatSize = 1;
constexpr size_t kBindingSize = 8;
constexpr size_t kChecksumSize = 4;
constexpr size_t kFixedSize = kFormatSize + kBindingSize + kChecksumSize;
constexpr int kBitsPerByte = 8;
constexpr int kVarintBits = 7;
constexpr int kVarintMaxShift = 28;
constexpr unsigned kVarintContinuation = 0x80;
constexpr unsigned kVarintMask = 0x7f;

std::string FixedBytes(uint64_t aValue, size_t aSize) {
  std::string bytes;
  for (size_t at = 0; at < aSize; ++at) {
    bytes.push_back(static_cast<char>(aValue >> (at * kBitsPerByte)));
  }
  return bytes;
}

std::string Binding(const StepId& aId, size_t aGroups) {
  const std::string text = aId.Duty() + "#" + std::to_string(aGroups);
  return FixedBytes(XXH3_64bits(text.data(), text.size()), kBindingSize);
}

std::string Checksum(std::string_view aBytes) {
  return FixedBytes(XXH3_64bits(aBytes.data(), aBytes.size()), kChecksumSize);
}

void AddVarint(std::string& aBytes, size_t aValue) {
  while (aValue >= kVarintContinuation) {
    aBytes.push_back(
        static_cast<char>((aValue & kVarintMask) | kVarintContinuation));
    aValue >>= kVarintBits;
  }
  aBytes.push_back(static_cast<char>(aValue));
}

std::string EncodeRuns(const std::vector<bool>& aReceived) {
  std::string bytes;
  bool received = false;
  size_t length = 0;
  for (const bool has : aReceived) {
    if (has != received) {
      AddVarint(bytes, length);
      received = has;
      length = 0;
    }
    ++length;
  }
  AddVarint(bytes, length);
  return bytes;
}

std::string EncodeBitmap(const std::vector<bool>& aReceived) {
  std::string bytes((aReceived.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (size_t group = 0; group < aReceived.size(); ++group) {
    if (aReceived[group]) {
      bytes[group / kBitsPerByte] |=
          static_cast<char>(1U << (group % kBitsPerByte));
    }
  }
  return bytes;
}

bool DecodeBitmap(std::string_view aBody, std::vector<bool>& aReceived) {
  if (aBody.size() != (aReceived.size() + kBitsPerByte - 1) / kBitsPerByte) {
    return false;
  }
  for (size_t group = 0; group < aReceived.size(); ++group) {
    const auto byte = static_cast<unsigned char>(aBody[group / kBitsPerByte]);
    aReceived[group] = ((byte >> (group % kBitsPerByte)) & 1U) != 0;
  }
  return true;
}

/// Decodes a variable-length integer at aAt and advances aAt past it.
/// \return whether the integer is complete and not too long
bool ReadVarint(std::string_view aBody, size_t& aAt, size_t& aValue) {
  aValue = 0;
  for (int shift = 0; shift <= kVarintMaxShift; shift += kVarintBits) {
    if (aAt >= aBody.size()) {
      return false;
    }
    const auto byte = static_cast<unsigned char>(aBody[aAt++]);
    aValue |= static_cast<size_t>(byte & kVarintMask) << shift;
    if ((byte & kVarintContinuation) == 0) {
      return true;
    }
  }
  return false;
}

bool DecodeRuns(std::string_view aBody, std::vector<bool>& aReceived) {
  size_t at = 0;
  size_t group = 0;
  bool received = false;
  while (at < aBody.size()) {
    size_t length = 0;
    if (!ReadVarint(aBody, at, length) || length > aReceived.size() - group) {
      return false;
    }
    std::fill_n(aReceived.begin() + static_cast<std::ptrdiff_t>(group), length,
                received);
    group += length;
    received = !received;
  }
  return group == aReceived.size();
}

Error ParseError(const StepId& aId, const char* aReason) {
  return Error(ErrorKind::BadRequest,
               "The receipt for " + aId.Duty() + " " + aReason +
                   "; send the last receipt accepted for this step, or \"\" "
                   "if there is none.");
}

}  // namespace

Receipt::Receipt(StepId aId, size_t aGroups)
    : mId(std::move(aId)), mReceived(aGroups, false) {}

Result<Receipt> Receipt::Parse(std::string_view aText, const StepId& aId,
                               size_t aGroups) {
  Receipt receipt(aId, aGroups);
  if (aText.empty()) {
    return receipt;
  }
  const std::optional<std::string> decoded = DecodeBase64Url(aText);
  if (!decoded || decoded->size() < kFixedSize) {
    return ParseError(aId, "is malformed");
  }
  const std::string_view bytes = *decoded;
  const std::string_view content =
      bytes.substr(0, bytes.size() - kChecksumSize);
  if (bytes.substr(content.size()) != Checksum(content)) {
    return ParseError(aId, "is damaged");
  }
  if (content.substr(kFormatSize, kBindingSize) != Binding(aId, aGroups)) {
    return ParseError(aId, "belongs to another step or number of groups");
  }
  const std::string_view body = content.substr(kFormatSize + kBindingSize);
  const bool read = content[0] == kBitmapFormat
                        ? DecodeBitmap(body, receipt.mReceived)
                        : DecodeRuns(body, receipt.mReceived);
  if (!read || receipt.Text() != aText) {
    return ParseError(aId, "is malformed");
  }
  return receipt;
}

std::string Receipt::Text() const {
  if (Count() == 0) {
    return "";
  }
  const std::string runs = EncodeRuns(mReceived);
  const std::string bitmap = EncodeBitmap(mReceived);
  const bool runsAreShorter = runs.size() < bitmap.size();
  std::string content(1, runsAreShorter ? kRunsFormat : kBitmapFormat);
  content += Binding(mId, mReceived.size());
  content += runsAreShorter ? runs : bitmap;
  return EncodeBase64Url(content + Checksum(content));
}

bool Receipt::Has(size_t aGroup) const {
  return aGroup < mReceived.size() && mReceived[aGroup];
}

void Receipt::Add(size_t aGroup) {
  if (aGroup < mReceived.size()) {
    mReceived[aGroup] = true;
  }
}

size_t Receipt::Count() const {
  return static_cast<size_t>(
      std::count(mReceived.begin(), mReceived.end(), true));
}

}  // namespace rillwall
