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
constexpr Millis kPullTimeoutMargin{15000};
constexpr Millis kRetryDelay{200};
constexpr int kMaxStoreAttempts = 100;
constexpr int kOk = 200;
constexpr int kSuccessEnd = 300;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int64_t kMillisPerSecond = 1000;

bool IsSuccess(const HttpResponse& aResponse) {
  return aResponse.mStatus >= kOk && aResponse.mStatus < kSuccessEnd;
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
      mLastTrainedStep(aOptions.mFirstStep - 1),
      mStateChanged(aContext, asio::steady_timer::time_point::max()) {
  while (mProgress.mSteps.contains(mLastTrainedStep + 1) &&
         mProgress.mSteps[mLastTrainedStep + 1].mTrained) {
    ++mLastTrainedStep;
  }
}

uint64_t TrainerRun::LastStep() const {
  const Millis ran = Now() - mStats.mStarted;
  const Millis limit(mOptions.mSeconds * kMillisPerSecond);
  if (mOptions.mSeconds > 0 && ran > limit) {
    return mLastStartedStep;
  }
  return mOptions.mFirstStep + mOptions.mSteps - 1;
}

std::string TrainerRun::Prompt(uint64_t aStep, size_t aGroup) const {
  const size_t line = (aStep * mOptions.mGroups + aGroup) % mInputs.size();
  return MarkedPrompt(mInputs[line], mOptions.mName + " " +
                                         std::to_string(aStep) + "/" +
                                         std::to_string(aGroup));
}

std::string TrainerRun::Target(const std::string& aRest) const {
  return "/v1/trainers/" + mOptions.mName + aRest;
}

void TrainerRun::GiveUp(const std::string& aReason) {
  std::cerr << "trainer: " << aReason << std::endl;
  mStats.mGaveUp = true;
  mFinished = true;
  mStats.mEnded = Now();
  mStateChanged.cancel();
}

asio::awaitable<void> TrainerRun::WaitForChange() {
  boost::system::error_code ignored;
  co_await mStateChanged.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> TrainerRun::Run() {
  mStats.mStarted = Now();
  const int64_t first =
      std::max(mProgress.mNewestVersion, mOptions.mFirstVersion);
  const bool announced = co_await Announce(first);
  if (!announced) {
    co_return;
  }
  asio::co_spawn(mContext, Train(), asio::detached);
  for (uint64_t step = mLastTrainedStep + 1; step <= LastStep() && !mFinished;
       ++step) {
    while (!mFinished && step > mLastTrainedStep + 1 + mOptions.mAhead) {
      co_await WaitForChange();
    }
    if (step > LastStep()) {
      break;
    }
    mLastStartedStep = step;
    asio::co_spawn(mContext, RunStep(step), asio::detached);
  }
  while (!mFinished && mLastTrainedStep < LastStep()) {
    co_await WaitForChange();
  }
  mFinished = true;
  mStateChanged.cancel();
  mStats.mEnded = Now();
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
  for (int attempt = 0; attempt < kMaxStoreAttempts; ++attempt) {
    const auto made =
        co_await mClient.Send(store.value(), request, kCallTimeout);
    if (made.has_value() && IsSuccess(made.value())) {
      co_return true;
    }
    co_await Sleep(kRetryDelay);
  }
  GiveUp("The weight store does not accept " + aPath + ".");
  co_return false;
}

asio::awaitable<bool> TrainerRun::Announce(int64_t aVersion) {
  // The version is logged before it is announced, because samples of it may
  // arrive before the response to the announcement.
  const bool announcedBefore = mProgress.mNewestVersion >= aVersion;
  mProgress.mNewestVersion = aVersion;
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
  // A conflict is a success if an earlier attempt, whose response was lost, may
  // have announced the version.
  const bool alreadyAnnounced = answer.value().mResponse.mStatus == kConflict &&
                                (announcedBefore || answer.value().mMayHaveRun);
  if (!IsSuccess(answer.value().mResponse) && !alreadyAnnounced) {
    GiveUp("The version was refused: " + answer.value().mResponse.mBody);
    co_return false;
  }
  std::cout << "announced version " << aVersion << std::endl;
  co_return true;
}

asio::awaitable<bool> TrainerRun::AnnounceNext() {
  while (mAnnouncing && !mFinished) {
    co_await WaitForChange();
  }
  mAnnouncing = true;
  const bool announced = co_await Announce(mProgress.mNewestVersion + 1);
  mAnnouncing = false;
  mStateChanged.cancel();
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
  if (!answer.has_value() || !IsSuccess(answer.value().mResponse)) {
    GiveUp("The step was not opened: " + (answer.has_value()
                                              ? answer.value().mResponse.mBody
                                              : answer.error().Message()));
    co_return false;
  }
  co_return true;
}

asio::awaitable<Result<bool>> TrainerRun::Pull(uint64_t aStep) {
  const int64_t stated = mProgress.mNewestVersion;
  json::object body;
  body["receipt"] = mProgress.mSteps[aStep].mReceipt;
  body["version"] = stated;
  body["max_groups"] = mOptions.mPullGroups;
  body["wait_ms"] = mOptions.mPullWaitMillis;
  ++mStats.mPulls;
  const auto sent = co_await mNodes.Ask(
      JsonRequest("POST", Target("/steps/" + std::to_string(aStep) + "/pull"),
                  json::serialize(body)),
      Millis(mOptions.mPullWaitMillis) + kPullTimeoutMargin);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  const HttpResponse& response = sent.value().mResponse;
  if (response.mStatus == kNotFound) {
    ++mStats.mReopened;
    const bool opened = co_await Open(aStep);
    if (!opened) {
      co_return Error(ErrorKind::NotFound,
                      "The step is unknown and could not be opened again.");
    }
    co_return false;
  }
  if (response.mStatus == kConflict) {
    ++mStats.mSuperseded;
    co_await Sleep(kRetryDelay);
    co_return false;
  }
  if (!IsSuccess(response)) {
    co_return Error(ErrorKind::BadRequest,
                    "The pull was refused: " + response.mBody);
  }
  const auto answer = ParsePullResponse(response.mBody);
  if (!answer.has_value()) {
    co_return answer.error();
  }
  AcceptResponse(aStep, answer.value(), stated);
  co_return mProgress.mSteps[aStep].mGroups.size() == mOptions.mGroups;
}

void TrainerRun::AcceptResponse(uint64_t aStep, const PullResponse& aAnswer,
                                int64_t aStatedVersion) {
  if (aAnswer.mExtends != mProgress.mSteps[aStep].mReceipt) {
    ++mStats.mUnfitAnswers;
    return;
  }
  if (aAnswer.mGroups.empty()) {
    ++mStats.mEmptyPulls;
    return;
  }
  const PullRecord record = Check(aStep, aAnswer, aStatedVersion);
  mLog.WritePull(record);
  mProgress.Apply(record);
  for (size_t taken = 0; taken < record.mGroups.size(); ++taken) {
    mTrainingQueue.push_back(aStep);
    ++mUntrainedGroups[aStep];
  }
  const size_t received = mProgress.mSteps[aStep].mGroups.size();
  const size_t half = mOptions.mGroups / 2;
  const bool passedHalf =
      received >= half && received - record.mGroups.size() < half;
  if (mOptions.mSwapMidStep && passedHalf) {
    asio::co_spawn(mContext, AnnounceMidStep(), asio::detached);
  }
  mStateChanged.cancel();
}

PullRecord TrainerRun::Check(uint64_t aStep, const PullResponse& aAnswer,
                             int64_t aStatedVersion) const {
  PullRecord record;
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
    CheckGroup(
        group,
        {prompt, mOptions.mGroupSize, mOptions.mMaxTokens,
         mProgress.mNewestVersion, aStatedVersion, mOptions.mMaxStaleness},
        record.mFaults);
    record.mGroups.push_back(group.mGroup);
    for (const DeliveredSample& sample : group.mSamples) {
      ++record.mStaleness[StalenessOf(sample, mProgress.mNewestVersion)];
      const auto text = AnswerText::FromText(prompt, sample.mText);
      record.mLabels.push_back({text ? text->Id() : "", sample.mLabel});
    }
  }
  return record;
}

asio::awaitable<bool> TrainerRun::Receive(uint64_t aStep) {
  Millis deadline =
      Now() + Millis(mOptions.mPatienceSeconds * kMillisPerSecond);
  size_t receivedBefore = mProgress.mSteps[aStep].mGroups.size();
  bool complete = receivedBefore == mOptions.mGroups;
  while (!complete && !mFinished) {
    const auto pulled = co_await Pull(aStep);
    if (!pulled.has_value()) {
      GiveUp(pulled.error().Message());
      co_return false;
    }
    complete = pulled.value();
    const size_t received = mProgress.mSteps[aStep].mGroups.size();
    if (received > receivedBefore) {
      receivedBefore = received;
      deadline = Now() + Millis(mOptions.mPatienceSeconds * kMillisPerSecond);
    }
    if (!complete && Now() > deadline) {
      GiveUp("No group was received for " +
             std::to_string(mOptions.mPatienceSeconds) + " s.");
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
  while (!mFinished &&
         (mUntrainedGroups[aStep] > 0 || mLastTrainedStep + 1 < aStep)) {
    co_await WaitForChange();
  }
  if (mFinished) {
    co_return;
  }
  times.mTrained = Now();
  mStats.mSteps.push_back(times);
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
  mLastTrainedStep = aStep;
  mStateChanged.cancel();
}

asio::awaitable<void> TrainerRun::Train() {
  while (!mFinished) {
    const Millis start = Now();
    if (mTrainingQueue.empty()) {
      co_await WaitForChange();
      mStats.mIdle += Now() - start;
      continue;
    }
    const uint64_t step = mTrainingQueue.front();
    mTrainingQueue.pop_front();
    if (mOptions.mTrainMillis > 0) {
      co_await Sleep(Millis(mOptions.mTrainMillis));
    }
    mStats.mTraining += Now() - start;
    if (--mUntrainedGroups[step] == 0) {
      mStateChanged.cancel();
    }
  }
}

}  // namespace rillwall::standin
