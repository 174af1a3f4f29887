#include "crash_guard.h"

#include <algorithm>

#include "replica_end.h"
#include "rillwall/event_log.h"

namespace rillwall {

namespace {

/// Of what a request asked for, in a record: enough to recognize a route.
constexpr size_t kMaxWhat = 120;
/// News told line by line; more of them are told as one line.
constexpr size_t kLinesOfNews = 12;

/// \return the name of one start of a replica: it may keep its id
std::string StartOf(const Replica& aReplica) {
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

}  // namespace

std::optional<Error> RefusalIfHeld(const NodeContext& aNode,
                                   const RequestDigest& aRequest) {
  const Millis left = aNode.mCrashes.HeldFor(aRequest, aNode.mTimeOfDay());
  if (left == Millis(0)) {
    return std::nullopt;
  }
  return Error(ErrorKind::Unavailable,
               "Replicas have ended while they ran this request, one after "
               "another; it is not run again for now (" +
                   aRequest.Text() + ").",
               RunState::NotRun)
      .WithRetryAfter(left);
}

std::string DescribeRequest(const RequestParts& aParts) {
  std::string what(aParts.mMethod);
  what += ' ';
  what += aParts.mHost;
  what += aParts.mTarget;
  what.resize(std::min(what.size(), kMaxWhat));
  return what;
}

void BlameRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  const Replica& aReplica, std::string_view aId,
                  std::string aWhat) {
  const CrashRecord record{aRequest, StartOf(aReplica), aNode.mTimeOfDay(),
                           false, std::move(aWhat)};
  if (aNode.mCrashes.AddCrash(record)) {
    aNode.mMetrics.Count("crash_records_total", "outcome=\"suspected\"");
    LogRecord(aNode, record, aId, "here");
  }
}

asio::awaitable<bool> BlameIfEnded(NodeContext& aNode, RequestDigest aRequest,
                                   Replica aReplica, std::string aId,
                                   std::string aWhat) {
  const bool ended = co_await ReplicaEnded(aNode, aReplica.mAddress);
  if (ended) {
    BlameRequest(aNode, aRequest, aReplica, aId, std::move(aWhat));
  }
  co_return ended;
}

void ClearRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId) {
  const size_t cleared = aNode.mCrashes.Clear(aRequest);
  if (cleared == 0) {
    return;
  }
  aNode.mMetrics.Count("crash_records_total", "outcome=\"cleared\"");
  CrashRecord record;
  record.mRequest = aRequest;
  record.mCleared = true;
  LogRecord(aNode, record, aId, "here");
}

void TakeCrashNews(NodeContext& aNode, const std::vector<CrashRecord>& aRecords,
                   std::string_view aFrom) {
  const std::vector<CrashRecord> news = aNode.mCrashes.Merge(aRecords);
  aNode.mCrashes.Forget(aNode.mTimeOfDay());
  if (news.size() > kLinesOfNews) {
    Event("crash-news")
        .Number("records", static_cast<int64_t>(news.size()))
        .Number("known", static_cast<int64_t>(aNode.mCrashes.Size()))
        .Text("from", aFrom)
        .Write();
    return;
  }
  for (const CrashRecord& record : news) {
    LogRecord(aNode, record, {}, aFrom);
  }
}

}  // namespace rillwall
