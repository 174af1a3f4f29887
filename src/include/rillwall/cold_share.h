/// \file
/// Rate limit of this host for requests to cold replicas.
///
/// A replica is cold for some time after its start. It crashes if all hosts
/// together send it requests at far more than its rate within any second. A
/// host does not know what the other hosts send, so each host keeps to a fixed
/// share of the rate:
///
/// - Hosts that take clients share one half. If there are more hosts than that
///   half allows requests per second, a hash of host and replica selects the
///   hosts that may use the replica, so that on average at most half of the
///   rate is used.
/// - The host that owns steps has the other half.
///
/// While two hosts both believe that they are the owner, the total is one and a
/// half times the rate.
///
/// A query costs O(1), independent of the number of hosts and replicas. Pure:
/// no I/O and no clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "rillwall/millis.h"

namespace rillwall {

/// Computes how many requests per second this host may send to a cold replica.
class ColdShare {
 public:
  /// \param aHost name of this host
  /// \param aTakesClients true for a host that takes clients, false for one
  /// that sends the texts and scoring calls of steps
  void SetHost(std::string aHost, bool aTakesClients);
  /// \param aHosts number of hosts that take clients; 0 if unknown, in which
  /// case a large number is assumed
  void SetHostCount(size_t aHosts);
  /// \param aRate requests per second that a cold replica accepts from all
  /// hosts together
  /// \return requests that this host may send to the replica within any second
  int64_t PerSecond(const std::string& aReplica, double aRate) const;

 private:
  std::string mHost;
  bool mTakesClients = true;
  size_t mHosts = 0;
};

/// Sliding window over the requests that this host sent to one replica.
class SendWindow {
 public:
  /// Records a request.
  /// \param aLimit limit that Allows() is checked against; older requests
  /// beyond it are forgotten
  void Sent(Millis aNow, int64_t aLimit);
  /// \return whether one more request now keeps every second within aLimit
  /// requests
  bool Allows(int64_t aLimit, Millis aNow) const;

 private:
  std::deque<Millis> mSent;  ///< in order of time, newest last
};

}  // namespace rillwall
