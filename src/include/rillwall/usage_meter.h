/// \file
/// How many requests of each client account began to run, by window of time.
///
/// Every host that takes requests counts its own (UsageMeter) and tells the
/// lead with its questions for the view: which costs no message, and bytes for
/// accounts with news only. The lead keeps what hosts told, by the start of the
/// process that told it (UsageTotals), and reports a window once: when every
/// host that it hears from has told, or at the last safe moment.
///
/// Counts are told whole for a window, so that telling twice changes nothing,
/// and kept by the host long enough to be told again to a lead that takes over.
/// With H hosts, A accounts and W windows kept, a host tells A numbers a window
/// at most and the lead keeps H x A x W of them; a report is made in H x A.
///
/// What is lost: a host that is killed takes the counts since its last question
/// along.
///
/// Pure: instants and the time of day are arguments.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rillwall/millis.h"

namespace rillwall {

/// Requests by account.
using AccountCounts = std::map<std::string, int64_t>;
/// Counts by the number of a window: the time since 1970 in windows.
using WindowCounts = std::map<int64_t, AccountCounts>;

/// Counts of one host.
class UsageMeter {
 public:
  /// \param aWindow length of a window; 0: nothing is counted
  void SetWindow(Millis aWindow) { mWindow = aWindow; }
  Millis Window() const { return mWindow; }
  bool Counts() const { return mWindow > Millis(0); }
  /// \param aWallMs time of day, in ms since 1970
  int64_t WindowAt(int64_t aWallMs) const;
  /// \return time of day at which a window ends
  int64_t EndOf(int64_t aNumber) const;

  /// A request of an account began to run.
  void Count(const std::string& aAccount, int64_t aWallMs);

  /// \param aRun the lead's process; a new one is told everything anew
  /// \return whole counts of the windows with news for it
  WindowCounts UnreportedCounts(const std::string& aRun);
  /// The lead has taken in what Untold() gave out last.
  void Told();
  /// \return whether the lead that was told last lacks nothing
  bool AllReported() const;

 private:
  struct Tally {
    AccountCounts mCounts;
    int64_t mChanges = 0;  ///< since the process began
    int64_t mOffered = 0;  ///< changes in what Untold() gave out last
    int64_t mTold = 0;     ///< changes that the lead knows
  };
  void Forget(int64_t aWallMs);

  Millis mWindow;
  std::string mRun;  ///< of the lead that is told
  std::map<int64_t, Tally> mTallies;
};

/// What the hosts have told.
class UsageTotals {
 public:
  /// A host told its counts.
  /// \param aRun its process
  void Told(const std::string& aRun, const WindowCounts& aCounts);
  /// A host has told all that it counted until now.
  /// \param aAddress the host
  void RecordContact(const std::string& aAddress, Millis aNow);
  /// \param aSince instant
  /// \return whether each host that was heard lately was heard since then
  bool AllContactedSince(Millis aSince, Millis aNow) const;
  /// \return the sum of a window
  AccountCounts Sum(int64_t aWindow) const;
  /// \return how many processes told something of a window
  size_t ReporterCount(int64_t aWindow) const;
  /// Forgets windows before this one, and hosts that are gone.
  void Forget(int64_t aWindow, Millis aNow);

 private:
  std::map<std::string, WindowCounts> mCounts;  ///< by process
  std::map<std::string, Millis> mHeard;         ///< by address
};

}  // namespace rillwall
