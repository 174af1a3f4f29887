/// \file
/// Counts of the calls that the key-value stand-in took, as the platform
/// counts them: by kind and per second, a waiting watch as one call.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "control_serve.h"

namespace rillwall::standin {

/// Calls within one second since the start.
struct CallSecond {
  int64_t mSecond = 0;
  int64_t mReads = 0;
  int64_t mWrites = 0;
  int64_t mWatches = 0;
};

enum class CallKind { Read, Write, Watch };

class KvCalls {
 public:
  explicit KvCalls(Millis aStart) : mStart(aStart) {}
  /// \param aName the call's name in the counts
  void Count(const std::string& aName, CallKind aKind, Millis aNow);
  /// A call was refused for its rate; it is in no second's count.
  void CountRefused() { ++mTotals["over_rate"]; }
  /// \return calls of this kind within the present second
  int64_t ThisSecond(CallKind aKind, Millis aNow) const;
  /// A watch began or ended to wait.
  void WatchBegan() { ++mOpenWatches; }
  void WatchEnded() { --mOpenWatches; }
  json::object Write() const;

 private:
  static int64_t CallSecond::*Field(CallKind aKind);

  Millis mStart;
  int64_t mOpenWatches = 0;
  std::map<std::string, int64_t> mTotals;
  std::deque<CallSecond> mSeconds;
};

}  // namespace rillwall::standin
