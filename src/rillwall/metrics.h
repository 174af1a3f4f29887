/// \file
/// What a node counts and measures of itself.
///
/// Counters are atomics that any thread adds to. Spans go through
/// Boost.Accumulators behind a mutex; none is taken on the path of a plain
/// call. The text is Prometheus' exposition format.

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rillwall/millis.h"

namespace rillwall {

/// A counter of the fixed list in metrics.cpp.
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

/// A span measured in milliseconds.
enum class Timing {
  FirstToken,
  ServiceCall,
  PullWait,
  SampleAge,
  PolicySpread,
  Count
};

class Metrics {
 public:
  Metrics();
  ~Metrics();
  void Add(Counter aCounter, uint64_t aAmount = 1);
  uint64_t Value(Counter aCounter) const;
  void Measure(Timing aTiming, Millis aSpan);
  /// \return all of it as Prometheus text
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
