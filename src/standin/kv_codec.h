/// \file
/// JSON encoding of the key-value stand-in, as in the JSON gateway of etcd v3:
/// keys and values are base64, 64-bit numbers are decimal strings, and fields
/// with zero, false or empty values are omitted.

#pragma once

#include "control_serve.h"
#include "kv_store.h"

namespace rillwall::standin {

/// \return base64 with padding
std::string EncodeBase64(std::string_view aBytes);
/// \return the bytes, or BadRequest
Result<std::string> DecodeBase64(std::string_view aText);

/// Parses the body of one operation.
/// \return the operation, or BadRequest
Result<StoreOp> ReadOp(StoreOpKind aKind, const json::object& aBody);
/// Parses the body of a transaction.
/// \return the transaction, or BadRequest
Result<StoreTxn> ReadTxn(const json::object& aBody);
/// Keys and start of a watch.
struct WatchRequest {
  KeyInterval mKeys;
  int64_t mFrom = 0;  ///< first revision to send; 0: the next one
};
/// Parses the body of a watch.
/// \return the request, or BadRequest
Result<WatchRequest> ReadWatch(std::string_view aBody);
/// Parses key and range_end.
/// \return the interval, or BadRequest
Result<KeyInterval> ReadInterval(const json::object& aBody);

/// \return an entry as etcd's KeyValue
json::object WriteEntry(const StoredEntry& aEntry);
/// \return the response to one operation, including the header
json::object WriteOpResult(const StoreOpResult& aResult, int64_t aRevision);
/// \return the response to a transaction, including the header
json::object WriteTxnResult(const StoreTxnResult& aResult, int64_t aRevision);
/// \return the header with the revision of the store
json::object WriteHeader(int64_t aRevision);
/// \return the first line of a watch stream, with its newline
std::string WriteWatchCreated(int64_t aRevision);
/// \return the last line of a watch whose start revision is compacted, with its
/// newline
std::string WriteWatchCompacted(int64_t aRevision, int64_t aCompactRevision);
/// \return a line of a watch stream with these events, with its newline
std::string WriteEvents(const std::vector<StoreEvent>& aEvents,
                        int64_t aRevision);

}  // namespace rillwall::standin
