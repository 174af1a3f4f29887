/// \file
/// The texts of etcd v3's JSON calls: requests written, answers read.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rillwall/kv_port.h"

namespace rillwall::kv {

/// Base64 with padding, as etcd writes keys and values.
std::string EncodeBase64(std::string_view aBytes);
/// \return the bytes, or nothing if the text is not base64
std::optional<std::string> DecodeBase64(std::string_view aText);
/// \return the first key after all that start with aPrefix
std::string RangeEnd(std::string aPrefix);

/// A write of one key if its last change is still a given one.
struct SwapRequest {
  std::string mKey;
  int64_t mModRevision = 0;
  std::optional<std::string> mValue;  ///< nothing: remove the key
  int64_t mLease = 0;
};

std::string RangeBody(const std::string& aKey, bool aPrefix);
std::string PutBody(const std::string& aKey, const std::string& aValue,
                    int64_t aLease);
std::string SwapBody(const SwapRequest& aRequest);
std::string GrantBody(int64_t aSeconds);
std::string WatchBody(const std::string& aPrefix, int64_t aFromRevision);

Result<KvRange> ReadRange(std::string_view aText);
/// The store's revision from an answer's header.
Result<int64_t> ReadRevision(std::string_view aText);
Result<KvSwap> ReadSwap(std::string_view aText);
Result<int64_t> ReadLease(std::string_view aText);
/// One line of a watch.
/// \return its events, empty if it only reports progress; Stale if the wanted
/// revision is no longer held
Result<std::vector<KvEvent>> ReadWatchLine(std::string_view aText);

}  // namespace rillwall::kv
