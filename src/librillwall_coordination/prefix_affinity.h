/// \file
/// Which engine is home to a prompt's prefix: consistent hashing, with the
/// load bounded by its caller.
///
/// Every node that knows the same engines finds the same home, without
/// exchange; a change of one engine moves only its own prefixes. A caller that
/// finds the home too loaded takes the next engine of the ring.
/// Sans-IO; immutable once made.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rillwall {

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
    auto operator<=>(const Point&) const = default;
  };

  size_t Home(uint64_t aPrefix) const;

  std::vector<Point> mPoints;  ///< by hash
};

}  // namespace rillwall
