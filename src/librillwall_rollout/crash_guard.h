/// \file
/// What the serving path asks and tells of requests that end replicas
/// (CrashTable), with its log lines and counters.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/node_context.h"

namespace rillwall {

/// \return an error that refuses a request if it is held, with the time to come
/// back; it says that the request was not run
std::optional<Error> RefusalIfHeld(const NodeContext& aNode,
                                   const RequestDigest& aRequest);

/// A replica closed the connection under a request before its answer was whole.
/// Finds out whether it has ended, and holds that against the request.
/// \param aId identity of the attempt, for the log
/// \param aWhat the request as DescribeRequest() gives it
/// \return whether it has ended
asio::awaitable<bool> BlameIfEnded(NodeContext& aNode, RequestDigest aRequest,
                                   Replica aReplica, std::string aId,
                                   std::string aWhat);

/// A replica ended under a request that this host sent there.
/// Its parameters are those of BlameIfEnded().
void BlameRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  const Replica& aReplica, std::string_view aId,
                  std::string aWhat);
/// \return method, host and path, for operators
std::string DescribeRequest(const RequestParts& aParts);

/// A replica has answered a request, and so has lived through it.
void ClearRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId);

/// Takes in records that another host told or the store holds, and logs what
/// is new.
/// \param aFrom whom they are from, for the log
void TakeCrashNews(NodeContext& aNode, const std::vector<CrashRecord>& aRecords,
                   std::string_view aFrom);

}  // namespace rillwall
