#include "rillwall/crash_record.h"

namespace rillwall {

json::object ToJson(const CrashRecord& aRecord) {
  json::object object;
  object["request"] = aRecord.mRequest.Text();
  object["replica"] = aRecord.mReplica;
  object["at_ms"] = aRecord.mAtMs;
  object["cleared"] = aRecord.mCleared;
  object["what"] = aRecord.mDescription;
  object["events"] = aRecord.mEvents;
  return object;
}

CrashRecord CrashFromJson(JsonReader& aReader) {
  CrashRecord record;
  const std::string digest = aReader.String("request");
  const std::optional<RequestDigest> request = RequestDigest::Parse(digest);
  if (!request) {
    aReader.Fail("request", "is not a request digest");
    return record;
  }
  record.mRequest = *request;
  record.mReplica = aReader.String("replica");
  record.mAtMs = aReader.Int("at_ms");
  record.mCleared = aReader.Bool("cleared");
  record.mDescription = aReader.String("what", "");
  // Hosts of older builds do not send the position.
  record.mEvents = aReader.Int("events", CrashRecord::kAllEvents);
  return record;
}

std::string EncodeCrash(const CrashRecord& aRecord) {
  return json::serialize(ToJson(aRecord));
}

Result<CrashRecord> DecodeCrash(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "crash record");
  CrashRecord record = CrashFromJson(reader);
  if (reader.Failed()) {
    return reader.Failure();
  }
  return record;
}

std::string CrashPrefix() { return "rillwall/crash/"; }

std::string CrashKey(const CrashRecord& aRecord) {
  return CrashPrefix() + aRecord.mRequest.Text() + '/' + aRecord.mReplica;
}

}  // namespace rillwall
