#include "metrics.h"

// Boost's quantile header uses std::ostringstream without including it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>

namespace rillwall {

namespace {

namespace acc = boost::accumulators;

using Distribution = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

constexpr std::array<const char*, static_cast<size_t>(Counter::Count)>
    kCounterNames = {
        "requests_interactive_total", "requests_service_total",
        "requests_trainer_total",     "requests_refused_total",
        "answers_whole_total",        "answers_cut_total",
        "upstream_calls_total",       "upstream_retries_total",
        "upstream_resumes_total",     "preemptions_total",
        "groups_run_total",           "groups_delivered_total",
        "samples_delivered_total",    "samples_stale_dropped_total",
        "tokens_generated_total",     "pulls_answered_total",
        "pulls_superseded_total",     "charges_run_total",
        "charges_replayed_total",     "charges_refused_total",
        "charges_unknown_total",      "orders_sent_total",
        "orders_refused_total",       "takeovers_total",
        "policy_changes_total",       "policy_fetches_total",
        "gossip_sent_bytes_total",    "gossip_received_bytes_total",
        "peer_calls_total",           "checks_label_total",
        "checks_staleness_total",     "checks_exactly_once_total",
        "checks_own_answer_total",    "checks_at_most_once_total",
        "checks_policy_order_total",  "broken_invariants_total"};

constexpr std::array<const char*, static_cast<size_t>(Timing::Count)>
    kTimingNames = {"first_token_ms", "service_call_ms", "pull_wait_ms",
                    "sample_age_ms", "policy_spread_ms"};

Distribution MakeDistribution() {
  return Distribution(acc::extended_p_square_probabilities = kQuantiles);
}

}  // namespace

struct Metrics::Impl {
  std::array<std::atomic<uint64_t>, kCounterNames.size()> mCounters{};
  mutable std::mutex mMutex;
  std::vector<Distribution> mDistributions{kTimingNames.size(),
                                           MakeDistribution()};
};

Metrics::Metrics() : mImpl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Add(Counter aCounter, uint64_t aAmount) {
  mImpl->mCounters[static_cast<size_t>(aCounter)].fetch_add(
      aAmount, std::memory_order_relaxed);
}

uint64_t Metrics::Value(Counter aCounter) const {
  return mImpl->mCounters[static_cast<size_t>(aCounter)].load(
      std::memory_order_relaxed);
}

void Metrics::Measure(Timing aTiming, Millis aSpan) {
  const std::lock_guard lock(mImpl->mMutex);
  mImpl->mDistributions[static_cast<size_t>(aTiming)](
      static_cast<double>(aSpan.Count()));
}

std::string Metrics::Text() const {
  std::ostringstream text;
  for (size_t i = 0; i < kCounterNames.size(); ++i) {
    text << "# TYPE rillwall_" << kCounterNames[i] << " counter\n"
         << "rillwall_" << kCounterNames[i] << ' '
         << mImpl->mCounters[i].load(std::memory_order_relaxed) << '\n';
  }
  const std::lock_guard lock(mImpl->mMutex);
  for (size_t i = 0; i < kTimingNames.size(); ++i) {
    const Distribution& distribution = mImpl->mDistributions[i];
    const auto count = acc::count(distribution);
    text << "# TYPE rillwall_" << kTimingNames[i] << " summary\n";
    for (const double quantile : kQuantiles) {
      text << "rillwall_" << kTimingNames[i] << "{quantile=\"" << quantile
           << "\"} "
           << (count == 0 ? 0.0
                          : acc::quantile(distribution,
                                          acc::quantile_probability = quantile))
           << '\n';
    }
    text << "rillwall_" << kTimingNames[i] << "_sum " << acc::sum(distribution)
         << '\n'
         << "rillwall_" << kTimingNames[i] << "_count " << count << '\n';
  }
  return text.str();
}

}  // namespace rillwall
