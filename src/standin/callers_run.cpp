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
constexpr Millis kLastWait{60000};
constexpr Millis kPoll{20};
constexpr int kOk = 200;
constexpr int kMoves = 5;
constexpr double kMillisPerSecond = 1000.0;

/// One event of a streamed answer.
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

/// Whether the text so far is the beginning of the prompt's own answer.
bool IsOwn(const std::string& aPrompt, const std::string& aText) {
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
               mFigures.mCharges) {
  std::erase_if(mInputs, [&](const InputLine& aLine) {
    return aLine.mTokens > aOptions.mLongest;
  });
}

asio::awaitable<void> CallersRun::Run() {
  mEnd = Now() +
         Millis(static_cast<int64_t>(mOptions.mSeconds * kMillisPerSecond));
  const auto start = [this](double aRate, Maker aMaker) {
    if (aRate > 0) {
      asio::co_spawn(mContext, Pace(aRate, std::move(aMaker)), asio::detached);
    }
  };
  if (!mInputs.empty()) {
    start(mOptions.mRate, [this] { return Stream(); });
  }
  start(mOptions.mReadRate, [this] { return Read(); });
  start(mOptions.mChargeRate, [this] { return mCharges.Charge(); });
  while (Now() < mEnd || (mOpen > 0 && Now() < mEnd + kLastWait)) {
    co_await Sleep(kPoll);
  }
  mFigures.mUnfinished = mOpen;
  const auto service = Endpoint::Parse(mOptions.mServiceAddress);
  if (service.has_value()) {
    co_await mCharges.CompareWithJournal(service.value());
  }
  co_await CompareWithEngines();
}

asio::awaitable<void> CallersRun::Pace(double aRate, Maker aMaker) {
  std::exponential_distribution<double> gap(aRate / kMillisPerSecond);
  double next = static_cast<double>(Now().Count());
  while (true) {
    next += gap(mRandom);
    const Millis at(static_cast<int64_t>(next));
    if (at >= mEnd) {
      co_return;
    }
    if (at > Now()) {
      co_await Sleep(at - Now());
    }
    asio::co_spawn(mContext, Counted(aMaker), asio::detached);
  }
}

asio::awaitable<void> CallersRun::Counted(Maker aMaker) {
  ++mOpen;
  co_await aMaker();
  --mOpen;
}

HttpRequest CallersRun::StreamRequestFor(const std::string& aPrompt) {
  json::object body;
  body["model"] = mOptions.mModel;
  body["prompt"] = aPrompt;
  body["max_tokens"] = mOptions.mMaxTokens;
  body["stream"] = true;
  HttpRequest request =
      JsonRequest("POST", "/v1/completions", json::serialize(body));
  const std::vector<std::string>& houses = mOptions.mHouses;
  request.mHeaders.push_back(
      {"Rillwall-House", houses[mRandom() % houses.size()]});
  mNodes.Authorize(request);
  return request;
}

asio::awaitable<void> CallersRun::Stream() {
  const uint64_t number = ++mFigures.mStreams.mStarted;
  const InputLine& line = mInputs[mRandom() % mInputs.size()];
  const std::string prompt =
      MarkedPrompt(line, "caller " + std::to_string(mOptions.mSeed) + "/" +
                             std::to_string(number));
  for (int move = 0; move < kMoves; ++move) {
    if (co_await StreamAt(mNodes.Pick(), prompt)) {
      co_return;
    }
    ++mFigures.mStreams.mMoved;
    co_await Sleep(kPoll);
  }
  ++mFigures.mStreams.mUnreachable;
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
    ++mFigures.mStreams.mCut;
    co_return true;
  }
  HttpStream& stream = *opened.value();
  if (stream.Head().mStatus != kOk) {
    ++mFigures.mStreams.mRefused;
    const std::string* run = stream.Head().Find("Rillwall-Run");
    if (run && *run == "not-run") {
      mFigures.mStreams.mNotRun.push_back(PromptId(aPrompt));
    }
    const auto body = co_await stream.Read(kChunkTimeout);
    mFigures.mStreams.mLastRefusal =
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
      mFigures.mStreams.mCrossed += IsOwn(aPrompt, text) ? 0 : 1;
      ++mFigures.mStreams.mCut;
      co_return;
    }
    while (const auto event = events.Next()) {
      if (event->mData == kSseDone) {
        JudgeWhole(aPrompt, text, finish, aStart);
        co_return;
      }
      if (event->mName == "error") {
        mFigures.mStreams.mCrossed += IsOwn(aPrompt, text) ? 0 : 1;
        ++mFigures.mStreams.mCut;
        co_return;
      }
      const CallerChunk chunk = ParseCallerChunk(event->mData);
      if (text.empty() && !chunk.mText.empty()) {
        mFigures.mStreams.mFirstToken.push_back((Now() - aStart).Count());
      }
      text += chunk.mText;
      finish = chunk.mFinish;
    }
  }
}

void CallersRun::JudgeWhole(const std::string& aPrompt,
                            const std::string& aText,
                            const std::string& aFinish, Millis aStart) {
  StreamFigures& figures = mFigures.mStreams;
  const int64_t wanted = std::min(AnswerLength(aPrompt), mOptions.mMaxTokens);
  if (!IsOwn(aPrompt, aText)) {
    ++figures.mCrossed;
  } else if (CountTokens(aText) != wanted || aFinish.empty()) {
    ++figures.mShort;
  } else {
    ++figures.mWhole;
    figures.mWholeTime.push_back((Now() - aStart).Count());
  }
}

asio::awaitable<void> CallersRun::Read() {
  const Millis start = Now();
  const std::string path = "/status/street-" + std::to_string(mOptions.mSeed) +
                           "-" + std::to_string(++mFigures.mReads.mStarted);
  HttpRequest request;
  request.mTarget = "/services/" + mOptions.mService + path;
  mNodes.Authorize(request);
  const auto answer = co_await SendMoving(std::move(request));
  if (!answer.has_value()) {
    const bool sent = answer.error().Run() != RunState::NotRun;
    ++(sent ? mFigures.mReads.mLost : mFigures.mReads.mUnreachable);
    mFigures.mReads.mLastFailure = answer.error().Detail();
    co_return;
  }
  if (answer.value().mStatus != kOk) {
    ++mFigures.mReads.mRefused;
    mFigures.mReads.mLastFailure = answer.value().mBody;
    co_return;
  }
  const auto body = ParseObject(answer.value().mBody);
  if (!body.has_value() || TextOf(body.value(), "path") != path) {
    ++mFigures.mReads.mCrossed;
    co_return;
  }
  ++mFigures.mReads.mAnswered;
  mFigures.mReads.mTime.push_back((Now() - start).Count());
}

asio::awaitable<Result<HttpResponse>> CallersRun::SendMoving(
    HttpRequest aRequest) {
  for (int move = 1;; ++move) {
    auto answer = co_await mClient.Send(mNodes.Pick(), aRequest, kReadTimeout);
    const bool again =
        !answer.has_value() && answer.error().Run() == RunState::NotRun;
    if (!again || move == kMoves) {
      co_return answer;
    }
    co_await Sleep(kPoll);
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
  for (const std::string& prompt : mFigures.mStreams.mNotRun) {
    mFigures.mStreams.mRanRefused += ran.contains(prompt) ? 1 : 0;
  }
}

}  // namespace rillwall::standin
