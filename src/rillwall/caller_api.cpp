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

// A chat is put to the engine as one prompt, a line a message.
std::string ReadMessages(JsonReader& aReader) {
  const json::array* messages = aReader.Array("messages");
  if (messages == nullptr || messages->empty()) {
    aReader.Fail("messages", "must be an array, not empty");
    return {};
  }
  std::string prompt;
  for (const json::value& entry : *messages) {
    if (!entry.is_object()) {
      aReader.Fail("messages", "must hold objects only");
      return {};
    }
    JsonReader message(entry.as_object(), "messages[]");
    prompt += message.String("role") + ": " + message.String("content") + "\n";
    if (message.Failed()) {
      aReader.Fail("messages", "must hold a role and a content each");
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

json::object Envelope(const std::string& aId, const std::string& aModel,
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
  json::object body = Envelope(aId, aModel, aChat, true);
  body["choices"] =
      json::array{ChoiceOf(aChat, true, aChunk.mText, aChunk.mFinish)};
  body["weight_version"] = aChunk.mVersion;
  body["tokens"] = aChunk.mTokens;
  return json::serialize(body);
}

std::string EncodeAnswer(const std::string& aId, const std::string& aModel,
                         bool aChat, const ModelAnswer& aAnswer) {
  json::object body = Envelope(aId, aModel, aChat, false);
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

/// The streamed answer's state between its chunks.
struct StreamState {
  bool mBegun = false;
  Millis mStart;
};

}  // namespace

CallerApi::CallerApi(Node& aNode, ModelCalls& aCalls)
    : mNode(aNode), mCalls(aCalls) {}

Result<CallerApi::Ask> CallerApi::Parse(const HttpRequest& aRequest, bool aChat,
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
  Ask ask;
  ask.mChat = aChat;
  ask.mId = aRequestId;
  ask.mStream = stream;
  CallSpec& spec = ask.mRequest.mSpec;
  spec.mClass = CallClass::Interactive;
  spec.mTenant = who->mOpen ? stated : who->mName;
  spec.mModel = model;
  // The house goes into the prefix, so that no house can tell from a prefix
  // cache hit what another one asked.
  spec.mPrefixHash = std::hash<std::string>()(spec.mTenant + '\n' +
                                              prompt.substr(0, kPrefixLength));
  spec.mExpectedTokens = tokens;
  spec.mDeadline = mNode.Now() + kCallDeadline;
  EngineCompletion& completion = ask.mRequest.mCompletion;
  completion.mModel = model;
  completion.mPrompt = prompt;
  completion.mMaxTokens = tokens;
  completion.mSeed = seed;
  completion.mPriority = 0;
  completion.mRequestId = aRequestId;
  return ask;
}

asio::awaitable<void> CallerApi::Handle(const HttpRequest& aRequest,
                                        HttpExchange& aExchange, bool aChat,
                                        std::string aRequestId) {
  mNode.Meter().Add(Counter::RequestsInteractive);
  Result<Ask> ask = Parse(aRequest, aChat, aRequestId);
  if (!ask) {
    HttpResponse response = ErrorResponse(ask.error());
    Mark(response, RunState::NotRun, aRequestId);
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (ask->mStream) {
    co_await Streamed(std::move(*ask), aExchange);
  } else {
    co_await Whole(std::move(*ask), aExchange);
  }
}

asio::awaitable<void> CallerApi::Whole(Ask aAsk, HttpExchange& aExchange) {
  const Millis start = mNode.Now();
  const ChunkSink sink =
      [&aExchange](const ModelChunk&) -> asio::awaitable<bool> {
    co_return !aExchange.PeerDisconnected();
  };
  Result<ModelAnswer> answer = co_await mCalls.Run(aAsk.mRequest, sink);
  HttpResponse response;
  if (answer) {
    mNode.Meter().Add(Counter::AnswersWhole);
    mNode.Meter().Measure(Timing::FirstToken, answer->mFirstToken - start);
    response = HttpResponse::Json(
        200, EncodeAnswer(aAsk.mId, aAsk.mRequest.mSpec.mModel, aAsk.mChat,
                          *answer));
    Mark(response, RunState::Run, aAsk.mId);
  } else {
    mNode.Meter().Add(Counter::RequestsRefused);
    response = ErrorResponse(answer.error());
    Mark(response, answer.error().Run(), aAsk.mId);
  }
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<void> CallerApi::Streamed(Ask aAsk, HttpExchange& aExchange) {
  StreamState state;
  state.mStart = mNode.Now();
  const std::string model = aAsk.mRequest.mSpec.mModel;
  // The answer begins with the first chunk, so that a call that no engine
  // takes is refused with a proper status.
  const ChunkSink sink =
      [this, &aAsk, &aExchange, &state,
       &model](const ModelChunk& aChunk) -> asio::awaitable<bool> {
    if (!state.mBegun) {
      state.mBegun = true;
      mNode.Meter().Measure(Timing::FirstToken, mNode.Now() - state.mStart);
      HttpResponse head;
      head.mHeaders.push_back({"Content-Type", "text/event-stream"});
      head.mHeaders.push_back({"Cache-Control", "no-store"});
      Mark(head, RunState::Run, aAsk.mId);
      if (co_await aExchange.Begin(std::move(head))) {
        co_return false;
      }
    }
    std::string event =
        SseData(EncodeChunk(aAsk.mId, model, aAsk.mChat, aChunk));
    const std::error_code failed = co_await aExchange.Write(std::move(event));
    co_return !failed;
  };
  const Result<ModelAnswer> answer = co_await mCalls.Run(aAsk.mRequest, sink);
  if (answer && state.mBegun) {
    mNode.Meter().Add(Counter::AnswersWhole);
    co_await aExchange.Write(SseData(kSseDone));
    co_await aExchange.End();
    co_return;
  }
  if (state.mBegun) {
    // No closing event and no end: the caller sees that it is not whole.
    mNode.Meter().Add(Counter::AnswersCut);
    co_await aExchange.Write(SseNamed("error", ErrorJson(answer.error())));
    co_return;
  }
  const Error error =
      answer ? Error(ErrorKind::UpstreamFailed,
                     "The engine's answer was empty.", RunState::Run)
             : answer.error();
  mNode.Meter().Add(Counter::RequestsRefused);
  HttpResponse response = ErrorResponse(error);
  Mark(response, error.Run(), aAsk.mId);
  co_await aExchange.Respond(std::move(response));
}

}  // namespace rillwall
