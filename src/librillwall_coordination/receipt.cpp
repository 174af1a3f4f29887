/// \file
/// The receipt's text: base64url of
///
///     form (1 byte) | binding (8) | body | checksum (4)
///
/// The binding is a digest of trainer, step and number of groups, so that a
/// receipt of another step is told apart. The body is a bitmap, or the lengths
/// of alternating runs (the first is of groups not received) if these are
/// shorter. Each set of groups has exactly one text, and none received is "".

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "base64url.h"
#include "rillwall/step.h"

namespace rillwall {

namespace {

constexpr char kBitmapForm = 'b';
constexpr char kRunsForm = 'r';
constexpr size_t kFormSize = 1;
constexpr size_t kBindingSize = 8;
constexpr size_t kChecksumSize = 4;
constexpr size_t kFixedSize = kFormSize + kBindingSize + kChecksumSize;
constexpr int kBitsPerByte = 8;
constexpr int kVarintBits = 7;
constexpr int kVarintMaxShift = 28;
constexpr unsigned kVarintMore = 0x80;
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
  while (aValue >= kVarintMore) {
    aBytes.push_back(static_cast<char>((aValue & kVarintMask) | kVarintMore));
    aValue >>= kVarintBits;
  }
  aBytes.push_back(static_cast<char>(aValue));
}

std::string Runs(const std::vector<bool>& aHas) {
  std::string bytes;
  bool received = false;
  size_t length = 0;
  for (const bool has : aHas) {
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

std::string Bitmap(const std::vector<bool>& aHas) {
  std::string bytes((aHas.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (size_t group = 0; group < aHas.size(); ++group) {
    if (aHas[group]) {
      bytes[group / kBitsPerByte] |=
          static_cast<char>(1U << (group % kBitsPerByte));
    }
  }
  return bytes;
}

bool ReadBitmap(std::string_view aBody, std::vector<bool>& aHas) {
  if (aBody.size() != (aHas.size() + kBitsPerByte - 1) / kBitsPerByte) {
    return false;
  }
  for (size_t group = 0; group < aHas.size(); ++group) {
    const auto byte = static_cast<unsigned char>(aBody[group / kBitsPerByte]);
    aHas[group] = ((byte >> (group % kBitsPerByte)) & 1U) != 0;
  }
  return true;
}

/// Reads one run's length and moves aAt behind it.
bool ReadVarint(std::string_view aBody, size_t& aAt, size_t& aValue) {
  aValue = 0;
  for (int shift = 0; shift <= kVarintMaxShift; shift += kVarintBits) {
    if (aAt >= aBody.size()) {
      return false;
    }
    const auto byte = static_cast<unsigned char>(aBody[aAt++]);
    aValue |= static_cast<size_t>(byte & kVarintMask) << shift;
    if ((byte & kVarintMore) == 0) {
      return true;
    }
  }
  return false;
}

bool ReadRuns(std::string_view aBody, std::vector<bool>& aHas) {
  size_t at = 0;
  size_t group = 0;
  bool received = false;
  while (at < aBody.size()) {
    size_t length = 0;
    if (!ReadVarint(aBody, at, length) || length > aHas.size() - group) {
      return false;
    }
    std::fill_n(aHas.begin() + static_cast<std::ptrdiff_t>(group), length,
                received);
    group += length;
    received = !received;
  }
  return group == aHas.size();
}

Error Refusal(const StepId& aId, const char* aCause) {
  return Error(ErrorKind::BadRequest,
               "The receipt for " + aId.Duty() + " " + aCause +
                   "; send the last receipt taken in for this step, or \"\" "
                   "if none was.");
}

}  // namespace

Receipt::Receipt(StepId aId, size_t aGroups)
    : mId(std::move(aId)), mHas(aGroups, false) {}

Result<Receipt> Receipt::Parse(std::string_view aText, const StepId& aId,
                               size_t aGroups) {
  Receipt receipt(aId, aGroups);
  if (aText.empty()) {
    return receipt;
  }
  const std::optional<std::string> decoded = DecodeBase64Url(aText);
  if (!decoded || decoded->size() < kFixedSize) {
    return Refusal(aId, "is malformed");
  }
  const std::string_view bytes = *decoded;
  const std::string_view content =
      bytes.substr(0, bytes.size() - kChecksumSize);
  if (bytes.substr(content.size()) != Checksum(content)) {
    return Refusal(aId, "is damaged");
  }
  if (content.substr(kFormSize, kBindingSize) != Binding(aId, aGroups)) {
    return Refusal(aId, "belongs to another step or number of groups");
  }
  const std::string_view body = content.substr(kFormSize + kBindingSize);
  const bool read = content[0] == kBitmapForm ? ReadBitmap(body, receipt.mHas)
                                              : ReadRuns(body, receipt.mHas);
  if (!read || receipt.Text() != aText) {
    return Refusal(aId, "is malformed");
  }
  return receipt;
}

std::string Receipt::Text() const {
  if (Count() == 0) {
    return "";
  }
  const std::string runs = Runs(mHas);
  const std::string bitmap = Bitmap(mHas);
  const bool shortRuns = runs.size() < bitmap.size();
  std::string content(1, shortRuns ? kRunsForm : kBitmapForm);
  content += Binding(mId, mHas.size());
  content += shortRuns ? runs : bitmap;
  return EncodeBase64Url(content + Checksum(content));
}

bool Receipt::Has(size_t aGroup) const {
  return aGroup < mHas.size() && mHas[aGroup];
}

void Receipt::Add(size_t aGroup) {
  if (aGroup < mHas.size()) {
    mHas[aGroup] = true;
  }
}

size_t Receipt::Count() const {
  return static_cast<size_t>(std::count(mHas.begin(), mHas.end(), true));
}

}  // namespace rillwall
