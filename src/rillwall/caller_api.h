/// \file
/// The API towards interactive callers: OpenAI-style completions.

#pragma once

#include <string>

#include "api_common.h"
#include "model_calls.h"
#include "node.h"

namespace rillwall {

class CallerApi {
 public:
  CallerApi(Node& aNode, ModelCalls& aCalls);
  /// Answers POST /v1/completions and /v1/chat/completions.
  /// \param aChat whether it is the chat form
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange, bool aChat,
                               std::string aRequestId);

 private:
  /// A completion as the caller asks for it.
  struct Ask {
    ModelRequest mRequest;
    bool mStream = false;
    bool mChat = false;
    std::string mId;
  };
  Result<Ask> Parse(const HttpRequest& aRequest, bool aChat,
                    const std::string& aRequestId) const;
  asio::awaitable<void> Streamed(Ask aAsk, HttpExchange& aExchange);
  asio::awaitable<void> Whole(Ask aAsk, HttpExchange& aExchange);

  Node& mNode;
  ModelCalls& mCalls;
};

}  // namespace rillwall
