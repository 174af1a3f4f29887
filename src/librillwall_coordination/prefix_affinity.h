/// \file
/// Home engine of a prompt's prefix, by consistent hashing. The caller bounds
/// the load.
///
/// All nodes that know the same engines find the same home without any
/// communication, and a change of one engine moves only its own prefixes. If
/// the home is too loaded, the caller takes the next engine on the ring. A
/// prefix that makes up a large part of a node's calls has several homes.
/// Sans-IO and single-threaded.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// Hash ring of engines. Immutable.
class PrefixRing {
 public:
  PrefixRing() = default;
  /// \param aIds IDs of the engines; results are indexes into this vector
  explicit PrefixRing(const std::vector<std::string>& aIds);

  /// Visits distinct engines in ring order, starting at the home of a prefix.
  /// \param aCount maximum number of engines to visit
  /// \param aTake bool(uint32_t index): whether to stop there
  /// \return whether an engine was taken
  template <class Take>
  bool Visit(uint64_t aPrefix, int aCount, Take&& aTake) const {
    size_t position = FindHome(aPrefix);
    uint32_t last = UINT32_MAX;
    for (size_t step = 0; step < mPoints.size() && aCount > 0; ++step) {
      const uint32_t index = mPoints[position].mIndex;
      position = position + 1 < mPoints.size() ? position + 1 : 0;
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

  size_t FindHome(uint64_t aPrefix) const;

  std::vector<Point> mPoints;  ///< by hash
};

/// Shares of the popular prefixes in the recent calls, decayed over time.
class PrefixShares {
 public:
  /// Counts a call.
  /// \return share of the recent calls that have its prefix, in (0, 1]. It is
  /// underestimated for rare prefixes.
  double Add(uint64_t aPrefix, Millis aNow);

 private:
  struct Entry {
    uint64_t mPrefix = 0;
    double mCount = 0;
    Millis mAt;
  };
  static constexpr size_t kEntries = 512;

  std::array<Entry, kEntries> mEntries;
  Entry mTotal;
};

}  // namespace rillwall
