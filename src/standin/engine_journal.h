/// \file
/// Journal of an engine stand-in for checks by tests: the weight orders that it
/// received, and the streams with the weight versions that produced their
/// tokens.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <string>

#include "engine_core.h"

namespace rillwall::standin {

/// A weight order and its outcome.
struct OrderEntry {
  int64_t mVersion = 0;
  uint64_t mFence = 0;  ///< fencing token of the order
  bool mAccepted = false;
  std::string mOutcome;  ///< "accepted", "stale-fence", "swapped", ...
};

/// Keeps the latest orders and ended streams.
class EngineJournal {
 public:
  void Add(OrderEntry aEntry);
  void Add(StreamHandle aStream);
  /// \return the latest ended stream with this request id, or nullptr
  StreamHandle Find(const std::string& aRequestId) const;
  /// \return the latest stream that ended complete, or nullptr
  StreamHandle LastCompleted() const;
  /// \return the journal as JSON
  /// \param aRunning streams that have not ended, which are listed as well
  boost::json::object ToJson(const std::list<StreamHandle>& aRunning) const;

 private:
  std::deque<OrderEntry> mOrders;
  std::deque<StreamHandle> mStreams;
};

}  // namespace rillwall::standin
