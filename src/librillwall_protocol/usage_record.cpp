#include "rillwall/usage_record.h"

#include "json_array.h"

namespace rillwall {

namespace {

json::object ToJson(const AccountCounts& aCounts) {
  json::object object;
  for (const auto& [account, count] : aCounts) {
    object[account] = count;
  }
  return object;
}

AccountCounts CountsFrom(JsonReader& aReader) {
  AccountCounts counts;
  const json::object* rows = aReader.Object("counts");
  if (rows == nullptr) {
    aReader.Fail("counts", "is missing");
    return counts;
  }
  JsonReader fields(*rows, "counts");
  for (const auto& row : *rows) {
    counts[std::string(row.key())] = fields.Int(row.key());
  }
  if (fields.Failed()) {
    aReader.Fail("counts", "must map accounts to numbers");
  }
  return counts;
}

UsageReport ReportFrom(JsonReader& aReader) {
  return {aReader.Int("window"), CountsFrom(aReader)};
}

json::object ToJson(int64_t aWindow, const AccountCounts& aCounts) {
  json::object object;
  object["window"] = aWindow;
  object["counts"] = ToJson(aCounts);
  return object;
}

}  // namespace

std::string EncodeUsageReport(const UsageReport& aReport) {
  return json::serialize(ToJson(aReport.mWindow, aReport.mCounts));
}

Result<UsageReport> DecodeUsageReport(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "usage report");
  UsageReport report = ReportFrom(reader);
  if (reader.Failed()) {
    return reader.Failure();
  }
  return report;
}

std::string EncodeHostUsage(const HostUsage& aUsage) {
  json::array windows;
  for (const auto& [window, counts] : aUsage.mCounts) {
    windows.push_back(ToJson(window, counts));
  }
  json::object object;
  object["run"] = aUsage.mRun;
  object["windows"] = std::move(windows);
  return json::serialize(object);
}

Result<HostUsage> DecodeHostUsage(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "host usage");
  HostUsage usage;
  usage.mRun = reader.String("run");
  for (UsageReport& each : ReadArray(reader, "windows", ReportFrom)) {
    usage.mCounts[each.mWindow] = std::move(each.mCounts);
  }
  if (reader.Failed()) {
    return reader.Failure();
  }
  return usage;
}

std::string UsagePrefix() { return "rillwall/usage/"; }

std::string UsageKey(int64_t aWindow) {
  return UsagePrefix() + std::to_string(aWindow);
}

}  // namespace rillwall
