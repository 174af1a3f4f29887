#include "rillwall/replica_demand.h"

#include <algorithm>

namespace rillwall {

bool ReplicaDemand::Observe(const std::map<std::string, ServiceUse>& aUse) {
  bool more = false;
  for (const auto& [service, use] : aUse) {
    const size_t wanted = use.mReplicas * 2;
    size_t& known = mWanted[service];
    if (use.mTaken * 2 > use.mSlots && wanted > known) {
      known = wanted;
      more = true;
    }
  }
  return more;
}

void ReplicaDemand::Raise(std::map<std::string, size_t>& aWanted) const {
  for (const auto& [service, wanted] : mWanted) {
    size_t& number = aWanted[service];
    number = std::max(number, wanted);
  }
}

}  // namespace rillwall
