/// \file
/// The listed results of a step by position.
///
/// A page of results in the store may be unreadable, for example because
/// another program has written to its key. The results of the other pages keep
/// their positions. At the owner of an open step, results that end later fill
/// the positions of such a page, as its items run again.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "rillwall/rollout.h"
#include "rillwall/rollout_record.h"

namespace rillwall {

/// Where the next page of results is written.
struct NextPage {
  int64_t mFirst = 0;  ///< position of its first result
  size_t mRoom = 0;    ///< results that it may hold
  /// Revision of the unreadable page that it replaces; 0: there is none.
  int64_t mReplaces = 0;
  bool operator==(const NextPage&) const = default;
};

/// Results by position, with gaps where pages are unreadable.
class ResultList {
 public:
  /// \param aTotal number of items of the step, which no position exceeds
  explicit ResultList(int64_t aTotal = 0) : mTotal(aTotal) {}

  /// Adds a page.
  /// \return false if it does not fit into the step; nothing is added then
  bool Add(const ResultPage& aPage);
  /// Adds a page that can't be read.
  /// \param aFirst position of its first result, from its key
  /// \param aRevision of its key
  void AddUnread(int64_t aFirst, int64_t aRevision);

  /// \return the results in order; those of unreadable pages have no item
  const std::vector<RolloutResult>& All() const { return mResults; }
  /// \return number of positions up to the last result that is known
  int64_t Size() const { return static_cast<int64_t>(mResults.size()); }
  /// \return whether the result at a position is known
  bool Has(int64_t aPosition) const;
  /// \return whether a position belongs to an unreadable page, as far as the
  /// other pages tell: the last one may hold any number of results
  bool Unread(int64_t aPosition) const;
  /// \return whether no page is unreadable
  bool Whole() const { return mUnread.empty() && !mHasGap; }
  NextPage Next() const;

 private:
  void FindGap();

  int64_t mTotal = 0;
  std::vector<RolloutResult> mResults;
  std::map<int64_t, int64_t> mUnread;  ///< revisions, by first position
  bool mHasGap = false;                ///< some position has no result
};

}  // namespace rillwall
