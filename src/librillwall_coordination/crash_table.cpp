#include "rillwall/crash_table.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>

namespace rillwall {

template <class Action>
void CrashTable::ForEachUnclearedRecord(const RequestDigest& aRequest,
                                        Action aAction) const {
  for (auto at = mRecords.lower_bound({aRequest, {}});
       at != mRecords.end() && at->first.mRequest == aRequest; ++at) {
    if (!at->second.mRecord.mCleared) {
      aAction(at->second.mRecord);
    }
  }
}

bool CrashTable::Apply(const CrashRecord& aRecord, bool aLocal) {
  const auto [at, added] =
      mRecords.try_emplace({aRecord.mRequest, aRecord.mReplica});
  Entry& entry = at->second;
  const bool clears = aRecord.mCleared && !entry.mRecord.mCleared;
  if (!added && !clears) {
    return false;
  }
  if (added) {
    entry.mRecord = aRecord;
    Crash& crash = mCrashes[aRecord.mReplica];
    crash.mAtMs = crash.mRecords == 0 ? aRecord.mAtMs : crash.mAtMs;
    ++crash.mRecords;
    crash.mUncleared += aRecord.mCleared ? 0 : 1;
    mSuspects += aRecord.mCleared ? 0 : 1;
  } else {
    entry.mRecord.mCleared = true;
    --mCrashes[aRecord.mReplica].mUncleared;
    --mSuspects;
  }
  entry.mNumber = ++mNumber;
  entry.mUnsaved = aLocal;
  return true;
}

bool CrashTable::AddCrash(CrashRecord aRecord) {
  const bool changed = Apply(aRecord, true);
  if (changed) {
    Evict();
  }
  if (changed && mOnLocalChange) {
    mOnLocalChange();
  }
  return changed;
}

template <class Predicate>
size_t CrashTable::ClearIf(const RequestDigest& aRequest, Predicate aSelects) {
  std::vector<CrashRecord> cleared;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    if (aSelects(aRecord)) {
      cleared.push_back(aRecord);
    }
  });
  for (CrashRecord& record : cleared) {
    record.mCleared = true;
    Apply(record, true);
  }
  if (!cleared.empty() && mOnLocalChange) {
    mOnLocalChange();
  }
  return cleared.size();
}

size_t CrashTable::Clear(const RequestDigest& aRequest) {
  return ClearIf(aRequest, [](const CrashRecord&) { return true; });
}

size_t CrashTable::ClearBefore(const RequestDigest& aRequest, int64_t aEvents) {
  return ClearIf(aRequest, [aEvents](const CrashRecord& aRecord) {
    return aRecord.mEvents < aEvents;
  });
}

std::vector<CrashRecord> CrashTable::Merge(
    const std::vector<CrashRecord>& aRecords) {
  std::vector<CrashRecord> changed;
  for (const CrashRecord& record : aRecords) {
    if (Apply(record, false)) {
      changed.push_back(record);
    }
  }
  Evict();
  return changed;
}

CrashTable::Entries::iterator CrashTable::Erase(Entries::iterator aAt) {
  const size_t uncleared = aAt->second.mRecord.mCleared ? 0 : 1;
  mSuspects -= uncleared;
  const auto crash = mCrashes.find(aAt->first.mReplica);
  crash->second.mUncleared -= uncleared;
  if (--crash->second.mRecords == 0) {
    mCrashes.erase(crash);
  }
  return mRecords.erase(aAt);
}

void CrashTable::Forget(int64_t aNowMs) {
  const int64_t oldest = aNowMs - kRecordLifetime.Count();
  for (auto at = mRecords.begin(); at != mRecords.end();) {
    at = at->second.mRecord.mAtMs < oldest ? Erase(at) : std::next(at);
  }
}

void CrashTable::Evict() {
  const auto keepRank = [this](Entries::iterator aAt) {
    const CrashRecord& record = aAt->second.mRecord;
    return std::tuple(!record.mCleared, Crashes(record.mRequest), record.mAtMs);
  };
  while (mRecords.size() > kMaxRecords) {
    auto lowest = mRecords.begin();
    for (auto at = mRecords.begin(); at != mRecords.end(); ++at) {
      lowest = keepRank(at) < keepRank(lowest) ? at : lowest;
    }
    Erase(lowest);
  }
}

size_t CrashTable::Crashes(const RequestDigest& aRequest) const {
  size_t count = 0;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord&) { ++count; });
  return count;
}

bool CrashTable::CrashedWithoutCauseNear(const CrashRecord& aRecord) const {
  return std::any_of(mCrashes.begin(), mCrashes.end(), [&](const auto& aEntry) {
    const auto& [replica, crash] = aEntry;
    return crash.mUncleared == 0 &&
           std::abs(crash.mAtMs - aRecord.mAtMs) <= kSameCauseSpan.Count() &&
           !mRecords.contains({aRecord.mRequest, replica});
  });
}

std::vector<int64_t> CrashTable::CountingTimes(
    const RequestDigest& aRequest) const {
  std::vector<int64_t> times;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    // An operator's hold counts whatever has crashed.
    if (aRecord.mEvents == CrashRecord::kAllEvents ||
        !CrashedWithoutCauseNear(aRecord)) {
      times.push_back(aRecord.mAtMs);
    }
  });
  return times;
}

Millis CrashTable::HeldFor(const RequestDigest& aRequest,
                           int64_t aNowMs) const {
  std::vector<int64_t> times = CountingTimes(aRequest);
  if (times.size() < kCrashesToHold) {
    return {};
  }
  // The request is held until fewer than kCrashesToHold records remain.
  std::sort(times.rbegin(), times.rend());
  const Millis left(times[kCrashesToHold - 1] + kRecordLifetime.Count() -
                    aNowMs);
  return std::max(left, Millis(1));
}

std::vector<CrashRecord> CrashTable::Since(int64_t aNumber) const {
  std::vector<CrashRecord> records;
  for (const auto& [key, entry] : mRecords) {
    if (entry.mNumber > aNumber) {
      records.push_back(entry.mRecord);
    }
  }
  return records;
}

std::vector<CrashRecord> CrashTable::Unsaved(size_t aLimit) const {
  std::vector<CrashRecord> records;
  for (const auto& [key, entry] : mRecords) {
    if (records.size() == aLimit) {
      break;
    }
    if (entry.mUnsaved) {
      records.push_back(entry.mRecord);
    }
  }
  return records;
}

bool CrashTable::UnsavedIsUrgent() const {
  return std::any_of(mRecords.begin(), mRecords.end(), [](const auto& aEntry) {
    return aEntry.second.mUnsaved && !aEntry.second.mRecord.mCleared;
  });
}

void CrashTable::MarkSaved(const std::vector<CrashRecord>& aRecords) {
  for (const CrashRecord& record : aRecords) {
    const auto at = mRecords.find({record.mRequest, record.mReplica});
    // The record may have been cleared while it was written.
    if (at != mRecords.end() && at->second.mRecord == record) {
      at->second.mUnsaved = false;
    }
  }
}

std::vector<Suspect> CrashTable::Suspects() const {
  std::vector<Suspect> suspects;
  for (const auto& [key, entry] : mRecords) {
    if (entry.mRecord.mCleared) {
      continue;
    }
    if (suspects.empty() || suspects.back().mRequest != key.mRequest) {
      suspects.push_back({key.mRequest, {}, Held(key.mRequest)});
    }
    suspects.back().mRecords.push_back(entry.mRecord);
  }
  return suspects;
}

}  // namespace rillwall
