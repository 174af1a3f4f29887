#include "rillwall/suspects.h"

#include <algorithm>

#include "crash_guard.h"
#include "rillwall/json.h"
#include "rillwall/relay.h"

namespace rillwall {

namespace {

constexpr int kOk = 200;

json::object ToJson(const NodeContext& aNode, const Suspect& aSuspect) {
  json::array replicas;
  int64_t last = 0;
  for (const CrashRecord& record : aSuspect.mRecords) {
    replicas.emplace_back(record.mReplica);
    last = std::max(last, record.mAtMs);
  }
  const int64_t now = aNode.mTimeOfDay();
  const Millis left =
      std::max(aNode.mCrashes.HeldFor(aSuspect.mRequest, now),
               aNode.mCrashes.HeldByOperatorFor(aSuspect.mRequest, now));
  json::object row;
  row["request"] = aSuspect.mRequest.Text();
  row["what"] = aSuspect.mRecords.front().mDescription;
  row["crashes"] = aSuspect.mRecords.size();
  row["held"] = aSuspect.mHeld;
  row["owed"] = aSuspect.mRecords.front().mOwed;
  row["held_for_ms"] = left.Count();
  row["last_ms"] = last;
  row["replicas"] = std::move(replicas);
  return row;
}

HttpResponse List(const NodeContext& aNode) {
  json::array rows;
  for (const Suspect& suspect : aNode.mCrashes.Suspects()) {
    rows.emplace_back(ToJson(aNode, suspect));
  }
  json::object text;
  text["suspects"] = std::move(rows);
  return HttpResponse::Json(kOk, json::serialize(text));
}

void Hold(NodeContext& aNode, const RequestDigest& aRequest) {
  // The time makes the names new: records from an earlier hold may still exist
  // and have been cleared.
  const int64_t now = aNode.mTimeOfDay();
  for (size_t i = 0; i < CrashTable::kCrashesToHold; ++i) {
    CrashRecord record;
    record.mRequest = aRequest;
    record.mReplica = CrashRecord::kOperatorPrefix + std::to_string(i) + '@' +
                      std::to_string(now);
    record.mAtMs = now;
    record.mDescription = "held by an operator";
    record.mEvents = CrashRecord::kAllEvents;
    RecordCrash(aNode, record, {});
  }
}

}  // namespace

HttpResponse HandleSuspectsRequest(NodeContext& aNode,
                                   const HttpRequest& aRequest) {
  if (aRequest.mMethod == "GET") {
    return List(aNode);
  }
  const std::optional<RequestDigest> request =
      RequestDigest::Parse(aRequest.Query("request"));
  if (!request) {
    return ErrorAnswer(
        Error(ErrorKind::BadRequest,
              "The parameter 'request' is not 32 hexadecimal digits; take "
              "them from `rillwall suspects` or from a log line."));
  }
  const std::string action = aRequest.Query("action");
  if (action == "hold") {
    Hold(aNode, *request);
    return List(aNode);
  }
  if (action != "clear") {
    return ErrorAnswer(
        Error(ErrorKind::BadRequest,
              "The parameter 'action' is neither 'clear' nor 'hold'."));
  }
  if (!aNode.mCrashes.Knows(*request)) {
    return ErrorAnswer(Error(ErrorKind::NotFound,
                             "No replica is known to have ended under this "
                             "request since it was cleared."));
  }
  ClearRequest(aNode, *request, {});
  return List(aNode);
}

}  // namespace rillwall
