#include "rillwall/usage_reporter.h"

#include <algorithm>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

/// How often to check what is due; far shorter than the time that a report has.
constexpr Millis kTick{100};
/// A request that was sent in a window is counted once it is answered, and its
/// host reports the count with its next view request. Clients of plain requests
/// wait 1.5 s.
constexpr Millis kSettleDelay{1600};
/// Within this time every host has learned of a new lead and sent it all
/// counts, with its second view request at the latest.
constexpr Millis kTakeoverDelay{2500};
/// Percentage of the report delay after which a report is fixed even if hosts
/// are missing. The rest covers an outage of the store or of the platform that
/// has just begun.
constexpr int64_t kForcedFixPercent = 70;
constexpr int64_t kPercent = 100;
/// A report is sent until it is this many report delays old: a late report is
/// still of use for billing.
constexpr int64_t kRetryFactor = 4;
/// Pauses before a report that was refused or not answered is sent again.
constexpr Millis kFirstPause{150};
constexpr Millis kLongestPause{1000};

}  // namespace

UsageReporter::UsageReporter(NodeContext& aNode, LeadClaim& aLead,
                             UsagePort& aPort)
    : mNode(aNode), mLead(aLead), mPort(aPort), mJitter(0) {}

void UsageReporter::RecordReport(const NodeEntry& aFrom,
                                 const std::string& aText) {
  if (aFrom.mTakesClients) {
    mTotals.RecordContact(aFrom.mAddress, mNode.Now());
  }
  if (aText.empty()) {
    return;
  }
  const Result<HostUsage> usage = DecodeHostUsage(aText);
  if (!usage) {
    Event("usage-unread").Text("why", usage.error().Detail()).Write();
    return;
  }
  mTotals.RecordCounts(usage->mRun, usage->mCounts);
}

asio::awaitable<void> UsageReporter::Run() {
  mJitter = Jitter(std::hash<std::string>()(mNode.mIdentity.mRun));
  while (!mNode.mStopping) {
    co_await Sleep(mNode.mIo, kTick);
    if (!mNode.mUsage.Counts() || !mLead.MayOrder()) {
      continue;
    }
    if (mFence != mLead.Fence()) {
      const bool read = co_await Recover();
      if (!read) {
        continue;
      }
    }
    if (MayFixReport(mNext)) {
      co_await FixReport();
    }
    co_await Send();
    ForgetOld();
  }
}

asio::awaitable<bool> UsageReporter::Recover() {
  const int64_t fence = mLead.Fence();
  const Result<StoreList> list = co_await ListAll(mNode.mStore, UsagePrefix());
  if (!list || fence != mLead.Fence()) {
    Event("usage-unrecovered")
        .Text("why", list ? "the claim has changed" : list.error().Detail())
        .Write();
    co_return false;
  }
  mFixed.clear();
  for (const StoreItem& item : list->mItems) {
    const Result<UsageReport> report = DecodeUsageReport(item.mValue);
    if (report) {
      mFixed[report->mWindow] = {*report};
    }
  }
  // Continue after the last fixed window. Hosts keep no counts of windows that
  // ended long ago, and windows before the first one did not have to be
  // reported.
  const Millis back =
      mFixed.empty() ? mReportDelay : mReportDelay * kRetryFactor;
  mNext = mNode.mUsage.WindowAt(mNode.mTimeOfDay() - back.Count());
  if (!mFixed.empty()) {
    mNext = std::max(mNext, mFixed.rbegin()->first + 1);
  }
  mFence = fence;
  mLeadingSince = mNode.Now();
  Event("usage-duty")
      .Number("fence", mFence)
      .Number("next_window", mNext)
      .Number("fixed", static_cast<int64_t>(mFixed.size()))
      .Write();
  co_return true;
}

bool UsageReporter::MayFixReport(int64_t aWindow) const {
  const Millis past(mNode.mTimeOfDay() - mNode.mUsage.EndOf(aWindow));
  const Millis now = mNode.Now();
  if (past < kSettleDelay) {
    return false;
  }
  const bool forced = past >= mReportDelay * kForcedFixPercent / kPercent;
  const bool known = now - mLeadingSince >= kTakeoverDelay;
  return forced ||
         (known && mTotals.AllContactedSince(now - past + kSettleDelay, now));
}

UsageReport UsageReporter::Collect() {
  // A lead that accepts client requests itself adds its own counts.
  const std::string& run = mNode.mIdentity.mRun;
  mTotals.RecordCounts(run, mNode.mUsage.UnreportedCounts(run));
  mNode.mUsage.RecordAcknowledgement();
  return {mNext, mTotals.Sum(mNext)};
}

StoreChange UsageReporter::FixingChange(const UsageReport& aReport) const {
  const std::string key = UsageKey(aReport.mWindow);
  StoreChange change;
  change.mGuards = {mLead.Guard(), {key, 0}};
  change.mPuts.push_back({key, EncodeUsageReport(aReport), 0});
  for (const auto& [window, fixed] : mFixed) {
    if (fixed.mAccepted) {
      change.mRemoves.push_back(UsageKey(window));
    }
  }
  return change;
}

asio::awaitable<void> UsageReporter::FixReport() {
  UsageReport report = Collect();
  const int64_t fence = mFence;
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(FixingChange(report));
  if (!done || fence != mLead.Fence()) {
    // The next tick or the next holder tries again. If the change was applied,
    // the key is there then.
    co_return;
  }
  if (!done->mApplied) {
    const StoreItem* before = done->Find(UsageKey(report.mWindow));
    const Result<UsageReport> known =
        before == nullptr
            ? Error(ErrorKind::Stale, "Another node holds the lead claim now.")
            : DecodeUsageReport(before->mValue);
    if (!known) {
      // Read the fixed reports again if this host still leads.
      mFence = 0;
      co_return;
    }
    report = *known;
  }
  std::erase_if(mFixed,
                [](const auto& aEntry) { return aEntry.second.mAccepted; });
  LogFixed(report, done->mApplied);
  mFixed[mNext] = {std::move(report)};
  ++mNext;
}

void UsageReporter::LogFixed(const UsageReport& aReport,
                             bool aByThisClaim) const {
  int64_t requests = 0;
  for (const auto& [account, count] : aReport.mCounts) {
    requests += count;
  }
  const int64_t end = mNode.mUsage.EndOf(aReport.mWindow);
  Event("usage-fixed")
      .Number("window", aReport.mWindow)
      .Number("accounts", static_cast<int64_t>(aReport.mCounts.size()))
      .Number("requests", requests)
      .Number("tellers",
              static_cast<int64_t>(mTotals.ReporterCount(aReport.mWindow)))
      .Number("after_ms", mNode.mTimeOfDay() - end)
      .Flag("by_this_claim", aByThisClaim)
      .Write();
}

asio::awaitable<void> UsageReporter::Send() {
  // Copied, as mFixed may change while a call is under way.
  std::vector<int64_t> due;
  for (const auto& [window, fixed] : mFixed) {
    if (!fixed.mAccepted && mNode.Now() >= fixed.mNextTry) {
      due.push_back(window);
    }
  }
  for (const int64_t window : due) {
    if (!mLead.MayOrder() || mFence != mLead.Fence()) {
      co_return;
    }
    FixedReport& fixed = mFixed[window];
    FencingToken claim{mNode.mIdentity.mName, mLead.Fence()};
    const std::optional<Error> failed =
        co_await mPort.Report(fixed.mReport, std::move(claim));
    ++fixed.mTries;
    fixed.mAccepted = !failed;
    mAccepted += failed ? 0 : 1;
    const Millis pause = BackoffDelay(fixed.mTries, kFirstPause, kLongestPause);
    fixed.mNextTry = mNode.Now() + mJitter.EqualJitter(pause);
    Event("usage-reported")
        .Number("window", window)
        .Number("fence", mFence)
        .Number("tries", fixed.mTries)
        .Number("after_ms", mNode.mTimeOfDay() - mNode.mUsage.EndOf(window))
        .Flag("taken", fixed.mAccepted)
        .Text("why", failed ? failed->Detail() : "")
        .Write();
    mNode.mMetrics.Count("usage_reports_total", fixed.mAccepted
                                                    ? "outcome=\"taken\""
                                                    : "outcome=\"open\"");
  }
}

void UsageReporter::ForgetOld() {
  const int64_t oldest = mNode.mUsage.WindowAt(
      mNode.mTimeOfDay() - mReportDelay.Count() * kRetryFactor);
  mTotals.Forget(oldest, mNode.Now());
  std::erase_if(mFixed, [&](const auto& aEntry) {
    const bool old = aEntry.first < oldest;
    if (old && !aEntry.second.mAccepted) {
      Event("usage-unreported")
          .Number("window", aEntry.first)
          .Number("tries", aEntry.second.mTries)
          .Write();
      mNode.mMetrics.Count("usage_reports_total", "outcome=\"given-up\"");
    }
    return old && !aEntry.second.mAccepted;
  });
}

}  // namespace rillwall
