/// \file
/// Counters and timings of a node, exported in Prometheus' exposition format.
///
/// Counters are atomics that any thread may increment. Timings use
/// Boost.Accumulators behind a mutex, which each measurement takes once.

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rillwall/millis.h"

namespace rillwall {

/// Counters. metrics.cpp lists their names in the same order.
enum class Counter {
  RequestsInteractive,
  RequestsService,
  RequestsTrainer,
  RequestsRefused,
  AnswersWhole,
  AnswersCut,
  UpstreamCalls,
  UpstreamRetries,
  UpstreamResumes,
  Preemptions,
  GroupsRun,
  GroupsDelivered,
  SamplesDelivered,
  SamplesStaleDropped,
  TokensGenerated,
  PullsAnswered,
  PullsSuperseded,
  ChargesRun,
  ChargesReplayed,
  ChargesRefused,
  ChargesUnknown,
  OrdersSent,
  OrdersRefused,
  Takeovers,
  PolicyChanges,
  PolicyFetches,
  GossipSentBytes,
  GossipReceivedBytes,
  PeerCalls,
  ChecksLabel,
  ChecksStaleness,
  ChecksExactlyOnce,
  ChecksOwnAnswer,
  ChecksAtMostOnce,
  ChecksPolicyOrder,
  BrokenInvariants,
  Count
};

/// Timings in milliseconds. metrics.cpp lists their names in the same order.
enum class Timing {
  FirstToken,
  ServiceCall,
  PullWait,
  SampleAge,
  PolicySpread,
  Count
};

/// Holds the metrics of one node. All methods may be called on any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  void Add(Counter aCounter, uint64_t aAmount = 1);
  uint64_t Value(Counter aCounter) const;
  /// Adds one duration to a timing.
  void Measure(Timing aTiming, Millis aSpan);
  /// \return all metrics as Prometheus text
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
