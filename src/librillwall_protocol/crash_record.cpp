#include "rillwall/crash_record.h"

namespace rillwall {

const char* NameOf(CrashStanding aStanding) {
  switch (aStanding) {
    case CrashStanding::Unproven:
      return "unproven";
    case CrashStanding::Suspect:
      return "suspect";
    case CrashStanding::Passed:
      return "passed";
    case CrashStanding::Cleared:
      return "cleared";
  }
  return "suspect";
}

json::object ToJson(const CrashRecord& aRecord) {
  json::object object;
  object["request"] = aRecord.mRequest.Text();
  object["replica"] = aRecord.mReplica;
  object["at_ms"] = aRecord.mAtMs;
  // Hosts of older builds know no other standing than these two.
  object["cleared"] = aRecord.Standing() != CrashStanding::Suspect;
  object["standing"] = NameOf(aRecord.Standing());
  object["what"] = aRecord.mDescription;
  object["events"] = aRecord.mEvents;
  object["sent_ms"] = aRecord.mSentMs;
  object["order"] = aRecord.mOrder;
  object["owed"] = aRecord.mOwed;
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
  const std::string standing = aReader.String("standing", "");
  record.mPassed = standing == NameOf(CrashStanding::Passed);
  record.mReached = standing != NameOf(CrashStanding::Unproven);
  record.mCleared =
      aReader.Bool("cleared") && !record.mPassed && record.mReached;
  record.mDescription = aReader.String("what", "");
  // Hosts of older builds do not send the position and the time.
  record.mEvents = aReader.Int("events", CrashRecord::kAllEvents);
  record.mSentMs = aReader.Int("sent_ms", 0);
  record.mOrder = aReader.Int("order", 1);
  record.mOwed = aReader.Bool("owed", false);
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
