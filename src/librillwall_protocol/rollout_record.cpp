#include "rillwall/rollout_record.h"

#include <cstdio>

#include "rillwall/json.h"

namespace rillwall {

namespace {

/// A page holds at most what one value of the store holds, in JSON.
constexpr JsonLimits kPageLimits{16 * 1024 * 1024, 8};

std::string Padded(int64_t aNumber, int aDigits) {
  std::string digits = std::to_string(aNumber);
  const size_t width = static_cast<size_t>(aDigits);
  if (digits.size() < width) {
    digits.insert(0, width - digits.size(), '0');
  }
  return digits;
}

json::object ToJson(const RolloutResult& aResult) {
  json::object object;
  object["item"] = aResult.mItem;
  object["whole"] = aResult.mEnd == RolloutEnd::Completed;
  object["output"] = aResult.mOutput;
  object["versions"] = json::value_from(aResult.mVersions);
  object["score"] = aResult.mScore;
  return object;
}

std::vector<int64_t> VersionsFrom(const json::object& aObject) {
  std::vector<int64_t> versions;
  const json::value* field = aObject.if_contains("versions");
  if (field != nullptr && field->is_array()) {
    for (const json::value& version : field->get_array()) {
      versions.push_back(version.to_number<int64_t>());
    }
  }
  return versions;
}

RolloutResult ResultFrom(JsonReader& aReader, const json::object& aObject) {
  RolloutResult result;
  result.mItem = aReader.String("item");
  result.mEnd =
      aReader.Bool("whole") ? RolloutEnd::Completed : RolloutEnd::Terminated;
  result.mOutput = aReader.String("output", "");
  result.mScore = aReader.String("score", "");
  result.mVersions = VersionsFrom(aObject);
  return result;
}

json::object ToJson(const RolloutPart& aPart) {
  json::object object;
  object["item"] = aPart.mItem;
  object["from"] = aPart.mFrom;
  object["to"] = aPart.mTo;
  object["output"] = aPart.mOutput;
  object["versions"] = json::value_from(aPart.mVersions);
  object["whole"] = aPart.mWhole;
  object["score"] = aPart.mScore;
  return object;
}

}  // namespace

std::string EncodeStepRecord(const StepRecord& aRecord) {
  json::object object;
  object["owner"] = aRecord.mOwner;
  object["address"] = aRecord.mAddress;
  object["run"] = aRecord.mRun;
  object["host"] = aRecord.mHost;
  object["path"] = aRecord.mPath;
  object["accepted_ms"] = aRecord.mAcceptedMs;
  object["total"] = aRecord.mTotal;
  object["ended"] = aRecord.mEnded;
  return json::serialize(object);
}

Result<StepRecord> DecodeStepRecord(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "step record");
  StepRecord record;
  record.mOwner = reader.String("owner");
  record.mAddress = reader.String("address");
  record.mRun = reader.String("run");
  record.mHost = reader.String("host");
  record.mPath = reader.String("path");
  record.mAcceptedMs = reader.Int("accepted_ms");
  record.mTotal = reader.Int("total");
  record.mEnded = reader.Bool("ended");
  if (reader.Failed()) {
    return reader.Failure();
  }
  return record;
}

std::string EncodeResultPage(const ResultPage& aPage) {
  json::array results;
  for (const RolloutResult& result : aPage.mResults) {
    results.push_back(ToJson(result));
  }
  json::object object;
  object["first"] = aPage.mFirst;
  object["total"] = aPage.mTotal;
  object["results"] = std::move(results);
  return json::serialize(object);
}

Result<ResultPage> DecodeResultPage(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kPageLimits);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "result page");
  ResultPage page;
  page.mFirst = reader.Int("first");
  page.mTotal = reader.Int("total");
  const json::array* results = reader.Array("results");
  for (size_t i = 0; results != nullptr && i < results->size(); ++i) {
    const json::object* each = (*results)[i].if_object();
    if (each == nullptr) {
      return Error(ErrorKind::Internal, "A result of a page is no object.");
    }
    JsonReader inner(*each, "result");
    page.mResults.push_back(ResultFrom(inner, *each));
    if (inner.Failed()) {
      return inner.Failure();
    }
  }
  if (reader.Failed()) {
    return reader.Failure();
  }
  return page;
}

std::string EncodeParts(const std::vector<RolloutPart>& aParts) {
  json::array parts;
  for (const RolloutPart& part : aParts) {
    parts.push_back(ToJson(part));
  }
  json::object object;
  object["parts"] = std::move(parts);
  return json::serialize(object);
}

Result<std::vector<RolloutPart>> DecodeParts(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kPageLimits);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "text parts");
  std::vector<RolloutPart> parts;
  const json::array* rows = reader.Array("parts");
  for (size_t i = 0; rows != nullptr && i < rows->size(); ++i) {
    const json::object* each = (*rows)[i].if_object();
    if (each == nullptr) {
      return Error(ErrorKind::Internal, "A part of a text is no object.");
    }
    JsonReader inner(*each, "part");
    RolloutPart part;
    part.mItem = inner.String("item");
    part.mFrom = inner.Int("from");
    part.mTo = inner.Int("to");
    part.mOutput = inner.String("output");
    part.mWhole = inner.Bool("whole");
    part.mScore = inner.String("score", "");
    part.mVersions = VersionsFrom(*each);
    if (inner.Failed()) {
      return inner.Failure();
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

std::string StepKey(std::string_view aId) {
  return "rillwall/step/" + std::string(aId);
}

std::string BodyPrefix(std::string_view aId) {
  return "rillwall/body/" + std::string(aId) + "/";
}

std::string BodyKey(std::string_view aId, size_t aPart) {
  constexpr int kDigits = 3;
  return BodyPrefix(aId) + Padded(static_cast<int64_t>(aPart), kDigits);
}

std::string PagePrefix(std::string_view aId) {
  return "rillwall/page/" + std::string(aId) + "/";
}

std::string PageKey(std::string_view aId, int64_t aFirst) {
  constexpr int kDigits = 8;
  return PagePrefix(aId) + Padded(aFirst, kDigits);
}

std::string TakenKey(std::string_view aRun) {
  return "rillwall/taken/" + std::string(aRun);
}

std::string PartPrefix(std::string_view aId) {
  return "rillwall/part/" + std::string(aId) + "/";
}

std::string PartKey(std::string_view aId, int64_t aNumber) {
  constexpr int kDigits = 8;
  return PartPrefix(aId) + Padded(aNumber, kDigits);
}

}  // namespace rillwall
