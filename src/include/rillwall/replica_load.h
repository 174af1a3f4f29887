/// \file
/// The load that a replica reports in its responses, and what a host expects of
/// the replica's next response.
///
/// Pure: no I/O and no clock.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall {

/// One load report of a replica.
struct ReplicaLoad {
  int64_t mRunning = 0;  ///< requests that run, from all hosts
  int64_t mWaiting = 0;  ///< requests in the replica's queue
  int64_t mSlots = 0;    ///< requests that can run concurrently
  /// How long work takes on the replica's machine at this moment, in percent of
  /// the usual time. Not all services report it.
  std::optional<int64_t> mWorkPercent;
  bool operator==(const ReplicaLoad&) const = default;
};

/// Parses a report of the form "running,waiting,slots[,percent[,...]]". Figures
/// after the fourth are ignored.
/// \return the report; BadRequest, naming the figure, if one of the first four
/// is not a number within its limits
Result<ReplicaLoad> ParseReplicaLoad(std::string_view aText);

/// Expected response time of the replica that would be chosen now.
struct AnswerEstimate {
  Millis mExpected;        ///< wait and work
  Millis mWait;            ///< part of it until a slot is free
  Millis mAge;             ///< age of the figures behind it
  int64_t mFreeSlots = 0;  ///< free slots of all eligible replicas, as known
  bool operator==(const AnswerEstimate&) const = default;
};

}  // namespace rillwall
