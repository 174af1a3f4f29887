#include "kv_codec.h"

#include <openssl/evp.h>

#include <array>

namespace rillwall::standin {

namespace {

constexpr size_t kGroupBytes = 3;
constexpr size_t kGroupChars = 4;

struct OpName {
  StoreOpKind mKind;
  const char* mRequest;
  const char* mResponse;
};

constexpr std::array<OpName, 3> kOpNames = {{
    {StoreOpKind::Range, "request_range", "response_range"},
    {StoreOpKind::Put, "request_put", "response_put"},
    {StoreOpKind::Delete, "request_delete_range", "response_delete_range"},
}};

struct TargetName {
  CompareTarget mTarget;
  const char* mName;
  const char* mField;
};

constexpr std::array<TargetName, 4> kTargetNames = {{
    {CompareTarget::Version, "VERSION", "version"},
    {CompareTarget::Create, "CREATE", "create_revision"},
    {CompareTarget::Mod, "MOD", "mod_revision"},
    {CompareTarget::Value, "VALUE", "value"},
}};

struct ResultName {
  CompareResult mResult;
  const char* mName;
};

constexpr std::array<ResultName, 4> kResultNames = {{
    {CompareResult::Equal, "EQUAL"},
    {CompareResult::Greater, "GREATER"},
    {CompareResult::Less, "LESS"},
    {CompareResult::NotEqual, "NOT_EQUAL"},
}};

Error Invalid(std::string aDetail) {
  return Error(ErrorKind::BadRequest, std::move(aDetail));
}

template <class Row, size_t Count>
const Row* FindName(const std::array<Row, Count>& aRows,
                    std::string_view aName) {
  for (const Row& row : aRows) {
    if (aName == row.mName) {
      return &row;
    }
  }
  return nullptr;
}

void PutNumber(json::object& aObject, std::string_view aName, int64_t aValue) {
  if (aValue != 0) {
    aObject[aName] = std::to_string(aValue);
  }
}

Result<std::string> ReadBytes(const json::object& aBody,
                              std::string_view aName) {
  return DecodeBase64(TextOf(aBody, aName));
}

Result<StoreCompare> ReadCompare(const json::object& aBody) {
  const TargetName* target =
      FindName(kTargetNames, TextOf(aBody, "target", "VERSION"));
  const ResultName* result =
      FindName(kResultNames, TextOf(aBody, "result", "EQUAL"));
  const Result<std::string> key = ReadBytes(aBody, "key");
  if (!target || !result || !key.has_value()) {
    return Invalid("A comparison's target, result or key is not valid.");
  }
  StoreCompare compare;
  compare.mKey = key.value();
  compare.mTarget = target->mTarget;
  compare.mResult = result->mResult;
  if (target->mTarget != CompareTarget::Value) {
    compare.mNumber = NumberOf(aBody, target->mField);
    return compare;
  }
  const Result<std::string> value = ReadBytes(aBody, target->mField);
  if (!value.has_value()) {
    return value.error();
  }
  compare.mValue = value.value();
  return compare;
}

Result<StoreOp> ReadNamedOp(const json::value& aItem) {
  if (aItem.is_object()) {
    for (const OpName& name : kOpNames) {
      const json::value* body = aItem.get_object().if_contains(name.mRequest);
      if (body && body->is_object()) {
        return ReadOp(name.mKind, body->get_object());
      }
    }
  }
  return Invalid(
      "An operation must be a request_range, _put or "
      "_delete_range.");
}

const json::array& ArrayOf(const json::object& aBody, std::string_view aName) {
  static const json::array kNone;
  const json::value* value = aBody.if_contains(aName);
  return value && value->is_array() ? value->get_array() : kNone;
}

Result<std::vector<StoreOp>> ReadOps(const json::array& aItems) {
  std::vector<StoreOp> ops;
  for (const json::value& item : aItems) {
    Result<StoreOp> op = ReadNamedOp(item);
    if (!op.has_value()) {
      return op.error();
    }
    ops.push_back(std::move(op.value()));
  }
  return ops;
}

std::string WriteWatchLine(json::object aResult) {
  json::object line;
  line["result"] = std::move(aResult);
  return json::serialize(line) + "\n";
}

}  // namespace

std::string EncodeBase64(std::string_view aBytes) {
  const size_t groups = (aBytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string text(groups * kGroupChars + 1, '\0');
  const int written =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(aBytes.data()),
                      static_cast<int>(aBytes.size()));
  text.resize(written);
  return text;
}

Result<std::string> DecodeBase64(std::string_view aText) {
  if (aText.size() % kGroupChars != 0) {
    return Invalid("The base64 is not padded.");
  }
  std::string bytes(aText.size() / kGroupChars * kGroupBytes, '\0');
  const int written =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(aText.data()),
                      static_cast<int>(aText.size()));
  if (written < 0) {
    return Invalid("The base64 is not valid.");
  }
  const size_t padding = aText.ends_with("==") ? 2 : aText.ends_with('=');
  bytes.resize(written - padding);
  return bytes;
}

Result<KeyInterval> ReadInterval(const json::object& aBody) {
  const Result<std::string> begin = ReadBytes(aBody, "key");
  const Result<std::string> end = ReadBytes(aBody, "range_end");
  if (!begin.has_value() || !end.has_value()) {
    return Invalid("key and range_end must be base64.");
  }
  return KeyInterval{begin.value(), end.value()};
}

Result<WatchRequest> ReadWatch(std::string_view aBody) {
  const Result<json::object> body = ParseObject(aBody);
  if (!body.has_value()) {
    return body.error();
  }
  const json::value* request = body.value().if_contains("create_request");
  if (!request || !request->is_object()) {
    return Invalid("create_request is missing.");
  }
  const Result<KeyInterval> keys = ReadInterval(request->get_object());
  if (!keys.has_value()) {
    return keys.error();
  }
  return WatchRequest{keys.value(),
                      NumberOf(request->get_object(), "start_revision")};
}

Result<StoreOp> ReadOp(StoreOpKind aKind, const json::object& aBody) {
  Result<KeyInterval> keys = ReadInterval(aBody);
  if (!keys.has_value()) {
    return keys.error();
  }
  const Result<std::string> value = ReadBytes(aBody, "value");
  if (!value.has_value()) {
    return value.error();
  }
  return StoreOp{aKind, keys.value(), value.value(), NumberOf(aBody, "lease")};
}

Result<StoreTxn> ReadTxn(const json::object& aBody) {
  StoreTxn txn;
  for (const json::value& item : ArrayOf(aBody, "compare")) {
    if (!item.is_object()) {
      return Invalid("A comparison must be an object.");
    }
    const Result<StoreCompare> compare = ReadCompare(item.get_object());
    if (!compare.has_value()) {
      return compare.error();
    }
    txn.mCompare.push_back(compare.value());
  }
  const auto success = ReadOps(ArrayOf(aBody, "success"));
  const auto failure = ReadOps(ArrayOf(aBody, "failure"));
  if (!success.has_value() || !failure.has_value()) {
    return success.has_value() ? failure.error() : success.error();
  }
  txn.mSuccess = success.value();
  txn.mFailure = failure.value();
  return txn;
}

json::object WriteEntry(const StoredEntry& aEntry) {
  json::object entry;
  entry["key"] = EncodeBase64(aEntry.mKey);
  PutNumber(entry, "create_revision", aEntry.mCreateRevision);
  PutNumber(entry, "mod_revision", aEntry.mModRevision);
  PutNumber(entry, "version", aEntry.mVersion);
  if (!aEntry.mValue.empty()) {
    entry["value"] = EncodeBase64(aEntry.mValue);
  }
  PutNumber(entry, "lease", aEntry.mLease);
  return entry;
}

json::object WriteHeader(int64_t aRevision) {
  json::object header;
  PutNumber(header, "revision", aRevision);
  return header;
}

json::object WriteOpResult(const StoreOpResult& aResult, int64_t aRevision) {
  json::object result;
  result["header"] = WriteHeader(aRevision);
  json::array entries;
  for (const StoredEntry& entry : aResult.mEntries) {
    entries.push_back(WriteEntry(entry));
  }
  if (!entries.empty()) {
    PutNumber(result, "count", static_cast<int64_t>(entries.size()));
    result["kvs"] = std::move(entries);
  }
  PutNumber(result, "deleted", aResult.mDeleted);
  return result;
}

json::object WriteTxnResult(const StoreTxnResult& aResult, int64_t aRevision) {
  json::object result;
  result["header"] = WriteHeader(aRevision);
  if (aResult.mSucceeded) {
    result["succeeded"] = true;
  }
  json::array responses;
  for (const StoreOpResult& each : aResult.mResults) {
    const size_t index = static_cast<size_t>(each.mKind);
    json::object response;
    response[kOpNames[index].mResponse] = WriteOpResult(each, aRevision);
    responses.push_back(std::move(response));
  }
  if (!responses.empty()) {
    result["responses"] = std::move(responses);
  }
  return result;
}

std::string WriteWatchCreated(int64_t aRevision) {
  json::object result;
  result["header"] = WriteHeader(aRevision);
  result["created"] = true;
  return WriteWatchLine(std::move(result));
}

std::string WriteWatchCompacted(int64_t aRevision, int64_t aCompactRevision) {
  json::object result;
  result["header"] = WriteHeader(aRevision);
  result["canceled"] = true;
  PutNumber(result, "compact_revision", aCompactRevision);
  return WriteWatchLine(std::move(result));
}

std::string WriteEvents(const std::vector<StoreEvent>& aEvents,
                        int64_t aRevision) {
  json::array events;
  for (const StoreEvent& each : aEvents) {
    json::object event;
    if (each.mDeleted) {
      event["type"] = "DELETE";
    }
    event["kv"] = WriteEntry(each.mEntry);
    events.push_back(std::move(event));
  }
  json::object result;
  result["header"] = WriteHeader(aRevision);
  result["events"] = std::move(events);
  return WriteWatchLine(std::move(result));
}

}  // namespace rillwall::standin
