/// \file
/// Reports how many requests of each client account began to run: one report
/// for each window of time, made and sent by the lead.
///
/// A report is fixed in the store, under the lead's claim, before it is first
/// sent; so it is the same whoever sends it, and however often. It is fixed
/// when every host has told what it counted, or at the last safe moment. One
/// call to the store and one to the platform for each window; nothing else
/// while no lead changes.
///
/// What remains unsure, and is said in the log: counts of hosts that were
/// killed or could not be heard; and whether a report was taken that got no
/// answer. That one is sent again, which changes nothing if it was.

#pragma once

#include <functional>
#include <map>
#include <string>

#include "rillwall/backoff.h"
#include "rillwall/lead_claim.h"
#include "rillwall/node_directory.h"
#include "rillwall/usage_record.h"

namespace rillwall {

/// Under which claim a call of a duty is made.
struct FencingToken {
  std::string mHolder;  ///< name of the host that makes it
  int64_t mFence = 0;
  bool operator==(const FencingToken&) const = default;
};

/// The platform's side of the duty. A call is made by this host itself, never
/// through another one: the platform takes hosts for holders.
class UsagePort {
 public:
  virtual ~UsagePort() = default;
  /// \return nothing if the report was taken; an error whose Run() is NotRun if
  /// it was refused
  virtual asio::awaitable<std::optional<Error>> Report(UsageReport aReport,
                                                       FencingToken aClaim) = 0;
};

class UsageReporter {
 public:
  UsageReporter(NodeContext& aNode, LeadClaim& aLead, UsagePort& aPort);

  /// \param aLate then a window's report is due, after its end
  void SetReportDelay(Millis aLate) { mLate = aLate; }
  /// Takes in what a host told.
  /// \param aText whole counts of the windows with news; empty: it has none
  void Take(const NodeEntry& aFrom, const std::string& aText);

  /// Reports while this node leads, until it stops.
  asio::awaitable<void> Run();

 private:
  /// A report that is fixed in the store.
  struct Fixed {
    UsageReport mReport;
    bool mTaken = false;  ///< by the platform
    int mTries = 0;
    Millis mNextTry;
  };
  /// Reads what earlier holders fixed.
  asio::awaitable<bool> Recover();
  /// \return whether the report of a window may be fixed now
  bool MayFix(int64_t aWindow) const;
  /// \return the report of the next window, by what hosts have told
  UsageReport Collect();
  /// \return the change that fixes a report, and removes those taken before
  StoreChange FixingChange(const UsageReport& aReport) const;
  /// Fixes the report of the next window.
  asio::awaitable<void> Fix();
  void LogFixed(const UsageReport& aReport, bool aByThisClaim) const;
  asio::awaitable<void> Send();
  void ForgetOld();

  NodeContext& mNode;
  LeadClaim& mLead;
  UsagePort& mPort;
  Millis mLate{10000};
  UsageTotals mBook;
  Jitter mJitter;
  int64_t mFence = 0;  ///< of the claim for which mFixed was read; 0: none
  Millis mLeadingSince;
  int64_t mNext = 0;  ///< window to be fixed next
  std::map<int64_t, Fixed> mFixed;
};

}  // namespace rillwall
