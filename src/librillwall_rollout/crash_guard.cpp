#include "crash_guard.h"

#include <algorithm>

#include "replica_end.h"
#include "rillwall/crash_record.h"
#include "rillwall/event_log.h"
#include "rillwall/utf8.h"

namespace rillwall {

namespace {

/// Longest request description in a record: enough to recognize the route.
constexpr size_t kMaxDescriptionBytes = 120;
/// Up to this many new records are logged one by one; more are logged as one
/// line.
constexpr size_t kMaxLoggedRecords = 12;
/// Time for a close to be noticed, beside the round trips that it takes.
constexpr Millis kNoticeTime{2};

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
  const bool cleared = aRecord.Standing() >= CrashStanding::Passed;
  Event(cleared ? "request-cleared" : "request-suspected")
      .Id(aId)
      .Text("request", aRecord.mRequest.Text())
      .Text("replica", aRecord.mReplica)
      .Text("what", aRecord.mDescription)
      .Number("crashes",
              static_cast<int64_t>(crashes.Crashes(aRecord.mRequest)))
      .Flag("held", crashes.Held(aRecord.mRequest))
      .Flag("owed", aRecord.mOwed)
      .Text("standing", NameOf(aRecord.Standing()))
      .Number("ran_ms",
              aRecord.mSentMs == 0 ? 0 : aRecord.mAtMs - aRecord.mSentMs)
      .Text("from", aFrom)
      .Write();
}

/// Counts and logs that the standing of records was raised here.
/// \param aRecords number of these records
void ReportRaised(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId, size_t aRecords, bool aPassed) {
  if (aRecords == 0) {
    return;
  }
  aNode.mMetrics.Count("crash_records_total",
                       aPassed ? "outcome=\"passed\"" : "outcome=\"cleared\"");
  CrashRecord record;
  record.mRequest = aRequest;
  record.mPassed = aPassed;
  record.mCleared = !aPassed;
  LogRecord(aNode, record, aId, "here");
}

}  // namespace

std::optional<Error> ErrorIfHeld(const NodeContext& aNode,
                                 const RequestDigest& aRequest, bool aOwed) {
  const CrashTable& crashes = aNode.mCrashes;
  const int64_t now = aNode.mTimeOfDay();
  const Millis left = aOwed ? crashes.HeldByOperatorFor(aRequest, now)
                            : crashes.HeldFor(aRequest, now);
  if (left == Millis(0)) {
    return std::nullopt;
  }
  if (aOwed) {
    return Error(ErrorKind::Unavailable,
                 "An operator holds this request; clear it to have it run (" +
                     aRequest.Text() + ").",
                 RunState::NotRun)
        .WithRetryAfter(left);
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
  // It is part of the view that all hosts share.
  return ReplaceInvalidUtf8(description);
}

void RecordCrash(NodeContext& aNode, const CrashRecord& aRecord,
                 std::string_view aId) {
  if (aNode.mCrashes.AddCrash(aRecord)) {
    aNode.mMetrics.Count("crash_records_total", "outcome=\"suspected\"");
    LogRecord(aNode, aRecord, aId, "here");
  }
}

asio::awaitable<bool> RecordCrashIfEnded(NodeContext& aNode, CutRun aRun) {
  const Millis closedAt = aNode.Now();
  const ReplicaState state = co_await AskReplica(aNode, aRun.mReplica);
  if (state != ReplicaState::Ended) {
    co_return false;
  }
  if (aRun.mSurvived) {
    co_return true;
  }
  CrashRecord record;
  record.mRequest = aRun.mRequest;
  record.mReplica = ReplicaIncarnation(aRun.mReplica);
  record.mAtMs = aNode.mTimeOfDay();
  record.mDescription = std::move(aRun.mDescription);
  record.mEvents = aRun.mEvents;
  record.mOrder = aRun.mOrder;
  record.mOwed = aRun.mOwed;
  record.mSentMs = record.mAtMs - (aNode.Now() - aRun.mSentAt).Count();
  // The host of a process that has ended closes an open connection within a
  // round trip, which is half of what the question takes. Only a live replica
  // takes longer.
  const Millis twoRoundTrips = aNode.Now() - closedAt;
  record.mReached =
      aRun.mReached || closedAt - aRun.mSentAt > twoRoundTrips + kNoticeTime;
  RecordCrash(aNode, record, aRun.mId);
  co_return true;
}

Millis OwedWait(NodeContext& aNode, const RequestDigest& aRequest) {
  return aNode.mPacer.WaitFor(aRequest, aNode.mCrashes.CrashesMet(aRequest),
                              aNode.Now());
}

void OwedRunStarted(NodeContext& aNode, const RequestDigest& aRequest) {
  aNode.mPacer.Started(aRequest, aNode.mCrashes.CrashesMet(aRequest),
                       aNode.Now());
}

bool NeedsNewConnection(const NodeContext& aNode,
                        const RequestDigest& aRequest) {
  return aNode.mCrashes.CrashesMet(aRequest) > 0;
}

void ClearRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId) {
  ReportRaised(aNode, aRequest, aId, aNode.mCrashes.Clear(aRequest), false);
}

void PassEvent(NodeContext& aNode, const RequestDigest& aRequest,
               std::string_view aId, int64_t aEvents) {
  ReportRaised(aNode, aRequest, aId,
               aNode.mCrashes.PassEvent(aRequest, aEvents), true);
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
