#include "rillwall/usage_reporter.h"

#include <algorithm>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

/// Look at what is due: far under the time that a report has.
constexpr Millis kTick{100};
/// A request that was sent in a window is counted once it is answered; its host
/// then tells it with its next question. Clients of plain requests wait 1.5 s.
constexpr Millis kSettle{1600};
/// A host that began to hear of a new lead tells it everything with its next
/// question but one.
constexpr Millis kTakeOver{2500};
/// Share of the time that a report has, in percent, after which it is fixed
/// whoever has not told: the rest is for an outage of the store or of the
/// platform that has just begun.
constexpr int64_t kLastPercent = 70;
constexpr int64_t kPercent = 100;
/// Reports are sent until they are so many times as late as they may be: a late
/// one is of use to the customer's bill still.
constexpr int64_t kKeepTimes = 4;
/// Before a report that was refused, or got no answer, is sent again.
constexpr Millis kFirstPause{150};
constexpr Millis kLongestPause{1000};

}  // namespace

UsageReporter::UsageReporter(NodeContext& aNode, LeadClaim& aLead,
                             UsagePort& aPort)
    : mNode(aNode), mLead(aLead), mPort(aPort), mJitter(0) {}

void UsageReporter::Take(const NodeEntry& aFrom, const std::string& aText) {
  if (aFrom.mTakesClients) {
    mBook.RecordContact(aFrom.mAddress, mNode.Now());
  }
  if (aText.empty()) {
    return;
  }
  const Result<HostUsage> told = DecodeHostUsage(aText);
  if (!told) {
    Event("usage-unread").Text("why", told.error().Detail()).Write();
    return;
  }
  mBook.Told(told->mRun, told->mCounts);
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
    if (MayFix(mNext)) {
      co_await Fix();
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
  // Go on after the last one. Of windows that ended long ago hosts keep no
  // counts; and those before the first were nobody's duty.
  const Millis back = mFixed.empty() ? mLate : mLate * kKeepTimes;
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

bool UsageReporter::MayFix(int64_t aWindow) const {
  const Millis past(mNode.mTimeOfDay() - mNode.mUsage.EndOf(aWindow));
  const Millis now = mNode.Now();
  if (past < kSettle) {
    return false;
  }
  const bool last = past >= mLate * kLastPercent / kPercent;
  const bool known = now - mLeadingSince >= kTakeOver;
  return last || (known && mBook.AllHeardSince(now - past + kSettle, now));
}

UsageReport UsageReporter::Collect() {
  // A lead that takes requests itself tells itself.
  const std::string& run = mNode.mIdentity.mRun;
  mBook.Told(run, mNode.mUsage.UnreportedCounts(run));
  mNode.mUsage.Told();
  return {mNext, mBook.Sum(mNext)};
}

StoreChange UsageReporter::FixingChange(const UsageReport& aReport) const {
  const std::string key = UsageKey(aReport.mWindow);
  StoreChange change;
  change.mGuards = {mLead.Guard(), {key, 0}};
  change.mPuts.push_back({key, EncodeUsageReport(aReport), 0});
  for (const auto& [window, fixed] : mFixed) {
    if (fixed.mTaken) {
      change.mRemoves.push_back(UsageKey(window));
    }
  }
  return change;
}

asio::awaitable<void> UsageReporter::Fix() {
  UsageReport report = Collect();
  const int64_t fence = mFence;
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(FixingChange(report));
  if (!done || fence != mLead.Fence()) {
    // Made again at the next look, or by the next holder. If it was done, the
    // key is there then.
    co_return;
  }
  if (!done->mApplied) {
    const StoreItem* before = done->Find(UsageKey(report.mWindow));
    const Result<UsageReport> known =
        before == nullptr
            ? Error(ErrorKind::Stale, "The lead's claim has changed hands.")
            : DecodeUsageReport(before->mValue);
    if (!known) {
      // What is fixed is read anew if this host still leads.
      mFence = 0;
      co_return;
    }
    report = *known;
  }
  std::erase_if(mFixed,
                [](const auto& aEntry) { return aEntry.second.mTaken; });
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
              static_cast<int64_t>(mBook.ReporterCount(aReport.mWindow)))
      .Number("after_ms", mNode.mTimeOfDay() - end)
      .Flag("by_this_claim", aByThisClaim)
      .Write();
}

asio::awaitable<void> UsageReporter::Send() {
  // Copied, as the answer comes later than another change may.
  std::vector<int64_t> due;
  for (const auto& [window, fixed] : mFixed) {
    if (!fixed.mTaken && mNode.Now() >= fixed.mNextTry) {
      due.push_back(window);
    }
  }
  for (const int64_t window : due) {
    if (!mLead.MayOrder() || mFence != mLead.Fence()) {
      co_return;
    }
    Fixed& fixed = mFixed[window];
    FencingToken claim{mNode.mIdentity.mName, mLead.Fence()};
    const std::optional<Error> failed =
        co_await mPort.Report(fixed.mReport, std::move(claim));
    ++fixed.mTries;
    fixed.mTaken = !failed;
    const Millis pause = BackoffDelay(fixed.mTries, kFirstPause, kLongestPause);
    fixed.mNextTry = mNode.Now() + mJitter.EqualJitter(pause);
    Event("usage-reported")
        .Number("window", window)
        .Number("fence", mFence)
        .Number("tries", fixed.mTries)
        .Number("after_ms", mNode.mTimeOfDay() - mNode.mUsage.EndOf(window))
        .Flag("taken", fixed.mTaken)
        .Text("why", failed ? failed->Detail() : "")
        .Write();
    mNode.mMetrics.Count("usage_reports_total", fixed.mTaken
                                                    ? "outcome=\"taken\""
                                                    : "outcome=\"open\"");
  }
}

void UsageReporter::ForgetOld() {
  const int64_t oldest =
      mNode.mUsage.WindowAt(mNode.mTimeOfDay() - mLate.Count() * kKeepTimes);
  mBook.Forget(oldest, mNode.Now());
  std::erase_if(mFixed, [&](const auto& aEntry) {
    const bool old = aEntry.first < oldest;
    if (old && !aEntry.second.mTaken) {
      Event("usage-unreported")
          .Number("window", aEntry.first)
          .Number("tries", aEntry.second.mTries)
          .Write();
      mNode.mMetrics.Count("usage_reports_total", "outcome=\"given-up\"");
    }
    return old && !aEntry.second.mTaken;
  });
}

}  // namespace rillwall
