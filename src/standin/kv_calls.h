/// \file
/// Counts the calls to the key-value stand-in as the platform does: by kind and
/// per second, with an open watch as one call.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "control_serve.h"

namespace rillwall::standin {

/// Number of calls by kind within one second.
struct CallSecond {
  int64_t mSecond = 0;  ///< seconds since the start
  int64_t mReads = 0;
  int64_t mWrites = 0;
  int64_t mWatches = 0;
};

/// Kind of call, as rate limits and counts distinguish them.
enum class CallKind { Read, Write, Watch };

/// Call counts since the start. Single-threaded.
class KvCalls {
 public:
  explicit KvCalls(Millis aStart) : mStart(aStart) {}
  /// Counts a call.
  /// \param aName name of the call in the totals
  void Count(const std::string& aName, CallKind aKind, Millis aNow);
  /// Counts a call that exceeded the rate limit, in the totals only.
  void CountRateLimited() { ++mTotals["over_rate"]; }
  /// \return the number of calls of a kind within the current second
  int64_t ThisSecond(CallKind aKind, Millis aNow) const;
  /// Records that a watch was opened or closed.
  void WatchStarted() { ++mOpenWatches; }
  void WatchEnded() { --mOpenWatches; }
  /// \return totals, open watches, peaks and counts by second
  json::object ToJson() const;

 private:
  static int64_t CallSecond::*Field(CallKind aKind);

  Millis mStart;
  int64_t mOpenWatches = 0;
  std::map<std::string, int64_t> mTotals;
  std::deque<CallSecond> mSeconds;
};

}  // namespace rillwall::standin
