#include "engine_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <cstdio>

namespace rillwall::standin {

namespace {

constexpr Millis kTick{10};
constexpr Millis kMaxTick{100};
constexpr Millis kReportInterval{50};
constexpr Millis kReportHistory{60000};
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kHexBase = 16;

std::string PrefixText(BlockHash aPrefix) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(aPrefix));
  return text;
}

std::vector<BlockHash> ParseBlocks(std::string_view aBlob) {
  std::vector<BlockHash> blocks;
  while (!aBlob.empty()) {
    const std::string_view word = aBlob.substr(0, aBlob.find(','));
    BlockHash block = 0;
    std::from_chars(word.data(), word.data() + word.size(), block, kHexBase);
    blocks.push_back(block);
    aBlob.remove_prefix(std::min(word.size() + 1, aBlob.size()));
  }
  return blocks;
}

HttpResponse Refusal(const Error& aError) {
  return MakeErrorResponse(ErrorStatus(aError.Kind()), ErrorName(aError.Kind()),
                           aError.Detail());
}

}  // namespace

EngineServer::EngineServer(const EngineOptions& aOptions, Control& aControl)
    : mOptions(aOptions),
      mControl(aControl),
      mSwapFails(aControl.Add("swap_fails")),
      mIgnoreFence(aControl.Add("ignore_fence")),
      mSpeed(aControl.Add("speed", 1)),
      mLoadLag(aControl.Add("load_lag_ms",
                            static_cast<double>(aOptions.mLoadLagMillis))),
      mCross(aControl.Add("cross")),
      mCutAfter(aControl.Add("cut_after_tokens")),
      mLeaving(aControl.Add("leaving")),
      mExtraChunks(aControl.Add("extra_chunks")),
      mCore(aOptions.mSettings, aOptions.mVersion) {}

void EngineServer::Start(asio::io_context& aContext) {
  mContext = &aContext;
  mClient = std::make_unique<HttpClient>(aContext);
  RecordReport(Now());
  asio::co_spawn(aContext, RunBatch(), asio::detached);
}

asio::awaitable<void> EngineServer::RunBatch() {
  Millis last = Now();
  while (true) {
    co_await Sleep(kTick);
    co_await mControl.WaitWhileFrozen();
    const Millis now = Now();
    const Millis span = std::min(now - last, kMaxTick);
    last = now;
    if (now >= mDecodingPausedUntil) {
      mCore.Tick(now, span, mSpeed.Value());
    }
    if (now - mReportSnapshots.back().mAt >= kReportInterval) {
      RecordReport(now);
    }
  }
}

void EngineServer::RecordReport(Millis aNow) {
  const EngineTotals totals = mCore.Totals(aNow);
  json::object report;
  report["running"] = totals.mRunning;
  report["waiting"] = totals.mWaiting;
  report["slots"] = mCore.Settings().mSlots;
  report["tokens_per_second"] = totals.mTokensPerSecond;
  report["version"] = mCore.Version();
  report["loading"] = mLoading;
  report["leaving"] = mLeaving.On();
  report["fence"] = mFence;
  report["kv_used"] = totals.mMemoryUsed;
  report["kv_total"] = mCore.Settings().mCacheTokens;
  report["queue_ms"] = totals.mQueueAge.Count();
  mReportSnapshots.push_back({aNow, json::serialize(report)});
  while (aNow - mReportSnapshots.front().mAt > kReportHistory) {
    mReportSnapshots.pop_front();
  }
}

std::string EngineServer::DelayedReport(Millis aNow) const {
  const Millis wanted = aNow - mLoadLag.Duration();
  for (auto report = mReportSnapshots.rbegin();
       report != mReportSnapshots.rend(); ++report) {
    if (report->mAt <= wanted) {
      return report->mText;
    }
  }
  return mReportSnapshots.front().mText;
}

asio::awaitable<void> EngineServer::Handle(const HttpRequest& aRequest,
                                           HttpExchange& aExchange) {
  const std::string_view path = aRequest.Path();
  const bool post = aRequest.mMethod == "POST";
  if (post && path == "/v1/completions") {
    co_await HandleCompletion(aRequest, aExchange);
  } else if (post && path == "/orders") {
    co_await HandleOrder(aRequest, aExchange);
  } else if (post && path == "/kv/export") {
    co_await aExchange.Respond(Export(aRequest));
  } else if (post && path == "/kv/import") {
    co_await aExchange.Respond(Import(aRequest));
  } else if (path == "/load") {
    co_await aExchange.Respond(HttpResponse::Json(200, DelayedReport(Now())));
  } else if (path == "/events") {
    co_await aExchange.Respond(Events(aRequest));
  } else if (path == "/journal") {
    co_await aExchange.Respond(
        MakeJsonResponse(200, mJournal.ToJson(mCore.Streams())));
  } else {
    co_await aExchange.Respond(MakeErrorResponse(
        kNotFound, "not-found", "The engine does not serve this path."));
  }
}

asio::awaitable<void> EngineServer::HandleOrder(const HttpRequest& aRequest,
                                                HttpExchange& aExchange) {
  const auto body = ParseObject(aRequest.mBody);
  if (!body.has_value()) {
    co_await aExchange.Respond(Refusal(body.error()));
    co_return;
  }
  const auto source = WeightSource::Parse(TextOf(body.value(), "weights"),
                                          NumberOf(body.value(), "bytes"),
                                          mOptions.mWeightStore);
  if (TextOf(body.value(), "kind") != "load" || !source.has_value()) {
    co_await aExchange.Respond(MakeErrorResponse(
        400, "bad-request", "An order needs kind load, weights and bytes."));
    co_return;
  }
  OrderEntry order;
  order.mVersion = NumberOf(body.value(), "version");
  order.mFence = static_cast<uint64_t>(NumberOf(body.value(), "fence"));
  if (order.mFence < mFence && !mIgnoreFence.On()) {
    order.mOutcome = "stale-fence";
    mJournal.Add(order);
    json::object error;
    error["kind"] = "stale-fence";
    error["fence"] = mFence;
    json::object answer;
    answer["error"] = std::move(error);
    co_await aExchange.Respond(MakeJsonResponse(kConflict, answer));
    co_return;
  }
  mFence = order.mFence;
  order.mAccepted = true;
  order.mOutcome = "accepted";
  mJournal.Add(order);
  if (order.mVersion != mLoading && order.mVersion != mCore.Version()) {
    mLoading = order.mVersion;
    ++mLoadNumber;
    asio::co_spawn(*mContext, Load(order, source.value()), asio::detached);
  }
  json::object answer;
  answer["accepted"] = true;
  co_await aExchange.Respond(MakeJsonResponse(200, answer));
}

asio::awaitable<void> EngineServer::Load(OrderEntry aOrder,
                                         WeightSource aSource) {
  const uint64_t load = mLoadNumber;
  const auto isCurrent = [this, load] { return load == mLoadNumber; };
  const auto read =
      co_await ReadWeights(*mClient, std::move(aSource), isCurrent);
  co_await mControl.WaitWhileFrozen();
  if (!isCurrent()) {
    aOrder.mOutcome = "superseded";
    mJournal.Add(std::move(aOrder));
    co_return;
  }
  if (!read.has_value()) {
    FinishLoad(std::move(aOrder), "read-failed");
    co_return;
  }
  mDecodingPausedUntil = Now() + Millis(mOptions.mSwapMillis);
  co_await Sleep(Millis(mOptions.mSwapMillis));
  if (!isCurrent()) {
    co_return;
  }
  if (mSwapFails.Consume()) {
    FinishLoad(std::move(aOrder), "swap-failed");
    co_return;
  }
  mCore.Swap(aOrder.mVersion, Now());
  FinishLoad(std::move(aOrder), "swapped");
}

void EngineServer::FinishLoad(OrderEntry aOrder, std::string aOutcome) {
  mLoading = 0;
  aOrder.mOutcome = std::move(aOutcome);
  mJournal.Add(std::move(aOrder));
  RecordReport(Now());
}

StreamHandle EngineServer::FindStream(const std::string& aRequestId) const {
  for (const StreamHandle& stream : mCore.Streams()) {
    if (stream->mRequest.mRequestId == aRequestId) {
      return stream;
    }
  }
  return mJournal.Find(aRequestId);
}

HttpResponse EngineServer::Export(const HttpRequest& aRequest) const {
  const auto body = ParseObject(aRequest.mBody);
  const StreamHandle stream =
      body.has_value() ? FindStream(TextOf(body.value(), "request_id"))
                       : nullptr;
  if (!stream) {
    return MakeErrorResponse(kNotFound, "not-found",
                             "This engine has no stream with this request_id.");
  }
  std::string blob;
  for (const BlockHash block : HashBlocks(stream->mRequest.mPrompt)) {
    blob += (blob.empty() ? "" : ",") + PrefixText(block);
  }
  json::object answer;
  answer["blob"] = blob;
  return MakeJsonResponse(200, answer);
}

HttpResponse EngineServer::Import(const HttpRequest& aRequest) {
  const auto body = ParseObject(aRequest.mBody);
  if (!body.has_value()) {
    return Refusal(body.error());
  }
  json::object answer;
  answer["prefix_tokens"] =
      mCore.Import(ParseBlocks(TextOf(body.value(), "blob")), Now());
  return MakeJsonResponse(200, answer);
}

HttpResponse EngineServer::Events(const HttpRequest& aRequest) const {
  uint64_t next = 0;
  const std::string since = aRequest.Query("since");
  std::from_chars(since.data(), since.data() + since.size(), next);
  const Millis visible = Now() - Millis(mOptions.mEventLagMillis);
  json::array events;
  for (const CacheEvent& event : mCore.Cache().Since(next, visible)) {
    json::object text;
    text["n"] = event.mNumber;
    text["kind"] = event.mStored ? "stored" : "evicted";
    text["prefix"] = PrefixText(event.mPrefix);
    events.push_back(std::move(text));
    next = event.mNumber;
  }
  json::object answer;
  answer["next"] = next;
  answer["events"] = std::move(events);
  return MakeJsonResponse(200, answer);
}

}  // namespace rillwall::standin
