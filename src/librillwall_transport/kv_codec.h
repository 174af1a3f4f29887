/// \file
/// Encodes the requests and decodes the responses of etcd v3's JSON gateway.

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
/// \return the end of the range of all keys that start with aPrefix; the end
/// itself is not part of the range
std::string RangeEnd(std::string aPrefix);

/// A write or removal of one key on the condition that its last change has a
/// given revision.
struct SwapRequest {
  std::string mKey;
  int64_t mModRevision = 0;           ///< 0: the key must not exist
  std::optional<std::string> mValue;  ///< nothing: remove the key
  int64_t mLease = 0;                 ///< 0: no lease
};

// The functions *Body() return the JSON body of a request.

std::string RangeBody(const std::string& aKey, bool aPrefix);
std::string PutBody(const std::string& aKey, const std::string& aValue,
                    int64_t aLease);
std::string SwapBody(const SwapRequest& aRequest);
std::string GrantBody(int64_t aSeconds);
std::string WatchBody(const std::string& aPrefix, int64_t aFromRevision);

// The functions Read*() decode a response. They return BadRequest if its JSON
// is not as expected.

Result<KvRange> ReadRange(std::string_view aText);
/// \return the revision of the store, from the header of the response
Result<int64_t> ReadRevision(std::string_view aText);
Result<KvSwap> ReadSwap(std::string_view aText);
/// \return the ID of the lease granted
Result<int64_t> ReadLease(std::string_view aText);
/// Decodes one line of a watch.
/// \return its events, empty if the line only reports progress; Stale if the
/// first revision watched was compacted; KvUnavailable if the service ended the
/// watch for another reason
Result<std::vector<KvEvent>> ReadWatchLine(std::string_view aText);

}  // namespace rillwall::kv
