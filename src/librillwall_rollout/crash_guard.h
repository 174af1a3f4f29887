/// \file
/// Checks requests against the crash records (CrashTable), and adds records
/// with their log lines and counters.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/node_context.h"

namespace rillwall {

/// \param aOwed see CrashRecord::mOwed; only an operator holds such a request
/// \return an error that refuses the request if it is held, with the remaining
/// time as Retry-After and RunState::NotRun; else nothing
std::optional<Error> ErrorIfHeld(const NodeContext& aNode,
                                 const RequestDigest& aRequest, bool aOwed);

/// A run of a request that its replica cut off by closing the connection.
struct CutRun {
  RequestDigest mRequest;
  Replica mReplica;
  std::string mId;           ///< identity of the attempt, for the log
  std::string mDescription;  ///< as DescribeRequest() gives it
  Millis mSentAt;            ///< when the request was sent
  int64_t mOrder = 1;        ///< see CrashRecord::mOrder
  /// Whether the replica certainly ran when the request was sent; see
  /// HttpCallTrace::Reached().
  bool mReached = true;
  /// The run had got too far for the request to be the cause.
  bool mSurvived = false;
  int64_t mEvents = 0;  ///< see CrashRecord::mEvents
  bool mOwed = false;   ///< see CrashRecord::mOwed
};

/// Checks whether the replica's process has ended, and if so records the crash,
/// unless the request had survived.
/// \return whether the replica has ended
asio::awaitable<bool> RecordCrashIfEnded(NodeContext& aNode, CutRun aRun);

/// Adds a crash record of this host, with its log line and counter.
/// \param aId identity of the attempt, for the log
void RecordCrash(NodeContext& aNode, const CrashRecord& aRecord,
                 std::string_view aId);
/// \return how long an owed request must wait for its next run, because
/// replicas have crashed under it
Millis OwedWait(NodeContext& aNode, const RequestDigest& aRequest);
/// Records that a run of an owed request begins.
void OwedRunStarted(NodeContext& aNode, const RequestDigest& aRequest);
/// \return whether a request should be sent over a new connection, because
/// replicas have crashed while they ran it
bool NeedsNewConnection(const NodeContext& aNode,
                        const RequestDigest& aRequest);
/// \return method, host and path of a request, for operators
std::string DescribeRequest(const RequestParts& aParts);

/// Clears a request's crash records, as a replica has answered it and survived
/// it.
void ClearRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId);
/// Marks a request's records of crashes before an event as passed, as a replica
/// has delivered that event.
/// \param aEvents number of the event
void PassEvent(NodeContext& aNode, const RequestDigest& aRequest,
               std::string_view aId, int64_t aEvents);

/// Merges records that another host sent or that the store holds, and logs the
/// new ones.
/// \param aFrom source of the records, for the log
void MergeCrashRecords(NodeContext& aNode,
                       const std::vector<CrashRecord>& aRecords,
                       std::string_view aFrom);

}  // namespace rillwall
