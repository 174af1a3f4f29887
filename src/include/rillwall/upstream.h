/// \file
/// Upstreams as listed by the platform's host list, and their load reports.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// Role of an upstream.
enum class UpstreamKind { Engine, Service, Scorer, WeightStore };

/// One upstream of the host list.
struct Upstream {
  std::string mId;
  UpstreamKind mKind = UpstreamKind::Engine;
  std::string mName;     ///< model or service that it serves
  std::string mAddress;  ///< "ip:port"
  std::string mZone;
  uint64_t mGeneration = 0;  ///< generation of the process behind the id
  bool mLeaving = false;     ///< about to shut down
  bool operator==(const Upstream&) const = default;
};

/// Load that an engine last reported. It lags behind the real load.
struct LoadReport {
  int64_t mRunning = 0;         ///< requests being processed
  int64_t mWaiting = 0;         ///< requests queued at the engine
  int64_t mSlots = 1;           ///< most streams in a batch
  double mTokensPerSecond = 0;  ///< sum over all streams
  int64_t mVersion = 0;         ///< weight version being served
  int64_t mLoading = 0;         ///< weight version being loaded; 0: none
  bool mLeaving = false;        ///< about to shut down
  Millis mAt;                   ///< when the report was received
  bool operator==(const LoadReport&) const = default;
};

}  // namespace rillwall
