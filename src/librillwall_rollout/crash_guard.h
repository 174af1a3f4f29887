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

/// \return an error that refuses the request if it is held, with the remaining
/// time as Retry-After and RunState::NotRun; else nothing
std::optional<Error> ErrorIfHeld(const NodeContext& aNode,
                                 const RequestDigest& aRequest);

/// Handles a replica that closed the connection under a request before its
/// response was whole: checks whether the replica's process has ended, and if
/// so records the crash.
/// \param aId identity of the attempt, for the log
/// \param aDescription the request as DescribeRequest() gives it
/// \param aEvents see CrashRecord::mEvents
/// \return whether the replica has ended
asio::awaitable<bool> RecordCrashIfEnded(NodeContext& aNode,
                                         RequestDigest aRequest,
                                         Replica aReplica, std::string aId,
                                         std::string aDescription,
                                         int64_t aEvents = 0);

/// Records that a replica ended under a request that this host sent there. The
/// parameters are those of RecordCrashIfEnded().
void RecordCrash(NodeContext& aNode, const RequestDigest& aRequest,
                 const Replica& aReplica, std::string_view aId,
                 std::string aDescription, int64_t aEvents = 0);
/// \return method, host and path of a request, for operators
std::string DescribeRequest(const RequestParts& aParts);

/// Clears a request's crash records, as a replica has answered it and survived
/// it.
void ClearRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId);
/// Clears a request's records of crashes before an event, as a replica has
/// delivered that event.
/// \param aEvents number of the event
void ClearRequestBefore(NodeContext& aNode, const RequestDigest& aRequest,
                        std::string_view aId, int64_t aEvents);

/// Merges records that another host sent or that the store holds, and logs the
/// new ones.
/// \param aFrom source of the records, for the log
void MergeCrashRecords(NodeContext& aNode,
                       const std::vector<CrashRecord>& aRecords,
                       std::string_view aFrom);

}  // namespace rillwall
