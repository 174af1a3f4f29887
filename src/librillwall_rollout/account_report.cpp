#include "rillwall/account_report.h"

#include "rillwall/json.h"
#include "rillwall/request_gate.h"

namespace rillwall {

namespace {

constexpr int kOk = 200;

json::object ToJson(const AccountUse& aUse, Millis aNow) {
  json::object row;
  row["account"] = aUse.mAccount;
  row["priority"] = aUse.mPriority;
  row["admitted"] = aUse.mAdmitted;
  row["waiting"] = aUse.mWaiting;
  row["refused"] = aUse.mRefused;
  row["last_use_ms"] = (aNow - aUse.mLastUse).Count();
  return row;
}

json::object ToJson(const AdmissionCounts& aCounts) {
  json::object row;
  row["service"] = aCounts.mService;
  row["waiting"] = aCounts.mWaiting;
  row["in_flight"] = aCounts.mInFlight;
  row["free_slots"] = aCounts.mFreeSlots;
  row["returns_promised"] = aCounts.mPromised;
  row["returns_kept"] = aCounts.mKept;
  row["refused_by_replicas"] = aCounts.mReplicaRefused;
  return row;
}

}  // namespace

HttpResponse HandleAccountsRequest(const NodeContext& aNode) {
  json::array accounts;
  json::array services;
  if (aNode.mGate) {
    for (const AccountUse& use : aNode.mGate->Control().Accounts()) {
      accounts.emplace_back(ToJson(use, aNode.Now()));
    }
    for (const AdmissionCounts& counts : aNode.mGate->Control().Services()) {
      services.emplace_back(ToJson(counts));
    }
  }
  json::object text;
  text["accounts"] = std::move(accounts);
  text["services"] = std::move(services);
  return HttpResponse::Json(kOk, json::serialize(text));
}

}  // namespace rillwall
