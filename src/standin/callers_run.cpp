#include "callers_run.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "control.h"
#include "control_serve.h"
#include "driver_journals.h"
#include "engine_text.h"
#include "rillwall/sse.h"

namespace rillwall::standin {

namespace {

constexpr Millis kOpenTimeout{20000};
constexpr Millis kChunkTimeout{20000};
constexpr Millis kReadTimeout{10000};
constexpr Millis kDrainTimeout{60000};
constexpr Millis kPollInterval{20};
constexpr int kOk = 200;
constexpr int kMaxNodeAttempts = 5;
constexpr double kMillisPerSecond = 1000.0;

/// An event of a streamed completion.
struct CallerChunk {
  std::string mText;
  std::string mFinish;
};

CallerChunk ParseCallerChunk(const std::string& aData) {
  CallerChunk chunk;
  const auto object = ParseObject(aData);
  const json::value* choices =
      object.has_value() ? object.value().if_contains("choices") : nullptr;
  if (choices && choices->is_array() && !choices->get_array().empty() &&
      choices->get_array().front().is_object()) {
    const json::object& choice = choices->get_array().front().get_object();
    chunk.mText = TextOf(choice, "text");
    chunk.mFinish = TextOf(choice, "finish_reason");
  }
  return chunk;
}

/// \return whether the text received is the beginning of an answer to the
/// prompt
bool IsOwnAnswer(const std::string& aPrompt, const std::string& aText) {
  return aText.empty() || IsAnswerTo(aPrompt, aText);
}

}  // namespace

CallersRun::CallersRun(asio::io_context& aContext,
                       const CallersOptions& aOptions,
                       std::vector<InputLine> aInputs, NodeSet& aNodes,
                       HttpClient& aClient)
    : mContext(aContext),
      mOptions(aOptions),
      mInputs(std::move(aInputs)),
      mNodes(aNodes),
      mClient(aClient),
      mRandom(aOptions.mSeed),
      mCharges(aClient, aNodes, aOptions.mService, aOptions.mSeed,
               mStats.mCharges) {
  std::erase_if(mInputs, [&](const InputLine& aLine) {
    return aLine.mTokens > aOptions.mMaxAnswerTokens;
  });
}

asio::awaitable<void> CallersRun::Run() {
  mEnd = Now() +
         Millis(static_cast<int64_t>(mOptions.mSeconds * kMillisPerSecond));
  const auto start = [this](double aRate, CallFunction aCall) {
    if (aRate > 0) {
      asio::co_spawn(mContext, StartAtRate(aRate, std::move(aCall)),
                     asio::detached);
    }
  };
  if (!mInputs.empty()) {
    start(mOptions.mRate, [this] { return Stream(); });
  }
  start(mOptions.mReadRate, [this] { return Read(); });
  start(mOptions.mChargeRate, [this] { return mCharges.Charge(); });
  while (Now() < mEnd || (mOpenCalls > 0 && Now() < mEnd + kDrainTimeout)) {
    co_await Sleep(kPollInterval);
  }
  mStats.mUnfinished = mOpenCalls;
  const auto service = Endpoint::Parse(mOptions.mServiceAddress);
  if (service.has_value()) {
    co_await mCharges.CompareWithJournal(service.value());
  }
  co_await CompareWithEngines();
}

asio::awaitable<void> CallersRun::StartAtRate(double aRate,
                                              CallFunction aCall) {
  std::exponential_distribution<double> gap(aRate / kMillisPerSecond);
  double next = static_cast<double>(Now().Count());
  while (true) {
    next += gap(mRandom);
    const Millis startAt(static_cast<int64_t>(next));
    if (startAt >= mEnd) {
      co_return;
    }
    if (startAt > Now()) {
      co_await Sleep(startAt - Now());
    }
    asio::co_spawn(mContext, TrackCall(aCall), asio::detached);
  }
}

asio::awaitable<void> CallersRun::TrackCall(CallFunction aCall) {
  ++mOpenCalls;
  co_await aCall();
  --mOpenCalls;
}

HttpRequest CallersRun::StreamRequestFor(const std::string& aPrompt) {
  json::object body;
  body["model"] = mOptions.mModel;
  body["prompt"] = aPrompt;
  body["max_tokens"] = mOptions.mMaxTokens;
  body["stream"] = true;
  HttpRequest request =
      JsonRequest("POST", "/v1/completions", json::serialize(body));
  const std::vector<std::string>& accounts = mOptions.mClientAccounts;
  request.mHeaders.push_back(
      {"Rillwall-House", accounts[mRandom() % accounts.size()]});
  mNodes.Authorize(request);
  return request;
}

asio::awaitable<void> CallersRun::Stream() {
  const uint64_t number = ++mStats.mStreams.mStarted;
  const InputLine& line = mInputs[mRandom() % mInputs.size()];
  const std::string prompt =
      MarkedPrompt(line, "caller " + std::to_string(mOptions.mSeed) + "/" +
                             std::to_string(number));
  for (int attempt = 0; attempt < kMaxNodeAttempts; ++attempt) {
    if (co_await StreamAt(mNodes.Pick(), prompt)) {
      co_return;
    }
    ++mStats.mStreams.mMoved;
    co_await Sleep(kPollInterval);
  }
  ++mStats.mStreams.mUnreachable;
}

asio::awaitable<bool> CallersRun::StreamAt(Endpoint aNode,
                                           std::string aPrompt) {
  const Millis start = Now();
  auto opened =
      co_await mClient.Open(aNode, StreamRequestFor(aPrompt), kOpenTimeout);
  if (!opened.has_value()) {
    if (opened.error().Run() == RunState::NotRun) {
      co_return false;
    }
    ++mStats.mStreams.mCut;
    co_return true;
  }
  HttpStream& stream = *opened.value();
  if (stream.Head().mStatus != kOk) {
    ++mStats.mStreams.mRefused;
    const std::string* run = stream.Head().Find("Rillwall-Run");
    if (run && *run == "not-run") {
      mStats.mStreams.mNotRun.push_back(PromptId(aPrompt));
    }
    const auto body = co_await stream.Read(kChunkTimeout);
    mStats.mStreams.mLastRefusal =
        body.has_value() ? body.value() : body.error().Detail();
    co_return true;
  }
  co_await ReadStream(stream, aPrompt, start);
  co_return true;
}

asio::awaitable<void> CallersRun::ReadStream(HttpStream& aStream,
                                             const std::string& aPrompt,
                                             Millis aStart) {
  SseParser events;
  std::string text;
  std::string finish;
  while (true) {
    const auto part = co_await aStream.Read(kChunkTimeout);
    const bool cut = !part.has_value() || part.value().empty() ||
                     events.Feed(part.value()).has_value();
    if (cut) {
      mStats.mStreams.mCrossed += IsOwnAnswer(aPrompt, text) ? 0 : 1;
      ++mStats.mStreams.mCut;
      co_return;
    }
    while (const auto event = events.Next()) {
      if (event->mData == kSseDone) {
        CheckCompleted(aPrompt, text, finish, aStart);
        co_return;
      }
      if (event->mName == "error") {
        mStats.mStreams.mCrossed += IsOwnAnswer(aPrompt, text) ? 0 : 1;
        ++mStats.mStreams.mCut;
        co_return;
      }
      const CallerChunk chunk = ParseCallerChunk(event->mData);
      if (text.empty() && !chunk.mText.empty()) {
        mStats.mStreams.mFirstToken.push_back((Now() - aStart).Count());
      }
      text += chunk.mText;
      finish = chunk.mFinish;
    }
  }
}

void CallersRun::CheckCompleted(const std::string& aPrompt,
                                const std::string& aText,
                                const std::string& aFinish, Millis aStart) {
  StreamStats& stats = mStats.mStreams;
  const int64_t wanted = std::min(AnswerLength(aPrompt), mOptions.mMaxTokens);
  if (!IsOwnAnswer(aPrompt, aText)) {
    ++stats.mCrossed;
  } else if (CountTokens(aText) != wanted || aFinish.empty()) {
    ++stats.mShort;
  } else {
    ++stats.mWhole;
    stats.mWholeTime.push_back((Now() - aStart).Count());
  }
}

asio::awaitable<void> CallersRun::Read() {
  const Millis start = Now();
  const std::string path = "/status/street-" + std::to_string(mOptions.mSeed) +
                           "-" + std::to_string(++mStats.mReads.mStarted);
  HttpRequest request;
  request.mTarget = "/services/" + mOptions.mService + path;
  mNodes.Authorize(request);
  const auto answer = co_await SendWithFailover(std::move(request));
  if (!answer.has_value()) {
    const bool sent = answer.error().Run() != RunState::NotRun;
    ++(sent ? mStats.mReads.mLost : mStats.mReads.mUnreachable);
    mStats.mReads.mLastFailure = answer.error().Detail();
    co_return;
  }
  if (answer.value().mStatus != kOk) {
    ++mStats.mReads.mRefused;
    mStats.mReads.mLastFailure = answer.value().mBody;
    co_return;
  }
  const auto body = ParseObject(answer.value().mBody);
  if (!body.has_value() || TextOf(body.value(), "path") != path) {
    ++mStats.mReads.mCrossed;
    co_return;
  }
  ++mStats.mReads.mAnswered;
  mStats.mReads.mTime.push_back((Now() - start).Count());
}

asio::awaitable<Result<HttpResponse>> CallersRun::SendWithFailover(
    HttpRequest aRequest) {
  for (int attempt = 1;; ++attempt) {
    auto answer = co_await mClient.Send(mNodes.Pick(), aRequest, kReadTimeout);
    const bool again =
        !answer.has_value() && answer.error().Run() == RunState::NotRun;
    if (!again || attempt == kMaxNodeAttempts) {
      co_return answer;
    }
    co_await Sleep(kPollInterval);
  }
}

asio::awaitable<void> CallersRun::CompareWithEngines() {
  const auto engines = NodeSet::Parse(mOptions.mEngines);
  if (!engines.has_value() || engines.value().empty()) {
    co_return;
  }
  const EngineJournals journals =
      co_await ReadJournals(mClient, engines.value());
  const size_t idLength = PromptId("").size();
  std::set<std::string> ran;
  for (const auto& [text, spans] : journals.mProduced) {
    ran.insert(text.substr(0, idLength));
  }
  for (const std::string& prompt : mStats.mStreams.mNotRun) {
    mStats.mStreams.mRanRefused += ran.contains(prompt) ? 1 : 0;
  }
}

}  // namespace rillwall::standin
