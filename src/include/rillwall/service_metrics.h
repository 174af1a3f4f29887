/// \file
/// Counters, gauges and latency histograms of the serving path, as Prometheus
/// text.
///
/// Label sets are bounded: a label's value comes from the program or the
/// operator's configuration, never from a request. To be used on one thread.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "rillwall/millis.h"

namespace rillwall {

/// A histogram with fixed bucket bounds in milliseconds.
class LatencyHistogram {
 public:
  static constexpr std::array<int64_t, 12> kBounds = {
      5, 10, 20, 50, 100, 200, 400, 800, 1600, 4000, 8000, 20000};

  void Add(Millis aSpan);
  /// Appends the histogram's series in Prometheus' exposition format.
  void AppendTo(std::string& aOut, std::string_view aName) const;

 private:
  std::array<uint64_t, kBounds.size()> mBuckets{};
  uint64_t mCount = 0;
  int64_t mSum = 0;
};

/// The metrics of one node. A metric exists from its first use on.
class ServiceMetrics {
 public:
  /// Adds to a counter.
  /// \param aLabels as in the exposition format, such as kind="read"; may be
  /// empty
  void Count(std::string_view aName, std::string_view aLabels = {},
             uint64_t aAmount = 1);
  /// Adds a latency to a histogram.
  void Measure(std::string_view aName, Millis aSpan);
  /// Sets a gauge.
  void Set(std::string_view aName, int64_t aValue);
  /// \return all metrics in Prometheus' exposition format
  std::string Text() const;

 private:
  std::map<std::string, std::map<std::string, uint64_t>, std::less<>> mCounters;
  std::map<std::string, LatencyHistogram, std::less<>> mHistograms;
  std::map<std::string, int64_t, std::less<>> mGauges;
};

}  // namespace rillwall
