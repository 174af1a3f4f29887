#include "crash_guard.h"

#include <algorithm>

#include "replica_end.h"
#include "rillwall/event_log.h"

namespace rillwall {

namespace {

/// Longest request description in a record: enough to recognize the route.
constexpr size_t kMaxDescriptionBytes = 120;
/// Up to this many new records are logged one by one; more are logged as one
/// line.
constexpr size_t kMaxLoggedRecords = 12;

/// \return an identity of one start of a replica, as a replica may keep its id
/// when it restarts
std::string ReplicaIncarnation(const Replica& aReplica) {
  return aReplica.mStartedAtMs == 0
             ? aReplica.mId
             : aReplica.mId + '@' + std::to_string(aReplica.mStartedAtMs);
}

void LogRecord(const NodeContext& aNode, const CrashRecord& aRecord,
               std::string_view aId, std::string_view aFrom) {
  const CrashTable& crashes = aNode.mCrashes;
  const bool cleared = aRecord.mCleared;
  Event(cleared ? "request-cleared" : "request-suspected")
      .Id(aId)
      .Text("request", aRecord.mRequest.Text())
      .Text("replica", aRecord.mReplica)
      .Text("what", aRecord.mDescription)
      .Number("crashes",
              static_cast<int64_t>(crashes.Crashes(aRecord.mRequest)))
      .Flag("held", crashes.Held(aRecord.mRequest))
      .Text("from", aFrom)
      .Write();
}

/// Counts and logs that records of a request were cleared here.
/// \param aCleared number of these records
void ReportCleared(NodeContext& aNode, const RequestDigest& aRequest,
                   std::string_view aId, size_t aCleared) {
  if (aCleared == 0) {
    return;
  }
  aNode.mMetrics.Count("crash_records_total", "outcome=\"cleared\"");
  CrashRecord record;
  record.mRequest = aRequest;
  record.mCleared = true;
  LogRecord(aNode, record, aId, "here");
}

}  // namespace

std::optional<Error> ErrorIfHeld(const NodeContext& aNode,
                                 const RequestDigest& aRequest) {
  const Millis left = aNode.mCrashes.HeldFor(aRequest, aNode.mTimeOfDay());
  if (left == Millis(0)) {
    return std::nullopt;
  }
  return Error(ErrorKind::Unavailable,
               "Replicas have ended while they ran this request, one after "
               "another, so it is held and not run for now (" +
                   aRequest.Text() + ").",
               RunState::NotRun)
      .WithRetryAfter(left);
}

std::string DescribeRequest(const RequestParts& aParts) {
  std::string description(aParts.mMethod);
  description += ' ';
  description += aParts.mHost;
  description += aParts.mTarget;
  description.resize(std::min(description.size(), kMaxDescriptionBytes));
  return description;
}

void RecordCrash(NodeContext& aNode, const RequestDigest& aRequest,
                 const Replica& aReplica, std::string_view aId,
                 std::string aDescription, int64_t aEvents) {
  const CrashRecord record{
      aRequest, ReplicaIncarnation(aReplica), aNode.mTimeOfDay(),
      false,    std::move(aDescription),      aEvents};
  if (aNode.mCrashes.AddCrash(record)) {
    aNode.mMetrics.Count("crash_records_total", "outcome=\"suspected\"");
    LogRecord(aNode, record, aId, "here");
  }
}

asio::awaitable<bool> RecordCrashIfEnded(NodeContext& aNode,
                                         RequestDigest aRequest,
                                         Replica aReplica, std::string aId,
                                         std::string aDescription,
                                         int64_t aEvents) {
  const bool ended = co_await ReplicaEnded(aNode, aReplica.mAddress);
  if (ended) {
    RecordCrash(aNode, aRequest, aReplica, aId, std::move(aDescription),
                aEvents);
  }
  co_return ended;
}

void ClearRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId) {
  ReportCleared(aNode, aRequest, aId, aNode.mCrashes.Clear(aRequest));
}

void ClearRequestBefore(NodeContext& aNode, const RequestDigest& aRequest,
                        std::string_view aId, int64_t aEvents) {
  ReportCleared(aNode, aRequest, aId,
                aNode.mCrashes.ClearBefore(aRequest, aEvents));
}

void MergeCrashRecords(NodeContext& aNode,
                       const std::vector<CrashRecord>& aRecords,
                       std::string_view aFrom) {
  const std::vector<CrashRecord> added = aNode.mCrashes.Merge(aRecords);
  aNode.mCrashes.Forget(aNode.mTimeOfDay());
  if (added.size() > kMaxLoggedRecords) {
    Event("crash-news")
        .Number("records", static_cast<int64_t>(added.size()))
        .Number("known", static_cast<int64_t>(aNode.mCrashes.Size()))
        .Text("from", aFrom)
        .Write();
    return;
  }
  for (const CrashRecord& record : added) {
    LogRecord(aNode, record, {}, aFrom);
  }
}

}  // namespace rillwall
