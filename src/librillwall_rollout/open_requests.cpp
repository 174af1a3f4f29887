#include "rillwall/open_requests.h"

#include <utility>

namespace rillwall {

OpenRequests::Entry::Entry(OpenRequests& aAll, std::function<void()> aOnEnd)
    : mAll(aAll), mOnEnd(std::move(aOnEnd)) {
  mPlace = mAll.mEntries.insert(mAll.mEntries.end(), this);
}

bool OpenRequests::Entry::BeginResponse() {
  Leave();
  return !mEnded;
}

void OpenRequests::Entry::Leave() {
  if (mPlace) {
    mAll.mEntries.erase(*mPlace);
    mPlace.reset();
  }
}

void OpenRequests::EndAll() {
  while (!mEntries.empty()) {
    Entry& entry = *mEntries.front();
    entry.Leave();
    entry.mEnded = true;
    entry.mOnEnd();
  }
}

}  // namespace rillwall
