/// \file
/// JSON codec of the orders of replicas, as kept in the store.
///
/// The key rillwall/scale/SERVICE holds the last orders of a service. It is
/// written under the lead's claim before the first call that it covers, so that
/// the next lead continues from it: the platform cannot be asked.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/scale_plan.h"

namespace rillwall {

/// The last orders of a service, and the need that they were made for.
struct ScaleRecord {
  std::vector<ScaleOrder> mOrders;
  SlotNeed mNeed;
  bool operator==(const ScaleRecord&) const = default;
};

/// JSON codec. Decoding returns BadRequest naming the wrong field.
std::string EncodeScaleRecord(const ScaleRecord& aRecord);
Result<ScaleRecord> DecodeScaleRecord(const std::string& aService,
                                      std::string_view aText);

/// \return store key of a service's orders
std::string ScaleKey(const std::string& aService);

}  // namespace rillwall
