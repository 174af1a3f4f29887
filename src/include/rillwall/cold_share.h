/// \file
/// Which part of what a cold replica takes belongs to this host.
///
/// A replica that has just started is cold. It ends if all hosts together send
/// it requests at far more than its rate in any second. No host knows what the
/// others send, so each keeps to a part of the rate:
///
/// - hosts that take clients share half of it. If there are more of them than
///   that allows requests a second, a hash of host and replica decides which of
///   them may use the replica, so that on average no more than half is used;
/// - the host that owns steps has the other half.
///
/// While two hosts take themselves for the owner, that makes one and a half
/// times the rate.
///
/// A look costs O(1), whatever the number of hosts and replicas.
/// Pure: no I/O and no clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "rillwall/millis.h"

namespace rillwall {

class ColdShare {
 public:
  /// \param aTakesClients else it sends the texts and scores of steps
  void SetHost(std::string aHost, bool aTakesClients);
  /// \param aHosts that take clients; 0: unknown, many are assumed
  void SetHostCount(size_t aHosts);
  /// \param aRate requests a second that a cold replica takes from all hosts
  /// \return requests that this host may send to it within any second
  int64_t PerSecond(const std::string& aReplica, double aRate) const;

 private:
  std::string mHost;
  bool mTakesClients = true;
  size_t mHosts = 0;
};

/// What this host sent to one replica lately.
class SendWindow {
 public:
  /// Counts a request.
  /// \param aMost that are looked at; older ones are forgotten
  void Sent(Millis aNow, int64_t aMost);
  /// \return whether one more leaves no second with more than this
  bool Allows(int64_t aMost, Millis aNow) const;

 private:
  std::deque<Millis> mSent;  ///< the newest last
};

}  // namespace rillwall
