#include "caller_api.h"

#include <functional>

#include "rillwall/sse.h"

namespace rillwall {

namespace {

constexpr Millis kCallDeadline{600000};
constexpr size_t kPrefixLength = 256;
constexpr int64_t kMaxTokens = 1 << 20;
constexpr int64_t kDefaultTokens = 256;
constexpr const char* kHouseHeader = "Rillwall-House";
constexpr const char* kDefaultHouse = "anonymous";

// Joins the messages of a chat into one prompt, one line per message.
std::string ReadMessages(JsonReader& aReader) {
  const json::array* messages = aReader.Array("messages");
  if (messages == nullptr || messages->empty()) {
    aReader.Fail("messages", "must be a non-empty array");
    return {};
  }
  std::string prompt;
  for (const json::value& entry : *messages) {
    if (!entry.is_object()) {
      aReader.Fail("messages", "must contain only objects");
      return {};
    }
    JsonReader message(entry.as_object(), "messages[]");
    prompt += message.String("role") + ": " + message.String("content") + "\n";
    if (message.Failed()) {
      aReader.Fail("messages", "must have a role and a content in each entry");
    }
  }
  return prompt;
}

json::object ChoiceOf(bool aChat, bool aStream, const std::string& aText,
                      const std::string& aFinish) {
  json::object choice;
  choice["index"] = 0;
  if (aChat && aStream) {
    choice["delta"] = json::object{{"content", aText}};
  } else if (aChat) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", aText}};
  } else {
    choice["text"] = aText;
  }
  if (aFinish.empty()) {
    choice["finish_reason"] = nullptr;
  } else {
    choice["finish_reason"] = aFinish;
  }
  return choice;
}

json::object ResponseBase(const std::string& aId, const std::string& aModel,
                          bool aChat, bool aStream) {
  json::object body;
  body["id"] = aId;
  body["model"] = aModel;
  const char* kind = aChat ? "chat.completion" : "text_completion";
  body["object"] = std::string(kind) + (aChat && aStream ? ".chunk" : "");
  return body;
}

std::string EncodeChunk(const std::string& aId, const std::string& aModel,
                        bool aChat, const ModelChunk& aChunk) {
  json::object body = ResponseBase(aId, aModel, aChat, true);
  body["choices"] =
      json::array{ChoiceOf(aChat, true, aChunk.mText, aChunk.mFinish)};
  body["weight_version"] = aChunk.mVersion;
  body["tokens"] = aChunk.mTokens;
  return json::serialize(body);
}

std::string EncodeAnswer(const std::string& aId, const std::string& aModel,
                         bool aChat, const ModelAnswer& aAnswer) {
  json::object body = ResponseBase(aId, aModel, aChat, false);
  body["choices"] =
      json::array{ChoiceOf(aChat, false, aAnswer.mText, aAnswer.mFinish)};
  body["usage"] = json::object{{"completion_tokens", aAnswer.mLabel.Tokens()}};
  json::array& label = body["weight_versions"].emplace_array();
  for (const VersionSpan& span : aAnswer.mLabel.Spans()) {
    label.push_back(json::object{{"version", span.mVersion},
                                 {"begin", span.mBegin},
                                 {"end", span.mEnd}});
  }
  return json::serialize(body);
}

/// State of a streamed response between its chunks.
struct StreamState {
  bool mStarted = false;
  Millis mStart;
};

}  // namespace

CallerApi::CallerApi(Node& aNode, ModelCalls& aCalls)
    : mNode(aNode), mCalls(aCalls) {}

Result<CallerApi::CompletionCall> CallerApi::Parse(
    const HttpRequest& aRequest, bool aChat,
    const std::string& aRequestId) const {
  const auto policies = mNode.Policies().Read();
  const Result<Identity> who = Identify(*policies, aRequest, "caller");
  if (!who) {
    return who.error();
  }
  const Result<json::object> body = ParseJsonObject(aRequest.mBody);
  if (!body) {
    return body.error();
  }
  JsonReader reader(*body);
  const std::string model = reader.String("model");
  const std::string prompt =
      aChat ? ReadMessages(reader) : reader.String("prompt");
  const int64_t tokens =
      ReadInt(reader, "max_tokens", 1, kMaxTokens, kDefaultTokens);
  const int64_t seed = reader.Int("seed", 0);
  const bool stream = reader.Bool("stream", false);
  if (reader.Failed()) {
    return reader.Failure();
  }
  const std::string* house = aRequest.Find(kHouseHeader);
  const std::string stated = house == nullptr ? kDefaultHouse : *house;
  CompletionCall call;
  call.mChat = aChat;
  call.mId = aRequestId;
  call.mStream = stream;
  CallSpec& spec = call.mRequest.mSpec;
  spec.mClass = CallClass::Interactive;
  spec.mTenant = who->mUnauthenticated ? stated : who->mName;
  spec.mModel = model;
  // The hash includes the house. Otherwise a house could find out through hits
  // in the prefix cache what another house requested.
  spec.mPrefixHash = std::hash<std::string>()(spec.mTenant + '\n' +
                                              prompt.substr(0, kPrefixLength));
  spec.mExpectedTokens = tokens;
  spec.mDeadline = mNode.Now() + kCallDeadline;
  EngineCompletion& completion = call.mRequest.mCompletion;
  completion.mModel = model;
  completion.mPrompt = prompt;
  completion.mMaxTokens = tokens;
  completion.mSeed = seed;
  completion.mPriority = 0;
  completion.mRequestId = aRequestId;
  return call;
}

asio::awaitable<void> CallerApi::Handle(const HttpRequest& aRequest,
                                        HttpExchange& aExchange, bool aChat,
                                        std::string aRequestId) {
  mNode.Meter().Add(Counter::RequestsInteractive);
  Result<CompletionCall> call = Parse(aRequest, aChat, aRequestId);
  if (!call) {
    HttpResponse response = ErrorResponse(call.error());
    AddRunHeaders(response, RunState::NotRun, aRequestId);
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (call->mStream) {
    co_await RespondStreamed(std::move(*call), aExchange);
  } else {
    co_await RespondWhole(std::move(*call), aExchange);
  }
}

asio::awaitable<void> CallerApi::RespondWhole(CompletionCall aCall,
                                              HttpExchange& aExchange) {
  const Millis start = mNode.Now();
  const ChunkSink sink =
      [&aExchange](const ModelChunk&) -> asio::awaitable<bool> {
    co_return !aExchange.PeerDisconnected();
  };
  Result<ModelAnswer> answer = co_await mCalls.Run(aCall.mRequest, sink);
  HttpResponse response;
  if (answer) {
    mNode.Meter().Add(Counter::AnswersWhole);
    mNode.Meter().Measure(Timing::FirstToken, answer->mFirstToken - start);
    response = HttpResponse::Json(
        200, EncodeAnswer(aCall.mId, aCall.mRequest.mSpec.mModel, aCall.mChat,
                          *answer));
    AddRunHeaders(response, RunState::Run, aCall.mId);
  } else {
    mNode.Meter().Add(Counter::RequestsRefused);
    response = ErrorResponse(answer.error());
    AddRunHeaders(response, answer.error().Run(), aCall.mId);
  }
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<void> CallerApi::RespondStreamed(CompletionCall aCall,
                                                 HttpExchange& aExchange) {
  StreamState state;
  state.mStart = mNode.Now();
  const std::string model = aCall.mRequest.mSpec.mModel;
  // The response starts with the first chunk, so that a call that no engine
  // accepts still gets an error status.
  const ChunkSink sink =
      [this, &aCall, &aExchange, &state,
       &model](const ModelChunk& aChunk) -> asio::awaitable<bool> {
    if (!state.mStarted) {
      state.mStarted = true;
      mNode.Meter().Measure(Timing::FirstToken, mNode.Now() - state.mStart);
      HttpResponse head;
      head.mHeaders.push_back({"Content-Type", "text/event-stream"});
      head.mHeaders.push_back({"Cache-Control", "no-store"});
      AddRunHeaders(head, RunState::Run, aCall.mId);
      if (co_await aExchange.Begin(std::move(head))) {
        co_return false;
      }
    }
    std::string event =
        SseData(EncodeChunk(aCall.mId, model, aCall.mChat, aChunk));
    const std::error_code failed = co_await aExchange.Write(std::move(event));
    co_return !failed;
  };
  const Result<ModelAnswer> answer = co_await mCalls.Run(aCall.mRequest, sink);
  if (answer && state.mStarted) {
    mNode.Meter().Add(Counter::AnswersWhole);
    co_await aExchange.Write(SseData(kSseDone));
    co_await aExchange.End();
    co_return;
  }
  if (state.mStarted) {
    // Omitting the closing event and the end of the body shows the caller that
    // the answer is incomplete.
    mNode.Meter().Add(Counter::AnswersCut);
    co_await aExchange.Write(SseNamed("error", ErrorJson(answer.error())));
    co_return;
  }
  const Error error =
      answer ? Error(ErrorKind::UpstreamFailed,
                     "The engine returned an empty answer.", RunState::Run)
             : answer.error();
  mNode.Meter().Add(Counter::RequestsRefused);
  HttpResponse response = ErrorResponse(error);
  AddRunHeaders(response, error.Run(), aCall.mId);
  co_await aExchange.Respond(std::move(response));
}

}  // namespace rillwall
