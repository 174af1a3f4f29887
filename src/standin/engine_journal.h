/// \file
/// What an engine stand-in did, for checks: orders, and streams with the
/// weight versions that produced their tokens.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <string>

#include "engine_core.h"

namespace rillwall::standin {

/// One order as it was met.
struct OrderEntry {
  int64_t mVersion = 0;
  uint64_t mFence = 0;
  bool mAccepted = false;
  std::string mOutcome;  ///< "accepted", "stale-fence", "swapped", ...
};

class EngineJournal {
 public:
  void Add(OrderEntry aEntry);
  void Add(StreamHandle aStream);
  /// \return the latest ended stream with this request id, or nothing
  StreamHandle Find(const std::string& aRequestId) const;
  /// \return a whole stream that ended earlier, or nothing
  StreamHandle Earlier() const;
  /// \param aRunning streams that have not ended
  boost::json::object Text(const std::list<StreamHandle>& aRunning) const;

 private:
  std::deque<OrderEntry> mOrders;
  std::deque<StreamHandle> mStreams;
};

}  // namespace rillwall::standin
