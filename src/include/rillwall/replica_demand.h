/// \file
/// How many replicas of each service a host needs, by what it sends them.
///
/// A host among very many replicas begins with the usual number and doubles it
/// when half of the slots that it knows are taken. So what it knows follows its
/// own requests, and not the size of the service.
/// Pure: no I/O and no clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace rillwall {

/// How far the replicas of a service that a host knows are used.
struct ServiceUse {
  size_t mReplicas = 0;
  int64_t mSlots = 0;
  int64_t mTaken = 0;  ///< of these, by requests of all hosts as far as known
  bool operator==(const ServiceUse&) const = default;
};

class ReplicaDemand {
 public:
  /// \param aUse by service
  /// \return whether more replicas are needed than before
  bool Observe(const std::map<std::string, ServiceUse>& aUse);
  /// Raises numbers of replicas to what was observed.
  void Raise(std::map<std::string, size_t>& aWanted) const;

 private:
  std::map<std::string, size_t> mWanted;
};

}  // namespace rillwall
