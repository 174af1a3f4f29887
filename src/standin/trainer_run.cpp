#include "trainer_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>

#include "control.h"
#include "control_serve.h"
#include "engine_text.h"

namespace rillwall::standin {

namespace {

constexpr Millis kCallTimeout{15000};
constexpr Millis kPullSlack{15000};
constexpr Millis kStorePause{200};
constexpr int kStoreTries = 100;
constexpr int kOk = 200;
constexpr int kFailed = 300;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int64_t kMillisPerSecond = 1000;

bool Good(const HttpResponse& aResponse) {
  return aResponse.mStatus >= kOk && aResponse.mStatus < kFailed;
}

}  // namespace

TrainerRun::TrainerRun(asio::io_context& aContext,
                       const TrainerOptions& aOptions,
                       std::vector<InputLine> aInputs, NodeSet& aNodes,
                       HttpClient& aClient, TrainerLog& aLog,
                       TrainerProgress aProgress)
    : mContext(aContext),
      mOptions(aOptions),
      mInputs(std::move(aInputs)),
      mNodes(aNodes),
      mClient(aClient),
      mLog(aLog),
      mProgress(std::move(aProgress)),
      mTrainedThrough(aOptions.mFirstStep - 1),
      mChanged(aContext, asio::steady_timer::time_point::max()) {
  while (mProgress.mSteps.contains(mTrainedThrough + 1) &&
         mProgress.mSteps[mTrainedThrough + 1].mTrained) {
    ++mTrainedThrough;
  }
}

uint64_t TrainerRun::LastStep() const {
  const Millis ran = Now() - mFigures.mStarted;
  const Millis limit(mOptions.mSeconds * kMillisPerSecond);
  if (mOptions.mSeconds > 0 && ran > limit) {
    return mBegun;
  }
  return mOptions.mFirstStep + mOptions.mSteps - 1;
}

std::string TrainerRun::Prompt(uint64_t aStep, size_t aGroup) const {
  const size_t place = (aStep * mOptions.mGroups + aGroup) % mInputs.size();
  return MarkedPrompt(mInputs[place], mOptions.mName + " " +
                                          std::to_string(aStep) + "/" +
                                          std::to_string(aGroup));
}

std::string TrainerRun::Target(const std::string& aRest) const {
  return "/v1/trainers/" + mOptions.mName + aRest;
}

void TrainerRun::GiveUp(const std::string& aWhy) {
  std::cerr << "trainer: " << aWhy << std::endl;
  mFigures.mGaveUp = true;
  mFinished = true;
  mFigures.mEnded = Now();
  mChanged.cancel();
}

asio::awaitable<void> TrainerRun::Await() {
  boost::system::error_code ignored;
  co_await mChanged.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> TrainerRun::Run() {
  mFigures.mStarted = Now();
  const int64_t first = std::max(mProgress.mNewest, mOptions.mFirstVersion);
  const bool announced = co_await Announce(first);
  if (!announced) {
    co_return;
  }
  asio::co_spawn(mContext, Train(), asio::detached);
  for (uint64_t step = mTrainedThrough + 1; step <= LastStep() && !mFinished;
       ++step) {
    while (!mFinished && step > mTrainedThrough + 1 + mOptions.mAhead) {
      co_await Await();
    }
    if (step > LastStep()) {
      break;
    }
    mBegun = step;
    asio::co_spawn(mContext, RunStep(step), asio::detached);
  }
  while (!mFinished && mTrainedThrough < LastStep()) {
    co_await Await();
  }
  mFinished = true;
  mChanged.cancel();
  mFigures.mEnded = Now();
}

asio::awaitable<bool> TrainerRun::CreateWeights(const std::string& aPath) {
  const auto store = Endpoint::Parse(mOptions.mWeightStore);
  if (!store.has_value()) {
    GiveUp(store.error().Message());
    co_return false;
  }
  HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = aPath + "?bytes=" + std::to_string(mOptions.mBytes);
  for (int attempt = 0; attempt < kStoreTries; ++attempt) {
    const auto made =
        co_await mClient.Send(store.value(), request, kCallTimeout);
    if (made.has_value() && Good(made.value())) {
      co_return true;
    }
    co_await Sleep(kStorePause);
  }
  GiveUp("The weight store does not take " + aPath + ".");
  co_return false;
}

asio::awaitable<bool> TrainerRun::Announce(int64_t aVersion) {
  // Written first: samples of this version may come before the answer.
  const bool again = mProgress.mNewest >= aVersion;
  mProgress.mNewest = aVersion;
  mLog.WriteVersion(aVersion);
  const std::string path =
      "/weights/" + mOptions.mName + "-v" + std::to_string(aVersion);
  const bool created = co_await CreateWeights(path);
  if (!created) {
    co_return false;
  }
  json::object body;
  body["version"] = aVersion;
  body["weights"] = "http://" + mOptions.mWeightStore + path;
  body["bytes"] = mOptions.mBytes;
  const auto answer = co_await mNodes.Ask(
      JsonRequest("POST", Target("/versions"), json::serialize(body)),
      kCallTimeout);
  if (!answer.has_value()) {
    GiveUp(answer.error().Message());
    co_return false;
  }
  // A try whose answer was lost may have announced it.
  const bool known = answer.value().mResponse.mStatus == kConflict &&
                     (again || answer.value().mRepeated);
  if (!Good(answer.value().mResponse) && !known) {
    GiveUp("Version refused: " + answer.value().mResponse.mBody);
    co_return false;
  }
  std::cout << "announced version " << aVersion << std::endl;
  co_return true;
}

asio::awaitable<bool> TrainerRun::AnnounceNext() {
  while (mAnnouncing && !mFinished) {
    co_await Await();
  }
  mAnnouncing = true;
  const bool announced = co_await Announce(mProgress.mNewest + 1);
  mAnnouncing = false;
  mChanged.cancel();
  co_return announced;
}

asio::awaitable<void> TrainerRun::AnnounceMidStep() { co_await AnnounceNext(); }

asio::awaitable<bool> TrainerRun::Open(uint64_t aStep) {
  json::array prompts;
  for (size_t group = 0; group < mOptions.mGroups; ++group) {
    prompts.push_back(json::value(Prompt(aStep, group)));
  }
  json::object body;
  body["step"] = aStep;
  body["group_size"] = mOptions.mGroupSize;
  body["max_tokens"] = mOptions.mMaxTokens;
  body["seed"] = mOptions.mSeed;
  body["prompts"] = std::move(prompts);
  const auto answer = co_await mNodes.Ask(
      JsonRequest("POST", Target("/steps"), json::serialize(body)),
      kCallTimeout);
  if (!answer.has_value() || !Good(answer.value().mResponse)) {
    GiveUp("Step not opened: " + (answer.has_value()
                                      ? answer.value().mResponse.mBody
                                      : answer.error().Message()));
    co_return false;
  }
  co_return true;
}

asio::awaitable<Result<bool>> TrainerRun::Pull(uint64_t aStep) {
  const int64_t stated = mProgress.mNewest;
  json::object body;
  body["receipt"] = mProgress.mSteps[aStep].mReceipt;
  body["version"] = stated;
  body["max_groups"] = mOptions.mPullGroups;
  body["wait_ms"] = mOptions.mPullWaitMillis;
  ++mFigures.mPulls;
  const auto sent = co_await mNodes.Ask(
      JsonRequest("POST", Target("/steps/" + std::to_string(aStep) + "/pull"),
                  json::serialize(body)),
      Millis(mOptions.mPullWaitMillis) + kPullSlack);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  const HttpResponse& response = sent.value().mResponse;
  if (response.mStatus == kNotFound) {
    ++mFigures.mReopened;
    const bool opened = co_await Open(aStep);
    if (!opened) {
      co_return Error(ErrorKind::NotFound, "The step is gone.");
    }
    co_return false;
  }
  if (response.mStatus == kConflict) {
    ++mFigures.mSuperseded;
    co_await Sleep(kStorePause);
    co_return false;
  }
  if (!Good(response)) {
    co_return Error(ErrorKind::BadRequest, "Pull refused: " + response.mBody);
  }
  const auto answer = ParseAnswer(response.mBody);
  if (!answer.has_value()) {
    co_return answer.error();
  }
  TakeIn(aStep, answer.value(), stated);
  co_return mProgress.mSteps[aStep].mGroups.size() == mOptions.mGroups;
}

void TrainerRun::TakeIn(uint64_t aStep, const DeliveredAnswer& aAnswer,
                        int64_t aStated) {
  if (aAnswer.mExtends != mProgress.mSteps[aStep].mReceipt) {
    ++mFigures.mUnfitAnswers;
    return;
  }
  if (aAnswer.mGroups.empty()) {
    ++mFigures.mEmptyPulls;
    return;
  }
  const AnswerRecord record = Check(aStep, aAnswer, aStated);
  mLog.WriteAnswer(record);
  mProgress.Take(record);
  for (size_t taken = 0; taken < record.mGroups.size(); ++taken) {
    mToTrain.push_back(aStep);
    ++mUntrained[aStep];
  }
  const size_t received = mProgress.mSteps[aStep].mGroups.size();
  const size_t half = mOptions.mGroups / 2;
  const bool passed =
      received >= half && received - record.mGroups.size() < half;
  if (mOptions.mSwapMidStep && passed) {
    asio::co_spawn(mContext, AnnounceMidStep(), asio::detached);
  }
  mChanged.cancel();
}

AnswerRecord TrainerRun::Check(uint64_t aStep, const DeliveredAnswer& aAnswer,
                               int64_t aStated) const {
  AnswerRecord record;
  record.mStep = aStep;
  record.mReceipt = aAnswer.mReceipt;
  std::set<size_t> received = mProgress.mSteps.at(aStep).mGroups;
  for (const DeliveredGroup& group : aAnswer.mGroups) {
    if (group.mGroup >= mOptions.mGroups) {
      ++record.mFaults[SampleFault::WrongGroup];
      continue;
    }
    if (!received.insert(group.mGroup).second) {
      record.mFaults[SampleFault::Repeated] += group.mSamples.size();
    }
    const std::string prompt = Prompt(aStep, group.mGroup);
    CheckGroup(group,
               {prompt, mOptions.mGroupSize, mOptions.mMaxTokens,
                mProgress.mNewest, aStated, mOptions.mMaxStaleness},
               record.mFaults);
    record.mGroups.push_back(group.mGroup);
    for (const DeliveredSample& sample : group.mSamples) {
      ++record.mStaleness[StalenessOf(sample, mProgress.mNewest)];
      const auto text = AnswerText::FromText(prompt, sample.mText);
      record.mLabels.push_back({text ? text->Id() : "", sample.mLabel});
    }
  }
  return record;
}

asio::awaitable<bool> TrainerRun::Receive(uint64_t aStep) {
  Millis end = Now() + Millis(mOptions.mPatienceSeconds * kMillisPerSecond);
  size_t before = mProgress.mSteps[aStep].mGroups.size();
  bool complete = before == mOptions.mGroups;
  while (!complete && !mFinished) {
    const auto pulled = co_await Pull(aStep);
    if (!pulled.has_value()) {
      GiveUp(pulled.error().Message());
      co_return false;
    }
    complete = pulled.value();
    const size_t received = mProgress.mSteps[aStep].mGroups.size();
    if (received > before) {
      before = received;
      end = Now() + Millis(mOptions.mPatienceSeconds * kMillisPerSecond);
    }
    if (!complete && Now() > end) {
      GiveUp("No group came for " + std::to_string(mOptions.mPatienceSeconds) +
             " s.");
      co_return false;
    }
  }
  co_return complete;
}

asio::awaitable<void> TrainerRun::Close(uint64_t aStep) {
  HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = Target("/steps/" + std::to_string(aStep));
  const auto closed = co_await mNodes.Ask(request, kCallTimeout);
  if (!closed.has_value()) {
    std::cerr << "trainer: " << closed.error().Message() << std::endl;
  }
}

asio::awaitable<void> TrainerRun::RunStep(uint64_t aStep) {
  StepTimes times;
  times.mStep = aStep;
  times.mOpened = Now();
  mProgress.mSteps[aStep];
  const bool opened = co_await Open(aStep);
  if (!opened) {
    co_return;
  }
  const bool received = co_await Receive(aStep);
  if (!received) {
    co_return;
  }
  times.mReceived = Now();
  co_await Close(aStep);
  while (!mFinished && (mUntrained[aStep] > 0 || mTrainedThrough + 1 < aStep)) {
    co_await Await();
  }
  if (mFinished) {
    co_return;
  }
  times.mTrained = Now();
  mFigures.mSteps.push_back(times);
  mLog.WriteTrained(aStep);
  mProgress.mSteps[aStep].mTrained = true;
  std::cout << "step " << aStep << " received in "
            << (times.mReceived - times.mOpened).Count() << " ms" << std::endl;
  if (mOptions.mSwapEveryStep && aStep < LastStep()) {
    const bool announced = co_await AnnounceNext();
    if (!announced) {
      co_return;
    }
  }
  mTrainedThrough = aStep;
  mChanged.cancel();
}

asio::awaitable<void> TrainerRun::Train() {
  while (!mFinished) {
    const Millis start = Now();
    if (mToTrain.empty()) {
      co_await Await();
      mFigures.mIdle += Now() - start;
      continue;
    }
    const uint64_t step = mToTrain.front();
    mToTrain.pop_front();
    if (mOptions.mTrainMillis > 0) {
      co_await Sleep(Millis(mOptions.mTrainMillis));
    }
    mFigures.mTraining += Now() - start;
    if (--mUntrained[step] == 0) {
      mChanged.cancel();
    }
  }
}

}  // namespace rillwall::standin
