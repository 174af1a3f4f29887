/// \file
/// Upstreams as the platform's host list and their load reports describe them.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

enum class UpstreamKind { Engine, Service, Scorer, WeightStore };

/// One upstream of the host list.
struct Upstream {
  std::string mId;
  UpstreamKind mKind = UpstreamKind::Engine;
  std::string mName;     ///< model or service served
  std::string mAddress;  ///< "ip:port"
  std::string mZone;
  uint64_t mGeneration = 0;  ///< of the process behind the id
  bool mLeaving = false;
  bool operator==(const Upstream&) const = default;
};

/// What an engine last reported of itself. It lags.
struct LoadReport {
  int64_t mRunning = 0;
  int64_t mWaiting = 0;
  int64_t mSlots = 1;           ///< streams it batches at most
  double mTokensPerSecond = 0;  ///< of all streams together
  int64_t mVersion = 0;         ///< of the weights served
  int64_t mLoading = 0;         ///< version being loaded; 0: none
  bool mLeaving = false;
  Millis mAt;  ///< when it was received
  bool operator==(const LoadReport&) const = default;
};

}  // namespace rillwall
