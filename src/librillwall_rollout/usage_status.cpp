/// \file
/// Tells operators how far the reports of the accounts' usage are.

#include "rillwall/json.h"
#include "rillwall/usage_reporter.h"

namespace rillwall {

HttpResponse UsageReporter::Status() const {
  constexpr int kOk = 200;
  json::object answer;
  const bool counts = mNode.mUsage.Counts();
  answer["counts"] = counts;
  answer["lead"] = mLead.Held();
  if (!mLead.Held() && mLead.Known()) {
    answer["ask"] = mLead.Known()->mAddress;
  }
  answer["accepted"] = mAccepted;
  json::array windows;
  if (counts && mLead.Held() && mFence == mLead.Fence()) {
    for (const auto& [window, fixed] : mFixed) {
      json::object row;
      row["window"] = window;
      row["state"] = fixed.mAccepted ? "accepted" : "fixed";
      row["accounts"] = fixed.mReport.mCounts.size();
      row["tries"] = fixed.mTries;
      windows.push_back(std::move(row));
    }
    const int64_t last = mNode.mUsage.WindowAt(mNode.mTimeOfDay());
    for (int64_t window = mNext; window <= last; ++window) {
      json::object row;
      row["window"] = window;
      row["state"] = "counted";
      row["accounts"] = mTotals.Sum(window).size();
      row["tries"] = 0;
      windows.push_back(std::move(row));
    }
  }
  answer["windows"] = std::move(windows);
  return HttpResponse::Json(kOk, json::serialize(answer));
}

}  // namespace rillwall
