/// \file
/// Tells whose answer a response of a replica is. A faulty replica may send a
/// second response after a complete one, also later, at the point where the
/// next response on the connection is expected. Only the identity that replicas
/// echo tells them apart, so a connection is reused only after a response that
/// is known to be the answer to its request.

#pragma once

#include <string>

#include "rillwall/node_context.h"

namespace rillwall {

/// \return whether a replica says that it has not run the request
bool IsRefusal(const NodeContext& aNode, const HttpResponse& aHead);

/// \param aId identity of the request; empty: it had none
/// \return whether a response is the answer to the request. A refusal may be
/// sent before the identity was read, and then names none.
bool IsAnswerTo(const NodeContext& aNode, const HttpResponse& aHead,
                const std::string& aId);

/// What becomes of a connection after a refusal.
enum class AfterRefusal {
  Keep,  ///< it is reused
  /// It is closed, as the same request is sent to the replica again. If the
  /// refusal were repeated on the connection, it would be taken for the answer
  /// to that one, while the replica runs it.
  Close,
};

/// \param aNode has to outlive the calls that use the predicate
/// \param aId identity of the request; empty: it has none
/// \return a predicate that allows reuse after an answer to the request
HttpClient::ReusePredicate ReuseAfterAnswer(const NodeContext& aNode,
                                            std::string aId,
                                            AfterRefusal aAfterRefusal);

}  // namespace rillwall
