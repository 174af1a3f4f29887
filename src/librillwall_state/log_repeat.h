/// \file
/// Leaves out log lines that repeat each other within a short time.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "rillwall/millis.h"

namespace rillwall {

/// Decides which lines are written. Not thread-safe.
class LogRepeat {
 public:
  /// \param aKey what makes lines repeats of each other
  /// \return how many repeats were left out since the last one that was
  /// written; nothing if this one is to be left out too
  std::optional<uint64_t> Pass(const std::string& aKey, Millis aNow);

  /// \return the number of keys remembered; it is bounded
  size_t Keys() const { return mSeen.size(); }

 private:
  struct Seen {
    Millis mWritten;
    uint64_t mLeftOut = 0;
  };

  void Forget(Millis aNow);

  std::unordered_map<std::string, Seen> mSeen;
};

}  // namespace rillwall
