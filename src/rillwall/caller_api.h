/// \file
/// HTTP API for interactive callers: OpenAI-style completions.

#pragma once

#include <string>

#include "api_common.h"
#include "model_calls.h"
#include "node.h"

namespace rillwall {

/// Handles completion requests, streamed (server-sent events) or as one
/// response.
class CallerApi {
 public:
  CallerApi(Node& aNode, ModelCalls& aCalls);
  /// Handles POST /v1/completions and /v1/chat/completions.
  /// \param aChat whether the request is a chat completion
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange, bool aChat,
                               std::string aRequestId);

 private:
  /// A parsed completion request.
  struct CompletionCall {
    ModelRequest mRequest;
    bool mStream = false;
    bool mChat = false;
    std::string mId;
  };
  Result<CompletionCall> Parse(const HttpRequest& aRequest, bool aChat,
                               const std::string& aRequestId) const;
  asio::awaitable<void> RespondStreamed(CompletionCall aCall,
                                        HttpExchange& aExchange);
  asio::awaitable<void> RespondWhole(CompletionCall aCall,
                                     HttpExchange& aExchange);

  Node& mNode;
  ModelCalls& mCalls;
};

}  // namespace rillwall
