/// \file
/// Composition of gossip datagrams from pending updates.

#pragma once

#include <string>
#include <vector>

#include "fact_table.h"
#include "membership_table.h"
#include "membership_updates.h"
#include "rillwall/membership.h"

namespace rillwall {

/// Datagram without its updates.
struct GossipHeader {
  GossipKind mKind = GossipKind::Ping;
  std::string mTo;      ///< "ip:port"
  std::string mTarget;  ///< ID of the member probed; empty: any
  uint64_t mSequence = 0;
};

/// Composes datagrams: first the updates that the receiver in particular needs,
/// then pending ones, up to the limit of bytes.
class GossipComposer {
 public:
  /// \param aTable members; must outlive this object
  /// \param aFacts facts; must outlive this object
  GossipComposer(const MemberTable& aTable, const FactTable& aFacts,
                 const GossipLimits& aLimits)
      : mTable(aTable),
        mFacts(aFacts),
        mMaxUpdateBytes(aLimits.mMaxUpdateBytes) {}

  /// Adds an update to send. A fact too large for a datagram is omitted; the
  /// full exchange transfers it.
  void Add(const Member& aMember);
  void Add(const Fact& aFact);
  /// \param aPriority updates that precede the pending ones
  GossipDatagram Compose(const GossipHeader& aHeader,
                         const std::vector<UpdateKey>& aPriority);
  bool HasUpdates() const { return !mUpdates.IsEmpty(); }
  /// \return number of datagrams that the pending updates would fill
  size_t Backlog() const { return mUpdates.Bytes() / mMaxUpdateBytes; }

 private:
  /// Appends the record of a key if it fits.
  void AppendRecord(const UpdateKey& aKey, GossipMessage& aMessage,
                    size_t& aBytesLeft) const;

  const MemberTable& mTable;
  const FactTable& mFacts;
  size_t mMaxUpdateBytes;
  UpdateQueue mUpdates;
};

}  // namespace rillwall
