#include "rillwall/rollout_record.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>

#include "json_array.h"

namespace rillwall {

namespace {

/// A page is at most as large as one value of the store.
constexpr JsonLimits kPageLimits{16 * 1024 * 1024, 8};

/// \return the number with leading zeros, so that keys sort numerically
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

std::vector<int64_t> VersionsFrom(JsonReader& aReader) {
  std::vector<int64_t> versions;
  const json::array* field = aReader.Array("versions");
  for (size_t i = 0; field != nullptr && i < field->size(); ++i) {
    json::error_code code;
    versions.push_back((*field)[i].to_number<int64_t>(code));
    if (code) {
      aReader.Fail("versions", "must hold integers");
    }
  }
  return versions;
}

RolloutResult ResultFrom(JsonReader& aReader) {
  RolloutResult result;
  result.mItem = aReader.String("item");
  result.mEnd =
      aReader.Bool("whole") ? RolloutEnd::Completed : RolloutEnd::Terminated;
  result.mOutput = aReader.String("output", "");
  result.mScore = aReader.String("score", "");
  result.mVersions = VersionsFrom(aReader);
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

RolloutPart PartFrom(JsonReader& aReader) {
  RolloutPart part;
  part.mItem = aReader.String("item");
  part.mFrom = aReader.Int("from");
  part.mTo = aReader.Int("to");
  part.mOutput = aReader.String("output");
  part.mVersions = VersionsFrom(aReader);
  part.mWhole = aReader.Bool("whole");
  part.mScore = aReader.String("score", "");
  return part;
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
  if (!aRecord.mAccount.empty()) {
    object["account"] = aRecord.mAccount;
  }
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
  record.mAccount = reader.String("account", "");
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
  page.mResults = ReadArray(reader, "results", ResultFrom);
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
  std::vector<RolloutPart> parts = ReadArray(reader, "parts", PartFrom);
  if (reader.Failed()) {
    return reader.Failure();
  }
  return parts;
}

std::string ScopedStepId(const std::string& aId, const std::string& aAccount) {
  if (aAccount.empty()) {
    return aId;
  }
  constexpr size_t kDigits = 16;
  char digits[kDigits + 1];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(
                    XXH64(aAccount.data(), aAccount.size(), 0)));
  // The digits have a fixed length, so that no two pairs of id and account
  // yield the same text.
  return aId + '.' + digits;
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

size_t SubmissionPartBytes(size_t aSubmission) {
  // The store takes values up to 1 MiB. Items of large submissions are read one
  // by one, in any order.
  constexpr size_t kFewParts = 700 * 1000;
  constexpr size_t kManyParts = 64 * 1024;
  return aSubmission > kMaxKeptSubmission ? kManyParts : kFewParts;
}

std::string PagePrefix(std::string_view aId) {
  return "rillwall/page/" + std::string(aId) + "/";
}

std::string PageKey(std::string_view aId, int64_t aFirst) {
  constexpr int kDigits = 8;
  return PagePrefix(aId) + Padded(aFirst, kDigits);
}

std::string TakeoverKey(std::string_view aRun) {
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
