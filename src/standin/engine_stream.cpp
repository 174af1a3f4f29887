/// \file
/// Streamed completions of the engine stand-in.

#include <algorithm>

#include "engine_server.h"
#include "rillwall/sse.h"

namespace rillwall::standin {

namespace {

constexpr int64_t kDefaultMaxTokens = 256;
constexpr int64_t kLowestPriority = 9;
constexpr int kUnavailable = 503;
constexpr Millis kFirstTokenPoll{10};
constexpr Millis kCrossedStreamDelay{1000};

/// \return the seed as an integer; reading it as a double would round large
/// seeds
int64_t SeedOf(const json::object& aBody) {
  const json::value* seed = aBody.if_contains("seed");
  if (seed && seed->is_int64()) {
    return seed->get_int64();
  }
  if (seed && seed->is_uint64()) {
    return static_cast<int64_t>(seed->get_uint64());
  }
  return 0;
}

json::object Choice(std::string aText, const char* aFinish) {
  json::object choice;
  choice["index"] = 0;
  choice["text"] = std::move(aText);
  if (aFinish) {
    choice["finish_reason"] = aFinish;
  } else {
    choice["finish_reason"] = nullptr;
  }
  return choice;
}

/// \param aTextSource stream whose text and id are sent; aStream itself unless
/// the fault "cross" is injected
/// \return the server-sent event for a part of a stream
std::string ChunkText(const std::string& aModel,
                      const EngineStream& aTextSource,
                      const EngineStream& aStream, const StreamPart& aPart) {
  const bool last = aPart.mEnd >= aStream.mTotalTokens;
  json::object chunk;
  chunk["id"] = aTextSource.mRequest.mRequestId;
  chunk["model"] = aModel;
  chunk["choices"] =
      json::array{Choice(aTextSource.mAnswer.Range(aPart.mBegin, aPart.mEnd),
                         last ? aStream.Finish() : nullptr)};
  chunk["weight_version"] = aPart.mVersion;
  chunk["tokens"] = aPart.mEnd - aPart.mBegin;
  chunk["cached_tokens"] = aStream.mCachedTokens;
  return SseData(json::serialize(chunk));
}

/// \return a chunk of one token with a long text, which no completion has
std::string ExtraChunkText(const EngineStream& aStream) {
  constexpr size_t kTextBytes = 64 * 1024;
  json::object chunk;
  chunk["id"] = aStream.mRequest.mRequestId;
  chunk["choices"] = json::array{Choice(std::string(kTextBytes, 'x'), nullptr)};
  chunk["weight_version"] =
      aStream.mSpans.empty() ? 0 : aStream.mSpans.back().mVersion;
  chunk["tokens"] = 1;
  return SseData(json::serialize(chunk));
}

HttpResponse StreamHead() {
  HttpResponse head;
  head.mHeaders.push_back({"Content-Type", "text/event-stream"});
  head.mHeaders.push_back({"Cache-Control", "no-cache"});
  return head;
}

}  // namespace

Result<StreamRequest> EngineServer::ParseCompletion(
    const HttpRequest& aRequest) {
  const auto parsed = ParseObject(aRequest.mBody);
  if (!parsed.has_value()) {
    return parsed.error();
  }
  const json::object& body = parsed.value();
  const json::value* stream = body.if_contains("stream");
  if (!stream || !stream->is_bool() || !stream->get_bool()) {
    return Error(ErrorKind::BadRequest,
                 "Only streamed completions are supported; set stream.");
  }
  if (TextOf(body, "model") != mOptions.mModel) {
    return Error(ErrorKind::NotFound, "This engine serves another model.");
  }
  StreamRequest request;
  request.mRequestId = TextOf(body, "request_id");
  if (request.mRequestId.empty()) {
    request.mRequestId = "cmpl-" + std::to_string(++mGeneratedIds);
  }
  request.mPrompt = TextOf(body, "prompt");
  request.mSeed = SeedOf(body);
  request.mMaxTokens = NumberOf(body, "max_tokens", kDefaultMaxTokens);
  request.mTargetTokens = NumberOf(body, "target_tokens");
  request.mResumeTokens = NumberOf(body, "resume_tokens");
  request.mPriority = static_cast<int>(
      std::clamp<int64_t>(NumberOf(body, "priority"), 0, kLowestPriority));
  if (request.mMaxTokens < 1 || request.mResumeTokens < 0) {
    return Error(ErrorKind::BadRequest, "Token counts must be positive.");
  }
  if (NumberOf(body, "min_version") > mCore.Version()) {
    return Error(ErrorKind::UpstreamRefused,
                 "The weights are older than min_version.");
  }
  return request;
}

asio::awaitable<void> EngineServer::HandleCompletion(
    const HttpRequest& aRequest, HttpExchange& aExchange) {
  auto request = ParseCompletion(aRequest);
  if (!request.has_value()) {
    const bool old = request.error().Kind() == ErrorKind::UpstreamRefused;
    const int status = old ? kUnavailable : ErrorStatus(request.error().Kind());
    co_await aExchange.Respond(MakeErrorResponse(
        status, old ? "old-version" : "bad-request", request.error().Detail()));
    co_return;
  }
  StreamHandle stream;
  if (!mLeaving.On()) {
    stream = mCore.Submit(std::move(request.value()), Now());
  }
  if (!stream) {
    co_await aExchange.Respond(MakeErrorResponse(
        kUnavailable, "full",
        mLeaving.On() ? "The engine is leaving; nothing was run."
                      : "The queue is full; nothing was run."));
    co_return;
  }
  co_await Stream(std::move(stream), aExchange);
}

std::string EngineServer::ReadyChunks(EngineStream& aStream,
                                      const EngineStream& aTextSource,
                                      int64_t& aTokens) {
  std::string chunks;
  StreamPart part;
  while (mCore.TakeOutput(aStream, part)) {
    chunks += ChunkText(mOptions.mModel, aTextSource, aStream, part);
    aTokens += part.mEnd - part.mBegin;
  }
  // A stream that was resumed at its end produces no token, but must still
  // report its finish reason.
  if (aStream.IsComplete() && aStream.mSpans.empty()) {
    const int64_t end = aStream.mTotalTokens;
    chunks += ChunkText(mOptions.mModel, aTextSource, aStream,
                        {mCore.Version(), end, end});
  }
  return chunks;
}

void EngineServer::EndStream(const StreamHandle& aStream,
                             std::string aEndReason) {
  mCore.End(aStream, std::move(aEndReason));
  mJournal.Add(aStream);
}

asio::awaitable<void> EngineServer::Stream(StreamHandle aStream,
                                           HttpExchange& aExchange) {
  const StreamHandle completed =
      mCross.Consume() ? mJournal.LastCompleted() : nullptr;
  if (completed) {
    co_await Sleep(kCrossedStreamDelay);
  }
  const EngineStream& textSource = completed ? *completed : *aStream;
  if (co_await aExchange.Begin(StreamHead())) {
    EndStream(aStream, "cancelled");
    co_return;
  }
  int64_t sent = 0;
  while (true) {
    const bool decoding = aStream->mState == StreamState::Decode;
    co_await Sleep(decoding && sent > 0 ? Millis(mOptions.mChunkMillis)
                                        : kFirstTokenPoll);
    if (aExchange.PeerDisconnected()) {
      EndStream(aStream, "cancelled");
      co_return;
    }
    if (aStream->mState != StreamState::Decode) {
      continue;
    }
    const std::string chunks = ReadyChunks(*aStream, textSource, sent);
    if (!chunks.empty() && co_await aExchange.Write(chunks)) {
      EndStream(aStream, "cancelled");
      co_return;
    }
    if (mCutAfter.On() && sent >= mCutAfter.Count()) {
      EndStream(aStream, "cut");
      co_return;
    }
    if (aStream->IsComplete()) {
      break;
    }
  }
  EndStream(aStream, completed ? "crossed" : aStream->Finish());
  for (int64_t i = 0; i < mExtraChunks.Count(); ++i) {
    std::string chunk = ExtraChunkText(textSource);
    if (co_await aExchange.Write(std::move(chunk))) {
      co_return;
    }
  }
  if (!co_await aExchange.Write(SseData(kSseDone))) {
    co_await aExchange.End();
  }
}

}  // namespace rillwall::standin
