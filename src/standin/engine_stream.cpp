/// \file
/// The engine stand-in's streamed completions.

#include <algorithm>

#include "engine_server.h"
#include "rillwall/sse.h"

namespace rillwall::standin {

namespace {

constexpr int64_t kDefaultMaxTokens = 256;
constexpr int64_t kLowestPriority = 9;
constexpr int kUnavailable = 503;
constexpr Millis kFirstTokenPoll{10};
constexpr Millis kCrossDelay{1000};

/// A seed is read whole; a double would round large ones.
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

/// \param aShown whose text and id are sent: the stream itself unless crossed
std::string ChunkText(const std::string& aModel, const EngineStream& aShown,
                      const EngineStream& aStream, const StreamPart& aPart) {
  const bool last = aPart.mEnd >= aStream.mWholeLength;
  json::object chunk;
  chunk["id"] = aShown.mRequest.mRequestId;
  chunk["model"] = aModel;
  chunk["choices"] =
      json::array{Choice(aShown.mAnswer.Range(aPart.mBegin, aPart.mEnd),
                         last ? aStream.Finish() : nullptr)};
  chunk["weight_version"] = aPart.mVersion;
  chunk["tokens"] = aPart.mEnd - aPart.mBegin;
  chunk["cached_tokens"] = aStream.mCachedTokens;
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
    return Error(ErrorKind::BadRequest, "Only streamed completions are made.");
  }
  if (TextOf(body, "model") != mOptions.mModel) {
    return Error(ErrorKind::NotFound, "This engine serves another model.");
  }
  StreamRequest request;
  request.mRequestId = TextOf(body, "request_id");
  if (request.mRequestId.empty()) {
    request.mRequestId = "cmpl-" + std::to_string(++mAnonymous);
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
    return Error(ErrorKind::UpstreamRefused, "The weights are older.");
  }
  return request;
}

asio::awaitable<void> EngineServer::Complete(const HttpRequest& aRequest,
                                             HttpExchange& aExchange) {
  auto request = ParseCompletion(aRequest);
  if (!request.has_value()) {
    const bool old = request.error().Kind() == ErrorKind::UpstreamRefused;
    const int status = old ? kUnavailable : ErrorStatus(request.error().Kind());
    co_await aExchange.Respond(ErrorAnswer(
        status, old ? "old-version" : "bad-request", request.error().Detail()));
    co_return;
  }
  StreamHandle stream;
  if (!mLeaving.On()) {
    stream = mCore.Submit(std::move(request.value()), Now());
  }
  if (!stream) {
    co_await aExchange.Respond(
        ErrorAnswer(kUnavailable, "full",
                    mLeaving.On() ? "Leaving; nothing was run."
                                  : "The queue is full; nothing was run."));
    co_return;
  }
  co_await Stream(std::move(stream), aExchange);
}

std::string EngineServer::ReadyChunks(EngineStream& aStream,
                                      const EngineStream& aShown,
                                      int64_t& aTokens) {
  std::string chunks;
  StreamPart part;
  while (mCore.Take(aStream, part)) {
    chunks += ChunkText(mOptions.mModel, aShown, aStream, part);
    aTokens += part.mEnd - part.mBegin;
  }
  // A stream that was resumed at its very end still states how it finished.
  if (aStream.Complete() && aStream.mSpans.empty()) {
    const int64_t end = aStream.mWholeLength;
    chunks += ChunkText(mOptions.mModel, aShown, aStream,
                        {mCore.Version(), end, end});
  }
  return chunks;
}

void EngineServer::EndStream(const StreamHandle& aStream, std::string aEnding) {
  mCore.End(aStream, std::move(aEnding));
  mJournal.Add(aStream);
}

asio::awaitable<void> EngineServer::Stream(StreamHandle aStream,
                                           HttpExchange& aExchange) {
  const StreamHandle earlier = mCross.Take() ? mJournal.Earlier() : nullptr;
  if (earlier) {
    co_await Sleep(kCrossDelay);
  }
  const EngineStream& shown = earlier ? *earlier : *aStream;
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
    const std::string chunks = ReadyChunks(*aStream, shown, sent);
    if (!chunks.empty() && co_await aExchange.Write(chunks)) {
      EndStream(aStream, "cancelled");
      co_return;
    }
    if (mCutAfter.On() && sent >= mCutAfter.Count()) {
      EndStream(aStream, "cut");
      co_return;
    }
    if (aStream->Complete()) {
      break;
    }
  }
  EndStream(aStream, earlier ? "crossed" : aStream->Finish());
  if (!co_await aExchange.Write(SseData(kSseDone))) {
    co_await aExchange.End();
  }
}

}  // namespace rillwall::standin
