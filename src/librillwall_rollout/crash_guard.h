/// \file
/// What the serving path asks and tells of requests that end replicas
/// (CrashTable), with its log lines and counters.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rillwall/node_context.h"

namespace rillwall {

/// \return an error that refuses a request if it is held, with the time to come
/// back; it says that the request was not run
std::optional<Error> RefusalIfHeld(const NodeContext& aNode,
                                   const RequestDigest& aRequest);

/// A replica ended under a request that this host sent there.
/// \param aId identity of the attempt, for the log
/// \param aWhat the request as DescribeRequest() gives it
void BlameRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  const Replica& aReplica, std::string_view aId,
                  std::string aWhat);
/// \return method, host and path, for operators
std::string DescribeRequest(const RequestParts& aParts);

/// A replica has answered a request, and so has lived through it.
void ClearRequest(NodeContext& aNode, const RequestDigest& aRequest,
                  std::string_view aId);

}  // namespace rillwall
