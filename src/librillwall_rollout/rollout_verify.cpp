/// \file
/// Whether this node still owns its steps.

#include <algorithm>

#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// An owner that has not heard from the store for so long asks whether it is
/// still the owner, before it answers. Under the bound within which a position
/// that was read anywhere must be there (1 s).
constexpr Millis kVerifyAfter{700};
constexpr Millis kVerifyPoll{5};

}  // namespace

asio::awaitable<std::optional<Error>> RolloutService::Verify(StepPtr aStep) {
  if (!aStep->mRunning) {
    // Ended here: what is listed can't change any more.
    const bool ended = aStep->mRecord.mEnded && !aStep->mUnsettled;
    co_return ended ? std::nullopt
                    : std::optional(Error(ErrorKind::Unavailable,
                                          "The step is not owned here."));
  }
  const Millis begun = mNode.Now();
  if (begun - aStep->mVerifiedAt < kVerifyAfter) {
    co_return std::nullopt;
  }
  const std::optional<Error> failed = co_await VerifyAll();
  if (failed) {
    co_return failed;
  }
  // However long the store took: what counts is when it was asked.
  const bool verified =
      aStep->mRunning && begun - aStep->mVerifiedAt < kVerifyAfter;
  co_return verified
      ? std::nullopt
      : std::optional(Error(ErrorKind::Unavailable, "The step has moved."));
}

asio::awaitable<std::optional<Error>> RolloutService::VerifyAll() {
  if (mVerifying) {
    // Whoever asks meanwhile shares the call.
    while (mVerifying) {
      co_await Sleep(mNode.mIo, kVerifyPoll);
    }
    co_return mVerifyFailure;
  }
  mVerifying = true;
  mVerifyFailure = co_await AskTaken();
  mVerifying = false;
  co_return mVerifyFailure;
}

asio::awaitable<std::optional<Error>> RolloutService::AskTaken() {
  const Millis asked = mNode.Now();
  const std::vector<StepPtr> steps = RunningSteps();
  const Result<std::optional<StoreItem>> taken =
      co_await mNode.mStore.Get(TakeoverKey(mNode.mIdentity.mRun));
  if (!taken) {
    co_return taken.error();
  }
  const int64_t revision = *taken ? (*taken)->mRevision : 0;
  const bool same = revision == mTakenRevision;
  for (const StepPtr& step : steps) {
    if (!step->mAccepted) {
      continue;
    }
    if (same) {
      step->mVerifiedAt = std::max(step->mVerifiedAt, asked);
    } else if (step->mRunning) {
      const std::optional<Error> failed = co_await VerifyRecord(step);
      if (failed && step->mRunning) {
        co_return failed;
      }
    }
  }
  mTakenRevision = std::max(mTakenRevision, revision);
  co_return std::nullopt;
}

asio::awaitable<std::optional<Error>> RolloutService::VerifyRecord(
    StepPtr aStep) {
  const Millis asked = mNode.Now();
  const Result<std::optional<StoreItem>> item =
      co_await mNode.mStore.Get(StepKey(aStep->Id()));
  if (!item) {
    co_return item.error();
  }
  if (!*item || (*item)->mRevision != aStep->mRevision) {
    if (aStep->mRunning) {
      Drop(aStep, "the store names another owner or its end");
    }
    co_return Error(ErrorKind::Unavailable, "The step has moved.");
  }
  aStep->mVerifiedAt = std::max(aStep->mVerifiedAt, asked);
  co_return std::nullopt;
}

}  // namespace rillwall
