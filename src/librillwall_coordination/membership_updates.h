/// \file
/// The queue of news that a node passes on with its datagrams.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rillwall/membership.h"

namespace rillwall {

/// What a piece of news is about. The content is read from the tables when it
/// is sent, so that the newest is sent always.
struct NewsKey {
  enum class Kind { Member, Fact };
  Kind mKind = Kind::Member;
  std::string mName;  ///< member's id or fact's key
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const NewsKey&) const = default;
};

/// \return estimated bytes of a record on the wire
size_t EstimateBytes(const Member& aMember);
size_t EstimateBytes(const Fact& aFact);

/// \return how often one node passes on one piece of news in a fleet of
/// aMembers: a multiple of the logarithm, so that it reaches all but rarely
size_t SendLimit(size_t aMembers);

/// News to pass on. What was sent least often goes first, and among equals the
/// newest; what was sent often enough is dropped.
class NewsQueue {
 public:
  /// Adds news, or starts anew with news that changed.
  void Add(const NewsKey& aKey, size_t aBytes);
  /// Takes news for one datagram and counts it as sent.
  /// \param aBytes at most this many estimated bytes together
  /// \param aLimit drop what has been sent this often
  std::vector<NewsKey> Take(size_t aBytes, size_t aLimit);
  bool IsEmpty() const { return mOrder.empty(); }
  /// \return estimated bytes of all news waiting
  size_t Bytes() const { return mBytes; }

 private:
  /// The place in the order of sending.
  struct Place {
    size_t mSent = 0;
    uint64_t mAge = 0;  ///< less is newer
    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Place&) const = default;
  };
  struct Item {
    NewsKey mKey;
    size_t mBytes = 0;
  };

  std::map<Place, Item> mOrder;
  std::map<NewsKey, Place> mPlaces;
  uint64_t mNextAge = UINT64_MAX;
  size_t mBytes = 0;
};

}  // namespace rillwall
