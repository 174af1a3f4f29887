#include "rillwall/crash_table.h"

#include <algorithm>
#include <tuple>

namespace rillwall {

namespace {

/// \return whether a crash is not of the same moment as an earlier one
bool FollowsCrash(const CrashRecord& aCrash, const CrashRecord& aEarlier) {
  return aCrash.mSentMs == 0 || aCrash.mOrder > aEarlier.mOrder ||
         aCrash.mAtMs >= aEarlier.mAtMs + CrashTable::kSameMomentSpan.Count();
}

}  // namespace

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
  // A request that some host received from a caller is not only owed. The
  // order in which records arrive must not matter.
  const bool owed = aRecord.mOwed && (added || entry.mRecord.mOwed);
  const CrashStanding before = entry.mRecord.Standing();
  const bool raised = added || aRecord.Standing() > before;
  if (!raised && owed == entry.mRecord.mOwed) {
    return false;
  }
  if (raised) {
    mSuspects -= added || before == CrashStanding::Cleared ? 0 : 1;
    mSuspects += aRecord.Standing() == CrashStanding::Cleared ? 0 : 1;
    entry.mRecord = aRecord;
  }
  entry.mRecord.mOwed = owed;
  entry.mNumber = ++mNumber;
  entry.mUnsaved = aLocal;
  return true;
}

bool CrashTable::AddCrash(const CrashRecord& aRecord) {
  const bool changed = Apply(aRecord, true);
  if (changed) {
    Evict();
  }
  if (changed && mOnLocalChange) {
    mOnLocalChange();
  }
  return changed;
}

template <class Predicate, class Change>
size_t CrashTable::Raise(const RequestDigest& aRequest, Predicate aSelects,
                         Change aChange) {
  std::vector<CrashRecord> raised;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    if (aSelects(aRecord)) {
      raised.push_back(aRecord);
    }
  });
  for (CrashRecord& record : raised) {
    aChange(record);
    Apply(record, true);
  }
  if (!raised.empty() && mOnLocalChange) {
    mOnLocalChange();
  }
  return raised.size();
}

size_t CrashTable::Clear(const RequestDigest& aRequest) {
  return Raise(
      aRequest, [](const CrashRecord&) { return true; },
      [](CrashRecord& aRecord) { aRecord.mCleared = true; });
}

size_t CrashTable::PassEvent(const RequestDigest& aRequest, int64_t aEvents) {
  return Raise(
      aRequest,
      [aEvents](const CrashRecord& aRecord) {
        return aRecord.Standing() == CrashStanding::Suspect &&
               aRecord.mEvents < aEvents;
      },
      [](CrashRecord& aRecord) { aRecord.mPassed = true; });
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
  mSuspects -= aAt->second.mRecord.mCleared ? 0 : 1;
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
    return std::tuple(!record.mCleared, record.ByOperator(),
                      CrashesMet(record.mRequest), record.mAtMs);
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
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    count += aRecord.Standing() == CrashStanding::Suspect ? 1 : 0;
  });
  return count;
}

size_t CrashTable::CrashesMet(const RequestDigest& aRequest) const {
  size_t count = 0;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    count += aRecord.ByOperator() ? 0 : 1;
  });
  return count;
}

bool CrashTable::Knows(const RequestDigest& aRequest) const {
  bool any = false;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord&) { any = true; });
  return any;
}

int64_t CrashTable::NextOrder(const RequestDigest& aRequest) const {
  int64_t highest = 0;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    highest = std::max(highest, aRecord.mOrder);
  });
  return highest + 1;
}

std::vector<int64_t> CrashTable::CountingTimes(const RequestDigest& aRequest,
                                               CrashStanding aMost) const {
  std::vector<CrashRecord> records;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    const CrashStanding standing = aRecord.Standing();
    if (!aRecord.mOwed && standing >= CrashStanding::Suspect &&
        standing <= aMost) {
      records.push_back(aRecord);
    }
  });
  std::sort(records.begin(), records.end(),
            [](const CrashRecord& aOne, const CrashRecord& aOther) {
              return std::tie(aOne.mAtMs, aOne.mReplica) <
                     std::tie(aOther.mAtMs, aOther.mReplica);
            });
  std::vector<int64_t> times;
  const CrashRecord* last = nullptr;
  for (const CrashRecord& record : records) {
    if (last == nullptr || FollowsCrash(record, *last)) {
      times.push_back(record.mAtMs);
      last = &record;
    }
  }
  return times;
}

bool CrashTable::Held(const RequestDigest& aRequest) const {
  return HeldUntil(aRequest).has_value();
}

std::optional<int64_t> CrashTable::HeldUntil(
    const RequestDigest& aRequest) const {
  std::optional<int64_t> until;
  // The request is held until fewer records than the limit remain.
  const auto consider = [&](CrashStanding aMost, size_t aLimit) {
    const std::vector<int64_t> times = CountingTimes(aRequest, aMost);
    if (times.size() >= aLimit) {
      const int64_t end =
          times[times.size() - aLimit] + kRecordLifetime.Count();
      until = std::max(until.value_or(end), end);
    }
  };
  consider(CrashStanding::Suspect, kCrashesToHold);
  consider(CrashStanding::Passed, kMaxCrashes);
  return until;
}

Millis CrashTable::HeldFor(const RequestDigest& aRequest,
                           int64_t aNowMs) const {
  const std::optional<int64_t> until = HeldUntil(aRequest);
  return until ? std::max(Millis(*until - aNowMs), Millis(1)) : Millis();
}

Millis CrashTable::HeldByOperatorFor(const RequestDigest& aRequest,
                                     int64_t aNowMs) const {
  Millis left;
  ForEachUnclearedRecord(aRequest, [&](const CrashRecord& aRecord) {
    if (aRecord.ByOperator()) {
      const int64_t until = aRecord.mAtMs + kRecordLifetime.Count();
      left = std::max({left, Millis(until - aNowMs), Millis(1)});
    }
  });
  return left;
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
    return aEntry.second.mUnsaved &&
           aEntry.second.mRecord.Standing() <= CrashStanding::Suspect;
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
    const CrashStanding standing = entry.mRecord.Standing();
    if (standing != CrashStanding::Suspect &&
        standing != CrashStanding::Passed) {
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
