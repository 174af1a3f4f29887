/// \file
/// Tells operators what is ordered and why.

#include "rillwall/json.h"
#include "rillwall/scale_orders.h"

namespace rillwall {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

json::array GroupsOf(const ScalePlanner& aPlanner, Millis aNow) {
  json::array rows;
  for (const auto& [group, plan] : aPlanner.Groups()) {
    json::object row;
    row["zone"] = group.mZone;
    row["kind"] = group.mSpot ? "spot" : "ordinary";
    row["present"] = plan.mPresent;
    row["leaving"] = plan.mLeaving;
    row["needed"] = plan.mNeeded;
    row["ordered"] = plan.mOrdered;
    row["refused_for_ms"] =
        std::max<int64_t>(0, (plan.mRefusedUntil - aNow).Count());
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace

HttpResponse ScaleOrders::HandleRequest(const HttpRequest& aRequest) const {
  const std::string name = aRequest.Query("service");
  const auto routes = mNode.mRoutes.Read();
  const ServiceSpec* spec = routes->Service(name);
  json::object answer;
  answer["service"] = name;
  if (spec == nullptr) {
    answer["error"] =
        "No service has this name; take one from the operator's "
        "configuration.";
    return HttpResponse::Json(kNotFound, json::serialize(answer));
  }
  const auto fault = mFaults.find(name);
  const auto found = mServices.find(name);
  answer["active"] = mActive;
  answer["scaled"] = spec->mScaling.has_value();
  answer["fault"] = spec->mScalingFault.empty() && fault != mFaults.end()
                        ? fault->second
                        : spec->mScalingFault;
  answer["lead"] = mLead.Held();
  if (!mLead.Held() && mLead.Known()) {
    answer["ask"] = mLead.Known()->mAddress;
  }
  json::array groups;
  if (found != mServices.end()) {
    groups = GroupsOf(found->second->mPlanner, mNode.Now());
    answer["reason"] = found->second->mReason;
    answer["open_orders"] = found->second->mOpen.size();
  }
  answer["groups"] = std::move(groups);
  return HttpResponse::Json(kOk, json::serialize(answer));
}

}  // namespace rillwall
