/// \file
/// Reports to the platform how many requests of each client account began to
/// run. The lead makes and sends one report for each window of time.
///
/// A report is fixed in the store, under the lead's claim, before it is first
/// sent. It is therefore the same whoever sends it and however often. It is
/// fixed when every host has reported its counts, or at the last safe moment.
/// Each window costs one call to the store and one to the platform; there are
/// no other calls while the lead does not change.
///
/// Two things remain uncertain, and the log names them: the counts of hosts
/// that were killed or could not be reached, and whether a report without an
/// answer was accepted. Such a report is sent again, which changes nothing if
/// it was accepted.

#pragma once

#include <functional>
#include <map>
#include <string>

#include "rillwall/backoff.h"
#include "rillwall/lead_claim.h"
#include "rillwall/node_directory.h"
#include "rillwall/usage_record.h"

namespace rillwall {

/// The lead claim under which a call to the platform is made.
struct FencingToken {
  std::string mHolder;  ///< name of the host that makes the call
  int64_t mFence = 0;
  bool operator==(const FencingToken&) const = default;
};

/// The platform's interface for usage reports. Each host makes its calls
/// itself, never through another host, as the platform identifies the holder by
/// the calling host.
class UsagePort {
 public:
  virtual ~UsagePort() = default;
  /// Sends a report.
  /// \return nothing if the report was accepted; an error whose Run() is NotRun
  /// if it was refused
  virtual asio::awaitable<std::optional<Error>> Report(UsageReport aReport,
                                                       FencingToken aClaim) = 0;
};

/// Collects the hosts' counts and reports them while this node leads.
class UsageReporter {
 public:
  UsageReporter(NodeContext& aNode, LeadClaim& aLead, UsagePort& aPort);

  /// \param aDelay time after a window's end at which its report is due
  void SetReportDelay(Millis aDelay) { mReportDelay = aDelay; }
  /// Records the counts that a host reported.
  /// \param aText whole counts of the windows that changed; empty if the host
  /// has no new counts
  void RecordReport(const NodeEntry& aFrom, const std::string& aText);

  /// Path of the state of the reports.
  static constexpr char kPath[] = "/node/usage";
  /// \return the windows that are counted, fixed and accepted, as JSON
  HttpResponse Status() const;

  /// Sends reports while this node leads. Runs until the node stops.
  asio::awaitable<void> Run();

 private:
  /// A report that is fixed in the store.
  struct FixedReport {
    UsageReport mReport;
    bool mAccepted = false;  ///< the platform has accepted it
    int mTries = 0;
    Millis mNextTry;
  };
  /// Reads the reports that earlier holders of the claim fixed.
  /// \return whether the store answered
  asio::awaitable<bool> Recover();
  /// \return whether the report of a window may be fixed now
  bool MayFixReport(int64_t aWindow) const;
  /// \return the report of the next window from the counts that hosts have
  /// reported
  UsageReport Collect();
  /// \return the change that fixes a report and removes the reports that the
  /// platform has accepted
  StoreChange FixingChange(const UsageReport& aReport) const;
  /// Fixes the report of the next window.
  asio::awaitable<void> FixReport();
  void LogFixed(const UsageReport& aReport, bool aByThisClaim) const;
  /// Sends the fixed reports that are due.
  asio::awaitable<void> Send();
  /// Gives up reports that are too old, and forgets their counts.
  void ForgetOld();

  NodeContext& mNode;
  LeadClaim& mLead;
  UsagePort& mPort;
  int64_t mAccepted = 0;  ///< reports that the platform accepted from this node
  Millis mReportDelay{10000};
  UsageTotals mTotals;
  Jitter mJitter;
  int64_t mFence = 0;  ///< of the claim for which mFixed was read; 0: none
  Millis mLeadingSince;
  int64_t mNext = 0;  ///< next window to be fixed
  /// Fixed reports that may still have to be sent, by window.
  std::map<int64_t, FixedReport> mFixed;
};

}  // namespace rillwall
