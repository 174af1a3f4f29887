/// \file
/// The key-value stand-in's JSON, as etcd v3's JSON gateway writes it: keys
/// and values base64, 64-bit numbers as decimal strings, and fields left out
/// that hold zero, false or nothing.

#pragma once

#include "control_serve.h"
#include "kv_store.h"

namespace rillwall::standin {

/// \return base64 with padding
std::string EncodeBase64(std::string_view aBytes);
/// \return the bytes, or BadRequest
Result<std::string> DecodeBase64(std::string_view aText);

/// Reads the body of one operation.
Result<StoreOp> ReadOp(StoreOpKind aKind, const json::object& aBody);
/// Reads the body of a transaction.
Result<StoreTxn> ReadTxn(const json::object& aBody);
/// What a watch asks for.
struct WatchRequest {
  KeyInterval mKeys;
  int64_t mFrom = 0;  ///< first revision wanted; 0: the next one
};
/// Reads the body of a watch.
Result<WatchRequest> ReadWatch(std::string_view aBody);
/// Reads key and range_end.
Result<KeyInterval> ReadInterval(const json::object& aBody);

json::object WriteEntry(const StoredEntry& aEntry);
/// \return the answer's fields for one operation, with the header
json::object WriteOpResult(const StoreOpResult& aResult, int64_t aRevision);
json::object WriteTxnResult(const StoreTxnResult& aResult, int64_t aRevision);
json::object WriteHeader(int64_t aRevision);
/// \return the first line of a watch's stream, with its newline
std::string WriteWatchCreated(int64_t aRevision);
/// \return the last line of a watch that asks for forgotten revisions
std::string WriteWatchCompacted(int64_t aRevision, int64_t aCompactRevision);
/// \return one line of a watch's stream, with its newline
std::string WriteEvents(const std::vector<StoreEvent>& aEvents,
                        int64_t aRevision);

}  // namespace rillwall::standin
