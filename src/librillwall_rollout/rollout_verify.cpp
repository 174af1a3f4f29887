/// \file
/// Checks whether this node still owns its steps.

#include <algorithm>

#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// An owner that the store has not confirmed for this long asks the store
/// before it answers a reader. It is shorter than the time within which a
/// position that was read anywhere must be visible (1 s).
constexpr Millis kMaxVerifiedAge{700};
constexpr Millis kVerifyPoll{5};

}  // namespace

asio::awaitable<std::optional<Error>> RolloutService::Verify(StepPtr aStep) {
  if (!aStep->mRunning) {
    // The step ended here, so its listed results cannot change any more.
    const bool ended = aStep->mRecord.mEnded && !aStep->mWriteUncertain;
    co_return ended ? std::nullopt
                    : std::optional(Error(ErrorKind::Unavailable,
                                          "This node does not own the step."));
  }
  const Millis begun = mNode.Now();
  if (begun - aStep->mVerifiedAt < kMaxVerifiedAge) {
    co_return std::nullopt;
  }
  const std::optional<Error> failed = co_await VerifyAll();
  if (failed) {
    co_return failed;
  }
  // The time at which the store was asked counts, however long it took to
  // answer.
  const bool verified =
      aStep->mRunning && begun - aStep->mVerifiedAt < kMaxVerifiedAge;
  co_return verified
      ? std::nullopt
      : std::optional(
            Error(ErrorKind::Unavailable, "Another node serves the step now."));
}

asio::awaitable<std::optional<Error>> RolloutService::VerifyAll() {
  if (mVerifying) {
    // Concurrent callers share one check.
    while (mVerifying) {
      co_await Sleep(mNode.mIo, kVerifyPoll);
    }
    co_return mVerifyFailure;
  }
  mVerifying = true;
  mVerifyFailure = co_await CheckTakeovers();
  mVerifyEndedAt = mNode.Now();
  mVerifying = false;
  co_return mVerifyFailure;
}

asio::awaitable<std::optional<Error>> RolloutService::CheckTakeovers() {
  const Millis asked = mNode.Now();
  const std::vector<StepPtr> steps = RunningSteps();
  const Result<std::optional<StoreItem>> taken =
      co_await mNode.mStore.Get(TakeoverKey(mNode.mIdentity.mRun));
  if (!taken) {
    RecordUnsettled();
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
      Drop(aStep, "the store names another owner, or the step has ended");
    }
    co_return Error(ErrorKind::Unavailable,
                    "Another node serves the step now.");
  }
  aStep->mVerifiedAt = std::max(aStep->mVerifiedAt, asked);
  co_return std::nullopt;
}

}  // namespace rillwall
