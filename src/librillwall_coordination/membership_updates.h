/// \file
/// Queue of the updates that a node gossips with its datagrams.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rillwall/membership.h"

namespace rillwall {

/// Identifies the member or fact that an update is about. The contents are read
/// from the tables when the update is sent, so the newest are always sent.
struct UpdateKey {
  enum class Kind { Member, Fact };
  Kind mKind = Kind::Member;
  std::string mName;  ///< ID of the member or key of the fact
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const UpdateKey&) const = default;
};

/// \return estimated size of a record on the wire in bytes
size_t EstimateBytes(const Member& aMember);
size_t EstimateBytes(const Fact& aFact);

/// \return how often a node sends one update in a fleet of aMembers: a multiple
/// of the logarithm, so that with high probability the update reaches all
size_t SendLimit(size_t aMembers);

/// Pending updates. Those sent least often come first and, among equals, the
/// newest. Updates that were sent often enough are dropped.
class UpdateQueue {
 public:
  /// Adds an update. An update that is already pending counts as not sent yet.
  void Add(const UpdateKey& aKey, size_t aBytes);
  /// Takes updates for one datagram and counts them as sent.
  /// \param aBytes maximum total of estimated bytes
  /// \param aLimit number of times after which an update is dropped
  std::vector<UpdateKey> Take(size_t aBytes, size_t aLimit);
  bool IsEmpty() const { return mOrder.empty(); }
  /// \return estimated bytes of all pending updates
  size_t Bytes() const { return mBytes; }

 private:
  /// Position in the order of sending.
  struct Position {
    size_t mSent = 0;
    uint64_t mAge = 0;  ///< lower is newer
    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Position&) const = default;
  };
  struct Item {
    UpdateKey mKey;
    size_t mBytes = 0;
  };

  std::map<Position, Item> mOrder;
  std::map<UpdateKey, Position> mPositions;
  uint64_t mNextAge = UINT64_MAX;
  size_t mBytes = 0;
};

}  // namespace rillwall
