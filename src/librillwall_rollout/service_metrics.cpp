#include "rillwall/service_metrics.h"

namespace rillwall {

namespace {

constexpr std::string_view kPrefix = "rillwall_";

void AppendLine(std::string& aOut, std::string_view aName,
                std::string_view aLabels, const std::string& aValue) {
  aOut += kPrefix;
  aOut += aName;
  if (!aLabels.empty()) {
    aOut += '{';
    aOut += aLabels;
    aOut += '}';
  }
  aOut += ' ';
  aOut += aValue;
  aOut += '\n';
}

}  // namespace

void LatencyHistogram::Add(Millis aSpan) {
  ++mCount;
  mSum += aSpan.Count();
  for (size_t i = 0; i < kBounds.size(); ++i) {
    mBuckets[i] += aSpan.Count() <= kBounds[i] ? 1 : 0;
  }
}

void LatencyHistogram::AppendTo(std::string& aOut,
                                std::string_view aName) const {
  const std::string name(aName);
  for (size_t i = 0; i < kBounds.size(); ++i) {
    const std::string bound = "le=\"" + std::to_string(kBounds[i]) + "\"";
    AppendLine(aOut, name + "_bucket", bound, std::to_string(mBuckets[i]));
  }
  AppendLine(aOut, name + "_bucket", "le=\"+Inf\"", std::to_string(mCount));
  AppendLine(aOut, name + "_sum", {}, std::to_string(mSum));
  AppendLine(aOut, name + "_count", {}, std::to_string(mCount));
}

void ServiceMetrics::Count(std::string_view aName, std::string_view aLabels,
                           uint64_t aAmount) {
  auto found = mCounters.find(aName);
  if (found == mCounters.end()) {
    found = mCounters.try_emplace(std::string(aName)).first;
  }
  found->second[std::string(aLabels)] += aAmount;
}

void ServiceMetrics::Measure(std::string_view aName, Millis aSpan) {
  auto found = mHistograms.find(aName);
  if (found == mHistograms.end()) {
    found = mHistograms.try_emplace(std::string(aName)).first;
  }
  found->second.Add(aSpan);
}

void ServiceMetrics::Set(std::string_view aName, int64_t aValue) {
  mGauges.insert_or_assign(std::string(aName), aValue);
}

std::string ServiceMetrics::Text() const {
  std::string out;
  for (const auto& [name, series] : mCounters) {
    out += "# TYPE " + std::string(kPrefix) + name + " counter\n";
    for (const auto& [labels, value] : series) {
      AppendLine(out, name, labels, std::to_string(value));
    }
  }
  for (const auto& [name, value] : mGauges) {
    out += "# TYPE " + std::string(kPrefix) + name + " gauge\n";
    AppendLine(out, name, {}, std::to_string(value));
  }
  for (const auto& [name, histogram] : mHistograms) {
    out += "# TYPE " + std::string(kPrefix) + name + " histogram\n";
    histogram.AppendTo(out, name);
  }
  return out;
}

}  // namespace rillwall
