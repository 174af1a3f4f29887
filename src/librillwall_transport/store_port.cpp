#include "rillwall/store_port.h"

namespace rillwall {

const StoreItem* StoreCommit::Find(const std::string& aKey) const {
  for (const StoreItem& item : mCurrent) {
    if (item.mKey == aKey && item.mRevision != 0) {
      return &item;
    }
  }
  return nullptr;
}

asio::awaitable<Result<StoreList>> ListAll(StorePort& aStore,
                                           std::string aPrefix) {
  StoreList all;
  std::string after;
  bool more = true;
  while (more) {
    Result<StoreList> page = co_await aStore.List(aPrefix, after);
    if (!page) {
      co_return page.error();
    }
    if (after.empty()) {
      all.mRevision = page->mRevision;
    }
    more = page->mMore && !page->mItems.empty();
    if (more) {
      after = page->mItems.back().mKey;
    }
    for (StoreItem& item : page->mItems) {
      all.mItems.push_back(std::move(item));
    }
  }
  co_return all;
}

}  // namespace rillwall
