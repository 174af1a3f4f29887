/// \file
/// Suppresses log lines that repeat within a short time.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "rillwall/millis.h"

namespace rillwall {

/// Decides which lines are written. Not thread-safe.
class LogRepeatFilter {
 public:
  /// \param aKey lines with equal keys are repeats of each other
  /// \return number of repeats suppressed since the last written line; nothing
  /// if this line is suppressed too
  std::optional<uint64_t> Pass(const std::string& aKey, Millis aNow);

  /// \return the number of remembered keys; it is bounded
  size_t KeyCount() const { return mKeys.size(); }

 private:
  struct KeyState {
    Millis mLastWritten;
    uint64_t mSuppressed = 0;
  };

  /// Drops keys that no longer suppress lines; all keys if that frees none.
  void Prune(Millis aNow);

  std::unordered_map<std::string, KeyState> mKeys;
};

}  // namespace rillwall
