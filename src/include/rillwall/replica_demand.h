/// \file
/// Estimates how many replicas of each service a host needs, from the requests
/// that it sends.
///
/// A host of a large service starts with the default number of replicas and
/// doubles it when more than half of the slots that it knows are taken. The
/// number therefore follows the host's own requests and not the size of the
/// service. Pure: no I/O and no clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace rillwall {

/// Utilization of the replicas of one service that a host knows.
struct ServiceUse {
  size_t mReplicas = 0;
  int64_t mSlots = 0;
  /// Slots in use by requests of all hosts, as far as known.
  int64_t mTaken = 0;
  bool operator==(const ServiceUse&) const = default;
};

/// Number of replicas that a host needs, by service.
class ReplicaDemand {
 public:
  /// \param aUse utilization by service
  /// \return whether more replicas are needed than before
  bool Observe(const std::map<std::string, ServiceUse>& aUse);
  /// Raises the numbers of wanted replicas to the observed demand.
  void Raise(std::map<std::string, size_t>& aWanted) const;

 private:
  std::map<std::string, size_t> mWanted;
};

}  // namespace rillwall
