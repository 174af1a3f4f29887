#include "kv_codec.h"

#include <openssl/evp.h>

#include "rillwall/json.h"

namespace rillwall::kv {

namespace {

/// Responses contain several values of up to 1 MB each, in base64.
constexpr JsonLimits kLimits{256 * 1024 * 1024, 32};
constexpr size_t kGroupBytes = 3;
constexpr size_t kGroupChars = 4;

unsigned char* Bytes(std::string& aText) {
  return reinterpret_cast<unsigned char*>(aText.data());
}

const unsigned char* Bytes(std::string_view aText) {
  return reinterpret_cast<const unsigned char*>(aText.data());
}

json::object KeyRange(const std::string& aKey, bool aPrefix) {
  json::object range;
  // An empty prefix means all keys, which etcd expresses as the range from "\0"
  // to "\0".
  const std::string from = aPrefix && aKey.empty() ? std::string(1, 0) : aKey;
  range["key"] = EncodeBase64(from);
  if (aPrefix) {
    range["range_end"] = EncodeBase64(RangeEnd(aKey));
  }
  return range;
}

json::object PutObject(const std::string& aKey, const std::string& aValue,
                       int64_t aLease) {
  json::object put;
  put["key"] = EncodeBase64(aKey);
  put["value"] = EncodeBase64(aValue);
  if (aLease != 0) {
    put["lease"] = std::to_string(aLease);
  }
  return put;
}

std::string Base64Field(JsonReader& aReader, std::string_view aName) {
  const std::string text = aReader.String(aName, "");
  const std::optional<std::string> bytes = DecodeBase64(text);
  if (!bytes) {
    aReader.Fail(aName, "has to be base64");
  }
  return bytes.value_or(std::string());
}

Result<KvEntry> ReadEntry(const json::value& aValue) {
  const json::object* object = aValue.if_object();
  if (object == nullptr) {
    return Error(ErrorKind::BadRequest, "An entry has to be an object.");
  }
  JsonReader reader(*object, "kvs[]");
  KvEntry entry;
  entry.mKey = Base64Field(reader, "key");
  entry.mValue = Base64Field(reader, "value");
  entry.mCreateRevision = reader.DecimalInt("create_revision");
  entry.mModRevision = reader.DecimalInt("mod_revision");
  if (reader.Failed()) {
    return reader.Failure();
  }
  return entry;
}

Result<std::vector<KvEntry>> ReadEntries(const json::array* aArray) {
  std::vector<KvEntry> entries;
  if (aArray == nullptr) {
    return entries;
  }
  entries.reserve(aArray->size());
  for (const json::value& item : *aArray) {
    Result<KvEntry> entry = ReadEntry(item);
    if (!entry) {
      return entry.error();
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

int64_t HeaderRevision(JsonReader& aReader) {
  const json::object* header = aReader.Object("header");
  return header != nullptr ? JsonReader(*header).DecimalInt("revision") : 0;
}

/// \return the entries read by the failure branch of a swap
Result<std::vector<KvEntry>> ReadCurrent(const json::array* aResponses) {
  if (aResponses == nullptr || aResponses->empty()) {
    return std::vector<KvEntry>();
  }
  const json::object* first = aResponses->front().if_object();
  if (first == nullptr) {
    return Error(ErrorKind::BadRequest, "A response has to be an object.");
  }
  JsonReader reader(*first, "responses[0]");
  const json::object* range = reader.Object("response_range");
  if (range == nullptr) {
    return std::vector<KvEntry>();
  }
  return ReadEntries(JsonReader(*range).Array("kvs"));
}

Result<KvEvent> ReadEvent(const json::value& aValue) {
  const json::object* object = aValue.if_object();
  if (object == nullptr) {
    return Error(ErrorKind::BadRequest, "An event has to be an object.");
  }
  JsonReader reader(*object, "events[]");
  KvEvent event;
  event.mDeleted = reader.String("type", "PUT") == "DELETE";
  const json::value* entry = object->if_contains("kv");
  if (entry == nullptr) {
    return Error(ErrorKind::BadRequest, "An event has to contain 'kv'.");
  }
  Result<KvEntry> read = ReadEntry(*entry);
  if (!read) {
    return read.error();
  }
  event.mEntry = std::move(*read);
  return event;
}

/// \return the error if the service has ended the watch, else nothing
std::optional<Error> WatchEnd(JsonReader& aReader) {
  if (!aReader.Bool("canceled", false)) {
    return std::nullopt;
  }
  const int64_t compacted = aReader.DecimalInt("compact_revision");
  const std::string reason = aReader.String("cancel_reason", "no reason given");
  if (compacted > 0) {
    return Error(ErrorKind::Stale, "The watch starts before revision " +
                                       std::to_string(compacted) +
                                       ", the oldest one not compacted.");
  }
  return Error(ErrorKind::KvUnavailable,
               "The key-value service ended the watch: " + reason + ".");
}

}  // namespace

std::string EncodeBase64(std::string_view aBytes) {
  const size_t groups = (aBytes.size() + kGroupBytes - 1) / kGroupBytes;
  // EVP_EncodeBlock terminates its output with a zero byte.
  std::string text(groups * kGroupChars + 1, '\0');
  const int size = EVP_EncodeBlock(Bytes(text), Bytes(aBytes),
                                   static_cast<int>(aBytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view aText) {
  if (aText.size() % kGroupChars != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / kGroupChars * kGroupBytes, '\0');
  const int size = EVP_DecodeBlock(Bytes(bytes), Bytes(aText),
                                   static_cast<int>(aText.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes the padding as zero bytes.
  size_t padding = 0;
  while (padding < 2 && aText.ends_with('=')) {
    aText.remove_suffix(1);
    ++padding;
  }
  bytes.resize(static_cast<size_t>(size) - padding);
  return bytes;
}

std::string RangeEnd(std::string aPrefix) {
  while (!aPrefix.empty()) {
    const auto last = static_cast<unsigned char>(aPrefix.back());
    if (last < UINT8_MAX) {
      aPrefix.back() = static_cast<char>(last + 1);
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  return std::string(1, 0);
}

std::string RangeBody(const std::string& aKey, bool aPrefix) {
  return json::serialize(KeyRange(aKey, aPrefix));
}

std::string PutBody(const std::string& aKey, const std::string& aValue,
                    int64_t aLease) {
  return json::serialize(PutObject(aKey, aValue, aLease));
}

std::string SwapBody(const SwapRequest& aRequest) {
  json::object compare;
  compare["key"] = EncodeBase64(aRequest.mKey);
  compare["target"] = "MOD";
  compare["result"] = "EQUAL";
  compare["mod_revision"] = std::to_string(aRequest.mModRevision);
  json::object success;
  if (aRequest.mValue) {
    success["request_put"] =
        PutObject(aRequest.mKey, *aRequest.mValue, aRequest.mLease);
  } else {
    success["request_delete_range"] = KeyRange(aRequest.mKey, false);
  }
  json::object failure;
  failure["request_range"] = KeyRange(aRequest.mKey, false);
  json::object body;
  body["compare"].emplace_array().push_back(std::move(compare));
  body["success"].emplace_array().push_back(std::move(success));
  body["failure"].emplace_array().push_back(std::move(failure));
  return json::serialize(body);
}

std::string GrantBody(int64_t aSeconds) {
  json::object body;
  body["TTL"] = std::to_string(aSeconds);
  return json::serialize(body);
}

std::string WatchBody(const std::string& aPrefix, int64_t aFromRevision) {
  json::object create = KeyRange(aPrefix, true);
  create["start_revision"] = std::to_string(aFromRevision);
  json::object body;
  body["create_request"] = std::move(create);
  return json::serialize(body);
}

Result<KvRange> ReadRange(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kLimits);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object);
  KvRange range;
  range.mRevision = HeaderRevision(reader);
  const json::array* array = reader.Array("kvs");
  if (reader.Failed()) {
    return reader.Failure();
  }
  Result<std::vector<KvEntry>> entries = ReadEntries(array);
  if (!entries) {
    return entries.error();
  }
  range.mEntries = std::move(*entries);
  return range;
}

Result<int64_t> ReadRevision(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kLimits);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object);
  const int64_t revision = HeaderRevision(reader);
  if (reader.Failed()) {
    return reader.Failure();
  }
  return revision;
}

Result<KvSwap> ReadSwap(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kLimits);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object);
  KvSwap swap;
  swap.mRevision = HeaderRevision(reader);
  // The gateway omits fields that are false.
  swap.mApplied = reader.Bool("succeeded", false);
  const json::array* responses = reader.Array("responses");
  if (reader.Failed()) {
    return reader.Failure();
  }
  if (swap.mApplied) {
    return swap;
  }
  Result<std::vector<KvEntry>> current = ReadCurrent(responses);
  if (!current) {
    return current.error();
  }
  swap.mCurrent = std::move(*current);
  return swap;
}

Result<int64_t> ReadLease(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kLimits);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object);
  const int64_t lease = reader.DecimalInt("ID");
  if (lease == 0) {
    reader.Fail("ID", "has to name the lease");
  }
  if (reader.Failed()) {
    return reader.Failure();
  }
  return lease;
}

Result<std::vector<KvEvent>> ReadWatchLine(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kLimits);
  if (!object) {
    return object.error();
  }
  JsonReader line(*object);
  const json::object* result = line.Object("result");
  if (result == nullptr) {
    return Error(ErrorKind::KvUnavailable,
                 "The key-value service failed the watch: " +
                     std::string(aText.substr(0, 200)) + ".");
  }
  JsonReader reader(*result, "result");
  const std::optional<Error> end = WatchEnd(reader);
  if (end) {
    return *end;
  }
  std::vector<KvEvent> events;
  const json::array* array = reader.Array("events");
  if (reader.Failed()) {
    return reader.Failure();
  }
  for (const json::value& item : array ? *array : json::array()) {
    Result<KvEvent> event = ReadEvent(item);
    if (!event) {
      return event.error();
    }
    events.push_back(std::move(*event));
  }
  return events;
}

}  // namespace rillwall::kv
