/// \file
/// Which engine is home to a prompt's prefix: consistent hashing, with the
/// load bounded by its caller.
///
/// Every node that knows the same engines finds the same home, without
/// exchange; a change of one engine moves only its own prefixes. A caller that
/// finds the home too loaded takes the next engine of the ring. A prefix that
/// is a large part of a node's calls has several homes.
/// Sans-IO and single-threaded.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// The engines on a ring. Immutable once made.
class PrefixRing {
 public:
  PrefixRing() = default;
  /// \param aIds the engines' ids; results are indexes into it
  explicit PrefixRing(const std::vector<std::string>& aIds);

  /// Visits distinct engines from a prefix's home on.
  /// \param aCount engines to visit at most
  /// \param aTake bool(uint32_t index): whether to stop there
  /// \return whether one was taken
  template <class Take>
  bool Visit(uint64_t aPrefix, int aCount, Take&& aTake) const {
    size_t place = Home(aPrefix);
    uint32_t last = UINT32_MAX;
    for (size_t step = 0; step < mPoints.size() && aCount > 0; ++step) {
      const uint32_t index = mPoints[place].mIndex;
      place = place + 1 < mPoints.size() ? place + 1 : 0;
      if (index == last) {
        continue;
      }
      last = index;
      --aCount;
      if (aTake(index)) {
        return true;
      }
    }
    return false;
  }

 private:
  struct Point {
    uint64_t mHash = 0;
    uint32_t mIndex = 0;
    bool operator<(const Point& aOther) const {
      return mHash != aOther.mHash ? mHash < aOther.mHash
                                   : mIndex < aOther.mIndex;
    }
  };

  size_t Home(uint64_t aPrefix) const;

  std::vector<Point> mPoints;  ///< by hash
};

/// Which part of the recent calls each popular prefix makes up.
class PrefixShares {
 public:
  /// Counts a call.
  /// \return the part of recent calls that have its prefix, in (0, 1]; less
  /// than the truth for rare prefixes
  double Add(uint64_t aPrefix, Millis aNow);

 private:
  struct Entry {
    uint64_t mPrefix = 0;
    double mCount = 0;
    Millis mAt;
  };
  static constexpr size_t kEntries = 512;

  std::array<Entry, kEntries> mEntries;
  Entry mAll;
};

}  // namespace rillwall
