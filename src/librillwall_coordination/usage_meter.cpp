#include "rillwall/usage_meter.h"

#include <algorithm>

namespace rillwall {

namespace {

/// Windows that a host retains after their end. A report is due within about
/// two windows; a new lead that takes over late can still collect them.
constexpr int64_t kRetainedWindows = 8;
/// Silence after which a host counts as gone. A disconnection that lasts longer
/// than a report can wait has no further effect.
constexpr Millis kHostTimeout{30000};

}  // namespace

int64_t UsageMeter::WindowAt(int64_t aWallMs) const {
  return aWallMs / mWindow.Count();
}

int64_t UsageMeter::EndOf(int64_t aNumber) const {
  return (aNumber + 1) * mWindow.Count();
}

void UsageMeter::Count(const std::string& aAccount, int64_t aWallMs) {
  if (!Counts() || aAccount.empty()) {
    return;
  }
  Forget(aWallMs);
  WindowTally& tally = mTallies[WindowAt(aWallMs)];
  ++tally.mCounts[aAccount];
  ++tally.mChanges;
}

void UsageMeter::Forget(int64_t aWallMs) {
  const int64_t oldest = WindowAt(aWallMs) - kRetainedWindows;
  mTallies.erase(mTallies.begin(), mTallies.lower_bound(oldest));
}

WindowCounts UsageMeter::UnreportedCounts(const std::string& aRun) {
  if (aRun != mRun) {
    mRun = aRun;
    for (auto& [window, tally] : mTallies) {
      tally.mAcknowledged = 0;
    }
  }
  WindowCounts unreported;
  for (auto& [window, tally] : mTallies) {
    tally.mLastReported = tally.mChanges;
    if (tally.mAcknowledged != tally.mChanges) {
      unreported[window] = tally.mCounts;
    }
  }
  return unreported;
}

void UsageMeter::RecordAcknowledgement() {
  for (auto& [window, tally] : mTallies) {
    tally.mAcknowledged = tally.mLastReported;
  }
}

bool UsageMeter::AllReported() const {
  return std::all_of(mTallies.begin(), mTallies.end(), [](const auto& aEntry) {
    return aEntry.second.mAcknowledged == aEntry.second.mChanges;
  });
}

void UsageTotals::RecordCounts(const std::string& aRun,
                               const WindowCounts& aCounts) {
  for (const auto& [window, counts] : aCounts) {
    mCounts[aRun][window] = counts;
  }
}

void UsageTotals::RecordContact(const std::string& aAddress, Millis aNow) {
  mLastContacts[aAddress] = aNow;
}

bool UsageTotals::AllContactedSince(Millis aSince, Millis aNow) const {
  return std::all_of(
      mLastContacts.begin(), mLastContacts.end(), [&](const auto& aEntry) {
        return aEntry.second >= aSince || aNow - aEntry.second > kHostTimeout;
      });
}

AccountCounts UsageTotals::Sum(int64_t aWindow) const {
  AccountCounts sum;
  for (const auto& [run, windows] : mCounts) {
    const auto found = windows.find(aWindow);
    if (found == windows.end()) {
      continue;
    }
    for (const auto& [account, count] : found->second) {
      sum[account] += count;
    }
  }
  return sum;
}

size_t UsageTotals::ReporterCount(int64_t aWindow) const {
  return static_cast<size_t>(std::count_if(
      mCounts.begin(), mCounts.end(),
      [&](const auto& aEntry) { return aEntry.second.contains(aWindow); }));
}

void UsageTotals::Forget(int64_t aWindow, Millis aNow) {
  for (auto& [run, windows] : mCounts) {
    windows.erase(windows.begin(), windows.lower_bound(aWindow));
  }
  std::erase_if(mCounts,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::erase_if(mLastContacts, [&](const auto& aEntry) {
    return aNow - aEntry.second > kHostTimeout;
  });
}

}  // namespace rillwall
