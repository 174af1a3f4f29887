/// \file
/// Counts how many requests of each client account started to run, by time
/// window.
///
/// Every host that accepts requests counts its own (UsageMeter). It reports the
/// counts to the lead, the elected host, along with its view requests: that
/// needs no extra message, and bytes only for accounts with new counts. The
/// lead stores the counts by the process that reported them (UsageTotals), and
/// reports each window once: when every host in contact with it has reported,
/// or at the last moment before the report is due.
///
/// Counts of a window are always reported in full, so that repeated reports are
/// idempotent. Hosts retain them long enough to report them again to a new
/// lead. With H hosts, A accounts and W retained windows, a host reports at
/// most A numbers per window, the lead stores H x A x W of them, and a report
/// costs O(H x A).
///
/// A host that is killed loses the counts since its last view request. Pure:
/// the current time and the time of day are arguments.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rillwall/millis.h"

namespace rillwall {

/// Number of requests by account.
using AccountCounts = std::map<std::string, int64_t>;
/// Counts by window number, which is the time since 1970 divided by the window
/// length.
using WindowCounts = std::map<int64_t, AccountCounts>;

/// Counts the requests of one host.
class UsageMeter {
 public:
  /// \param aWindow length of a window; 0: nothing is counted
  void SetWindow(Millis aWindow) { mWindow = aWindow; }
  Millis Window() const { return mWindow; }
  bool Counts() const { return mWindow > Millis(0); }
  /// \param aWallMs time of day, in ms since 1970
  /// \return number of the window that contains it
  int64_t WindowAt(int64_t aWallMs) const;
  /// \return end of a window, in ms since 1970
  int64_t EndOf(int64_t aNumber) const;

  /// Counts a request of an account that started to run.
  void Count(const std::string& aAccount, int64_t aWallMs);

  /// \param aRun process of the lead; a new process is sent all retained
  /// counts again
  /// \return complete counts of the windows with changes that it has not
  /// acknowledged
  WindowCounts UnreportedCounts(const std::string& aRun);
  /// Records that the lead has received the last result of UnreportedCounts().
  void RecordAcknowledgement();
  /// \return whether the lead has received all counts
  bool AllReported() const;

 private:
  struct WindowTally {
    AccountCounts mCounts;
    int64_t mChanges = 0;  ///< changes since the process started
    /// Changes included in the last UnreportedCounts().
    int64_t mLastReported = 0;
    int64_t mAcknowledged = 0;  ///< changes that the lead has received
  };
  void Forget(int64_t aWallMs);

  Millis mWindow;
  std::string mRun;  ///< process of the lead that the counts are reported to
  std::map<int64_t, WindowTally> mTallies;
};

/// Counts reported by all hosts, as collected by the lead.
class UsageTotals {
 public:
  /// Stores the reported counts of a host.
  /// \param aRun process of the host
  void RecordCounts(const std::string& aRun, const WindowCounts& aCounts);
  /// Records that a host has reported everything that it counted until now.
  /// \param aAddress address of the host
  void RecordContact(const std::string& aAddress, Millis aNow);
  /// \return whether every host that made contact recently has made contact
  /// since aSince
  bool AllContactedSince(Millis aSince, Millis aNow) const;
  /// \return the sum of all hosts for a window
  AccountCounts Sum(int64_t aWindow) const;
  /// \return number of processes that reported counts for a window
  size_t ReporterCount(int64_t aWindow) const;
  /// Removes windows before aWindow, and hosts that have timed out.
  void Forget(int64_t aWindow, Millis aNow);

 private:
  std::map<std::string, WindowCounts> mCounts;  ///< by process
  std::map<std::string, Millis> mLastContacts;  ///< by address
};

}  // namespace rillwall
