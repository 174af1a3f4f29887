#include "step_runners.h"

#include <algorithm>

#include "rillwall/backoff.h"

namespace rillwall {

namespace {

constexpr Millis kRunnerInitialBackoff{250};
constexpr Millis kRunnerMaxBackoff{15000};

}  // namespace

void RunnerHealth::Failed(std::string_view aRunner, Millis aNow) {
  Record& record = mRecords[std::string(aRunner)];
  // Groups that were ordered before the first failure fail together and count
  // as one failure.
  if (aNow < record.mNotBefore) {
    return;
  }
  ++record.mFailures;
  record.mNotBefore =
      aNow +
      BackoffDelay(record.mFailures, kRunnerInitialBackoff, kRunnerMaxBackoff);
}

void RunnerHealth::Succeeded(std::string_view aRunner) { Forget(aRunner); }

void RunnerHealth::Forget(std::string_view aRunner) {
  const auto at = mRecords.find(aRunner);
  if (at != mRecords.end()) {
    mRecords.erase(at);
  }
}

bool RunnerHealth::IsSuspect(std::string_view aRunner) const {
  return mRecords.find(aRunner) != mRecords.end();
}

int64_t RunnerHealth::Allowed(std::string_view aRunner, int64_t aCapacity,
                              int64_t aRunning, Millis aNow) const {
  const auto at = mRecords.find(aRunner);
  if (at == mRecords.end()) {
    return aCapacity;
  }
  const bool paused = aNow < at->second.mNotBefore;
  return paused || aRunning > 0 ? 0 : std::min<int64_t>(aCapacity, 1);
}

CapacityPool::CapacityPool(std::vector<RunnerCapacity> aRunners) {
  size_t index = 0;
  for (RunnerCapacity& runner : aRunners) {
    mTotal += std::max<int64_t>(runner.mCapacity, 0);
    Push({std::move(runner), index++});
  }
}

std::string CapacityPool::Take(std::string_view aAvoid, bool aStrict) {
  if (mRunners.empty()) {
    return "";
  }
  Entry best = Pop();
  const bool avoided = !aAvoid.empty() && best.mRunner.mNode == aAvoid;
  if (avoided && mRunners.empty() && aStrict) {
    Push(std::move(best));
    return "";
  }
  if (avoided && !mRunners.empty()) {
    Entry next = Pop();
    Push(std::move(best));
    best = std::move(next);
  }
  std::string node = best.mRunner.mNode;
  --best.mRunner.mCapacity;
  --mTotal;
  Push(std::move(best));
  return node;
}

CapacityPool::Entry CapacityPool::Pop() {
  Entry entry = mRunners.top();
  mRunners.pop();
  return entry;
}

void CapacityPool::Push(Entry aEntry) {
  if (aEntry.mRunner.mCapacity > 0) {
    mRunners.push(std::move(aEntry));
  }
}

}  // namespace rillwall
