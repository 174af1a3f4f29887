#include "step_runners.h"

#include <algorithm>

#include "rillwall/backoff.h"

namespace rillwall {

namespace {

constexpr Millis kRunnerPause{250};
constexpr Millis kRunnerLongestPause{15000};

}  // namespace

void RunnerHealth::Failed(std::string_view aRunner, Millis aNow) {
  Record& record = mRecords[std::string(aRunner)];
  // Groups given before the first failure fail together; they count once.
  if (aNow < record.mNotBefore) {
    return;
  }
  ++record.mFailures;
  record.mNotBefore =
      aNow + BackoffDelay(record.mFailures, kRunnerPause, kRunnerLongestPause);
}

void RunnerHealth::Succeeded(std::string_view aRunner) { Forget(aRunner); }

void RunnerHealth::Forget(std::string_view aRunner) {
  const auto at = mRecords.find(aRunner);
  if (at != mRecords.end()) {
    mRecords.erase(at);
  }
}

bool RunnerHealth::Suspect(std::string_view aRunner) const {
  return mRecords.find(aRunner) != mRecords.end();
}

int64_t RunnerHealth::Allowed(std::string_view aRunner, int64_t aRoom,
                              int64_t aRunning, Millis aNow) const {
  const auto at = mRecords.find(aRunner);
  if (at == mRecords.end()) {
    return aRoom;
  }
  const bool paused = aNow < at->second.mNotBefore;
  return paused || aRunning > 0 ? 0 : std::min<int64_t>(aRoom, 1);
}

RoomPool::RoomPool(std::vector<RunnerCapacity> aRunners) {
  size_t place = 0;
  for (RunnerCapacity& runner : aRunners) {
    mTotal += std::max<int64_t>(runner.mCapacity, 0);
    Push({std::move(runner), place++});
  }
}

std::string RoomPool::Take(std::string_view aAvoid, bool aStrict) {
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

RoomPool::Entry RoomPool::Pop() {
  Entry entry = mRunners.top();
  mRunners.pop();
  return entry;
}

void RoomPool::Push(Entry aEntry) {
  if (aEntry.mRunner.mCapacity > 0) {
    mRunners.push(std::move(aEntry));
  }
}

}  // namespace rillwall
