#include "kv_store.h"

#include <algorithm>

namespace rillwall::standin {

namespace {

const std::string kToEnd(1, '\0');

template <class Value>
bool Compare(CompareResult aResult, const Value& aLeft, const Value& aRight) {
  switch (aResult) {
    case CompareResult::Equal:
      return aLeft == aRight;
    case CompareResult::Greater:
      return aLeft > aRight;
    case CompareResult::Less:
      return aLeft < aRight;
    default:
      return aLeft != aRight;
  }
}

int64_t NumberOf(const StoredEntry& aEntry, CompareTarget aTarget) {
  switch (aTarget) {
    case CompareTarget::Create:
      return aEntry.mCreateRevision;
    case CompareTarget::Mod:
      return aEntry.mModRevision;
    default:
      return aEntry.mVersion;
  }
}

}  // namespace

bool KeyInterval::Contains(const std::string& aKey) const {
  if (mEnd.empty()) {
    return aKey == mBegin;
  }
  return aKey >= mBegin && (mEnd == kToEnd || aKey < mEnd);
}

bool KvStore::Matches(const StoreCompare& aCompare) const {
  const auto found = mEntries.find(aCompare.mKey);
  const bool present = found != mEntries.end();
  if (aCompare.mTarget == CompareTarget::Value) {
    return present &&
           Compare(aCompare.mResult, found->second.mValue, aCompare.mValue);
  }
  const StoredEntry entry = present ? found->second : StoredEntry();
  return Compare(aCompare.mResult, NumberOf(entry, aCompare.mTarget),
                 aCompare.mNumber);
}

Result<void> KvStore::Check(const std::vector<StoreOp>& aOps) const {
  std::set<std::string> written;
  for (const StoreOp& op : aOps) {
    if (op.mKeys.mBegin.empty()) {
      return Error(ErrorKind::BadRequest, "key is not provided");
    }
    if (op.mKind != StoreOpKind::Put) {
      continue;
    }
    if (op.mValue.size() > kMaxValueBytes) {
      return Error(ErrorKind::TooLarge, "request is too large");
    }
    if (op.mLease != 0 && !mLeases.contains(op.mLease)) {
      return Error(ErrorKind::NotFound, "requested lease not found");
    }
    if (!written.insert(op.mKeys.mBegin).second) {
      return Error(ErrorKind::BadRequest, "duplicate key given in txn request");
    }
  }
  return {};
}

Result<StoreTxnResult> KvStore::Run(const StoreTxn& aTxn) {
  StoreTxnResult result;
  result.mSucceeded = std::all_of(
      aTxn.mCompare.begin(), aTxn.mCompare.end(),
      [this](const StoreCompare& aCompare) { return Matches(aCompare); });
  const std::vector<StoreOp>& ops =
      result.mSucceeded ? aTxn.mSuccess : aTxn.mFailure;
  const Result<void> checked = Check(ops);
  if (!checked.has_value()) {
    return checked.error();
  }
  const int64_t revision = mRevision + 1;
  for (const StoreOp& op : ops) {
    result.mResults.push_back(Apply(op, revision));
  }
  return result;
}

StoreOpResult KvStore::Apply(const StoreOp& aOp, int64_t aRevision) {
  StoreOpResult result;
  result.mKind = aOp.mKind;
  switch (aOp.mKind) {
    case StoreOpKind::Range:
      result.mEntries = Select(aOp.mKeys);
      break;
    case StoreOpKind::Put:
      Put(aOp, aRevision);
      break;
    case StoreOpKind::Delete:
      result.mDeleted = Delete(aOp.mKeys, aRevision);
      break;
  }
  return result;
}

std::vector<StoredEntry> KvStore::Select(const KeyInterval& aKeys) const {
  std::vector<StoredEntry> selected;
  for (auto each = mEntries.lower_bound(aKeys.mBegin);
       each != mEntries.end() && aKeys.Contains(each->first); ++each) {
    selected.push_back(each->second);
  }
  return selected;
}

void KvStore::Put(const StoreOp& aOp, int64_t aRevision) {
  StoredEntry& entry = mEntries[aOp.mKeys.mBegin];
  Detach(entry);
  if (entry.mVersion == 0) {
    entry.mKey = aOp.mKeys.mBegin;
    entry.mCreateRevision = aRevision;
  }
  entry.mValue = aOp.mValue;
  entry.mModRevision = aRevision;
  entry.mVersion += 1;
  entry.mLease = aOp.mLease;
  if (aOp.mLease != 0) {
    mLeases[aOp.mLease].mKeys.insert(entry.mKey);
  }
  mRevision = aRevision;
  Record({false, entry});
}

int64_t KvStore::Delete(const KeyInterval& aKeys, int64_t aRevision) {
  const std::vector<StoredEntry> deleted = Select(aKeys);
  for (const StoredEntry& entry : deleted) {
    Detach(entry);
    mEntries.erase(entry.mKey);
    mRevision = aRevision;
    StoreEvent event;
    event.mDeleted = true;
    event.mEntry.mKey = entry.mKey;
    event.mEntry.mModRevision = aRevision;
    Record(std::move(event));
  }
  return static_cast<int64_t>(deleted.size());
}

void KvStore::Detach(const StoredEntry& aEntry) {
  const auto lease = mLeases.find(aEntry.mLease);
  if (lease != mLeases.end()) {
    lease->second.mKeys.erase(aEntry.mKey);
  }
}

void KvStore::Record(StoreEvent aEvent) {
  mHistory.push_back(std::move(aEvent));
  while (mHistory.size() > mHistoryLimit) {
    mCompacted = mHistory.front().mEntry.mModRevision;
    mHistory.pop_front();
  }
}

std::vector<StoreEvent> KvStore::Since(int64_t aRevision,
                                       const KeyInterval& aKeys) const {
  const auto first =
      std::lower_bound(mHistory.begin(), mHistory.end(), aRevision,
                       [](const StoreEvent& aEvent, int64_t aWanted) {
                         return aEvent.mEntry.mModRevision < aWanted;
                       });
  std::vector<StoreEvent> events;
  std::copy_if(first, mHistory.end(), std::back_inserter(events),
               [&aKeys](const StoreEvent& aEvent) {
                 return aKeys.Contains(aEvent.mEntry.mKey);
               });
  return events;
}

Result<int64_t> KvStore::Grant(int64_t aId, Millis aTtl, Millis aNow) {
  if (aTtl <= Millis()) {
    return Error(ErrorKind::BadRequest, "TTL must be positive");
  }
  if (mLeases.contains(aId)) {
    return Error(ErrorKind::Conflict, "lease already exists");
  }
  while (aId == 0 || mLeases.contains(aId)) {
    aId = mNextLease++;
  }
  mLeases[aId] = Lease{aTtl, aNow + aTtl, {}};
  return aId;
}

bool KvStore::Revoke(int64_t aId) {
  const auto found = mLeases.find(aId);
  if (found == mLeases.end()) {
    return false;
  }
  const std::set<std::string> keys = found->second.mKeys;
  mLeases.erase(found);
  const int64_t revision = mRevision + 1;
  for (const std::string& key : keys) {
    Delete(KeyInterval{key, ""}, revision);
  }
  return true;
}

Millis KvStore::KeepAlive(int64_t aId, Millis aNow) {
  const auto found = mLeases.find(aId);
  if (found == mLeases.end()) {
    return Millis();
  }
  found->second.mEnd = aNow + found->second.mTtl;
  return found->second.mTtl;
}

bool KvStore::Expire(Millis aNow) {
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mEnd <= aNow) {
      expired.push_back(id);
    }
  }
  for (const int64_t id : expired) {
    Revoke(id);
  }
  return !expired.empty();
}

}  // namespace rillwall::standin
