#include "rillwall/load_status.h"

#include <cmath>

#include "rillwall/json.h"
#include "rillwall/relay.h"

namespace rillwall {

namespace {

constexpr int kOk = 200;

json::object ToJson(const ReplicaFigures& aFigures) {
  json::object row;
  row["replica"] = aFigures.mReplica->mId;
  row["zone"] = aFigures.mReplica->mZone;
  if (aFigures.mReport) {
    row["running"] = aFigures.mReport->mRunning;
    row["waiting"] = aFigures.mReport->mWaiting;
    row["slots"] = aFigures.mReport->mSlots;
    row["age_ms"] = aFigures.mAge->Count();
  }
  row["percent"] = std::llround(aFigures.mPercent);
  row["own"] = aFigures.mInFlight;
  row["wait_ms"] = std::llround(aFigures.mExpected.mWaitMs);
  row["expected_ms"] = std::llround(aFigures.mExpected.Total());
  row["avoided"] = aFigures.mPaused;
  return row;
}

}  // namespace

HttpResponse HandleLoadRequest(const NodeContext& aNode,
                               const HttpRequest& aRequest) {
  ReplicaRequirements requirements;
  requirements.mService = aRequest.Query("service");
  requirements.mZone = aNode.mIdentity.mZone;
  const std::vector<ReplicaFigures> figures =
      aNode.mReplicas.Figures(requirements, aNode.Now());
  if (figures.empty()) {
    return ErrorAnswer(
        Error(ErrorKind::NotFound,
              "This host knows no replica of the service; take the name from "
              "the configuration."));
  }
  json::array rows;
  for (const ReplicaFigures& each : figures) {
    rows.emplace_back(ToJson(each));
  }
  const LoadCounts& counts = aNode.mLoadCounts;
  json::object text;
  text["service"] = requirements.mService;
  text["by_current_load"] =
      aNode.mReplicas.UsesCurrentLoad(requirements.mService);
  text["replicas"] = std::move(rows);
  text["probes_sent"] = counts.mProbesSent;
  text["probes_answered"] = counts.mProbesAnswered;
  text["probes_late"] = counts.mProbesLate;
  text["hedges_sent"] = counts.mHedgesSent;
  text["hedges_won"] = counts.mHedgesWon;
  return HttpResponse::Json(kOk, json::serialize(text));
}

}  // namespace rillwall
