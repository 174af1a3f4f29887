#include "result_list.h"

#include <algorithm>

namespace rillwall {

namespace {

bool IsKnown(const RolloutResult& aResult) { return !aResult.mItem.empty(); }

}  // namespace

bool ResultList::Add(const ResultPage& aPage) {
  const auto size = static_cast<int64_t>(aPage.mResults.size());
  if (aPage.mFirst < 0 || size > mTotal || aPage.mFirst > mTotal - size) {
    return false;
  }
  const auto first = static_cast<size_t>(aPage.mFirst);
  mResults.resize(std::max(mResults.size(), first + aPage.mResults.size()));
  std::copy(aPage.mResults.begin(), aPage.mResults.end(),
            mResults.begin() + static_cast<std::ptrdiff_t>(first));
  mUnread.erase(aPage.mFirst);
  FindGap();
  return true;
}

void ResultList::AddUnread(int64_t aFirst, int64_t aRevision) {
  mUnread[aFirst] = aRevision;
}

void ResultList::FindGap() {
  mHasGap = !std::all_of(mResults.begin(), mResults.end(), IsKnown);
}

bool ResultList::Has(int64_t aPosition) const {
  return aPosition >= 0 && aPosition < Size() &&
         IsKnown(mResults[static_cast<size_t>(aPosition)]);
}

bool ResultList::Unread(int64_t aPosition) const {
  if (aPosition < Size()) {
    return !Has(aPosition);
  }
  return aPosition < mTotal && mUnread.lower_bound(Size()) != mUnread.end();
}

NextPage ResultList::Next() const {
  const auto gap = std::find_if_not(mResults.begin(), mResults.end(), IsKnown);
  const auto end = std::find_if(gap, mResults.end(), IsKnown);
  NextPage next;
  next.mFirst = gap - mResults.begin();
  next.mRoom = gap == mResults.end() ? static_cast<size_t>(mTotal - Size())
                                     : static_cast<size_t>(end - gap);
  const auto unread = mUnread.find(next.mFirst);
  next.mReplaces = unread == mUnread.end() ? 0 : unread->second;
  return next;
}

}  // namespace rillwall
