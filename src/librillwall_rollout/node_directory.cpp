#include "rillwall/node_directory.h"

#include <algorithm>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

constexpr char kPrefix[] = "rillwall/node/";
/// Entry hosts sort first: they are many, and a host with a disk that is cut
/// off is most often cut off from the others with disks too.
constexpr char kEntryMark[] = "1 ";
constexpr char kOtherMark[] = "2 ";
constexpr size_t kMarkSize = 2;
/// All nodes start within a second of each other; by then they are listed.
constexpr Millis kFirstRead{3000};
/// Hosts are replaced some times a day; one read a minute is cheap.
constexpr Millis kReadEvery{60000};
constexpr Millis kRetryPause{500};

}  // namespace

asio::awaitable<void> NodeDirectory::Run() {
  bool registered = false;
  while (!registered && !mNode.mStopping) {
    registered = co_await Register();
    if (!registered) {
      co_await Sleep(mNode.mIo, kRetryPause);
    }
  }
  co_await Refresh();
  co_await Sleep(mNode.mIo, kFirstRead);
  while (!mNode.mStopping) {
    co_await Refresh();
    co_await Sleep(mNode.mIo, kReadEvery);
  }
}

asio::awaitable<bool> NodeDirectory::Register() {
  StoreChange change;
  const NodeIdentity& self = mNode.mIdentity;
  const std::string mark = self.mTakesClients ? kEntryMark : kOtherMark;
  change.mPuts.push_back({kPrefix + self.mName, mark + self.mAddress, 0});
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(std::move(change));
  co_return done && done->mApplied;
}

asio::awaitable<void> NodeDirectory::Refresh() {
  const Result<StoreList> list = co_await ListAll(mNode.mStore, kPrefix);
  if (!list) {
    Event("nodes-unread").Text("why", list.error().Detail()).Write();
    co_return;
  }
  std::vector<std::string> values;
  for (const StoreItem& item : list->mItems) {
    values.push_back(item.mValue);
  }
  std::sort(values.begin(), values.end());
  mOthers.clear();
  for (const std::string& value : values) {
    const std::string address = value.substr(kMarkSize);
    if (address != mNode.mIdentity.mAddress) {
      mOthers.push_back(address);
    }
  }
}

}  // namespace rillwall
