/// \file
/// Fills datagrams with what is to be told.

#pragma once

#include <string>
#include <vector>

#include "fact_table.h"
#include "membership_table.h"
#include "membership_updates.h"
#include "rillwall/membership.h"

namespace rillwall {

/// A datagram without its news.
struct GossipHead {
  GossipKind mKind = GossipKind::Ping;
  std::string mTo;      ///< "ip:port"
  std::string mTarget;  ///< id of the member probed; empty: whoever is there
  uint64_t mSequence = 0;
};

/// Makes datagrams: first what the receiver in particular should know, then
/// the news waiting, all within the limit of bytes.
class GossipComposer {
 public:
  /// \param aTable and \param aFacts where contents are read; they outlive this
  GossipComposer(const MemberTable& aTable, const FactTable& aFacts,
                 const GossipLimits& aLimits)
      : mTable(aTable), mFacts(aFacts), mMaxNewsBytes(aLimits.mMaxNewsBytes) {}

  /// Adds news to be passed on. A fact that no datagram can hold is left to
  /// the full exchange.
  void Add(const Member& aMember);
  void Add(const Fact& aFact);
  /// \param aFirst what comes before the news waiting
  GossipDatagram Compose(const GossipHead& aHead,
                         const std::vector<NewsKey>& aFirst);
  bool HasNews() const { return !mNews.IsEmpty(); }
  /// \return datagrams that the news waiting would fill
  size_t Backlog() const { return mNews.Bytes() / mMaxNewsBytes; }

 private:
  void Put(const NewsKey& aKey, GossipMessage& aMessage, size_t& aRoom) const;

  const MemberTable& mTable;
  const FactTable& mFacts;
  size_t mMaxNewsBytes;
  NewsQueue mNews;
};

}  // namespace rillwall
