#include "kv_calls.h"

#include <algorithm>

namespace rillwall::standin {

namespace {

constexpr size_t kMaxSeconds = 3600;
constexpr int64_t kMillisPerSecond = 1000;

int64_t SecondOf(Millis aStart, Millis aNow) {
  return (aNow - aStart).Count() / kMillisPerSecond;
}

}  // namespace

int64_t CallSecond::*KvCalls::Field(CallKind aKind) {
  switch (aKind) {
    case CallKind::Read:
      return &CallSecond::mReads;
    case CallKind::Write:
      return &CallSecond::mWrites;
    default:
      return &CallSecond::mWatches;
  }
}

void KvCalls::Count(const std::string& aName, CallKind aKind, Millis aNow) {
  ++mTotals[aName];
  const int64_t second = SecondOf(mStart, aNow);
  if (mSeconds.empty() || mSeconds.back().mSecond != second) {
    mSeconds.push_back(CallSecond{second});
  }
  if (mSeconds.size() > kMaxSeconds) {
    mSeconds.pop_front();
  }
  ++(mSeconds.back().*Field(aKind));
}

int64_t KvCalls::ThisSecond(CallKind aKind, Millis aNow) const {
  const bool now =
      !mSeconds.empty() && mSeconds.back().mSecond == SecondOf(mStart, aNow);
  return now ? mSeconds.back().*Field(aKind) : 0;
}

json::object KvCalls::ToJson() const {
  json::object totals;
  for (const auto& [name, count] : mTotals) {
    totals[name] = count;
  }
  json::array seconds;
  CallSecond peak;
  for (const CallSecond& each : mSeconds) {
    seconds.push_back(json::object{{"second", each.mSecond},
                                   {"reads", each.mReads},
                                   {"writes", each.mWrites},
                                   {"watches", each.mWatches}});
    peak.mReads = std::max(peak.mReads, each.mReads);
    peak.mWrites = std::max(peak.mWrites, each.mWrites);
  }
  json::object calls;
  calls["totals"] = std::move(totals);
  calls["open_watches"] = mOpenWatches;
  calls["peak"] =
      json::object{{"reads", peak.mReads}, {"writes", peak.mWrites}};
  calls["seconds"] = std::move(seconds);
  return calls;
}

}  // namespace rillwall::standin
