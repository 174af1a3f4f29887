#include "rillwall/step_handover.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rillwall/event_log.h"
#include "rillwall/json.h"
#include "rillwall/relay.h"
#include "rillwall/rollout_record.h"
#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
/// Time limit for the state of an owner, as for a health check.
constexpr Millis kStateTimeout{250};
/// Time limit for the texts of a step. An owner on 0.3 of a core encodes and
/// sends some 4 MB within it; a frozen owner delays the takeover by it.
constexpr Millis kFetchTimeout{500};
/// Time that an owner which answers has to reach the store again. Its store
/// client may be in a call that hangs for 1 s, or, on an entry host, in a pause
/// of 1.5 s and a probe of 0.5 s. The owner runs its items meanwhile, and a
/// step is due after 7.5 s.
constexpr Millis kStoreReturnTimeout{2500};
constexpr Millis kStatePoll{100};
/// Texts in one answer. The largest step of the planned deployments has some
/// 3 MB of them; the answer stays below the limit of DecodeParts(), 16 MB.
constexpr size_t kMaxHandoverBytes = 4 * 1024 * 1024;
/// Largest answer with them, in bytes.
constexpr size_t kMaxTextsAnswer = 16 * 1024 * 1024;
/// Largest answer, in bytes, that names all steps of a host.
constexpr size_t kMaxStateAnswer = 1024 * 1024;
/// How long a lost step's texts are kept for its new owner, which asks for them
/// right after it has changed the record. An owner may detect the loss first.
constexpr Millis kFormerStepAge{5000};
/// During an outage a check of the steps ends at least every 2.3 s: it takes
/// 2.2 s at most (a direct call and one through another node) and is repeated
/// after a tick. An older failure is from before the host was frozen; a step
/// may have moved and ended since.
constexpr Millis kMaxVerifyFailureAge{2500};

std::string EncodeRequest(const HandoverRequest& aRequest) {
  json::object body;
  body["step"] = aRequest.mStep;
  body["run"] = aRequest.mRun;
  body["revision"] = aRequest.mRevision;
  body["address"] = aRequest.mAddress;
  return json::serialize(body);
}

Result<HandoverRequest> DecodeRequest(std::string_view aBody) {
  const Result<json::object> body = ParseJsonObject(aBody);
  if (!body) {
    return body.error();
  }
  JsonReader reader(*body, "hand-over");
  HandoverRequest request;
  request.mStep = reader.String("step");
  request.mRun = reader.String("run");
  request.mRevision = reader.Int("revision");
  request.mAddress = reader.String("address");
  if (reader.Failed()) {
    return reader.Failure();
  }
  return request;
}

json::array ToJson(const std::set<std::string>& aNames) {
  json::array names;
  for (const std::string& name : aNames) {
    names.emplace_back(name);
  }
  return names;
}

std::string EncodeState(const OwnerState& aState) {
  json::object body;
  body["run"] = aState.mRun;
  body["reaches_store"] = aState.mReachesStore;
  body["leaving"] = aState.mLeaving;
  body["steps"] = ToJson(aState.mSteps);
  body["holding"] = ToJson(aState.mHolding);
  return json::serialize(body);
}

Result<OwnerState> DecodeState(std::string_view aBody) {
  const Result<json::object> body = ParseJsonObject(aBody);
  if (!body) {
    return body.error();
  }
  JsonReader reader(*body, "owner state");
  OwnerState state;
  state.mRun = reader.String("run");
  state.mReachesStore = reader.Bool("reaches_store");
  state.mLeaving = reader.Bool("leaving");
  for (std::string& step : reader.Strings("steps")) {
    state.mSteps.insert(std::move(step));
  }
  // Nodes of older builds do not send this field.
  if (reader.Has("holding")) {
    for (std::string& step : reader.Strings("holding")) {
      state.mHolding.insert(std::move(step));
    }
  }
  if (reader.Failed()) {
    return reader.Failure();
  }
  return state;
}

/// \return what is wrong with a hand-over request for a step of this process;
/// empty if it may be served
std::string FaultOf(const HandoverRequest& aRequest, const RolloutStep& aStep,
                    const std::string& aRun) {
  if (aRequest.mRun != aRun) {
    return "the request names another process of this node";
  }
  if (aRequest.mRevision <= aStep.mRevision) {
    return "the request names no newer record of the step";
  }
  return {};
}

}  // namespace

bool HandsOverSteps(const RouteTable& aRoutes, const Route* aRoute) {
  return aRoute != nullptr &&
         std::any_of(aRoute->mTargets.begin(), aRoute->mTargets.end(),
                     [&](const RouteTarget& aTarget) {
                       return HasRankedRollouts(aRoutes, aTarget.mService);
                     });
}

bool HandsOverAnySteps(const RouteTable& aRoutes) {
  return std::any_of(aRoutes.Routes().begin(), aRoutes.Routes().end(),
                     [&](const Route& aRoute) {
                       return aRoute.mKind == RequestKind::Rollout &&
                              HandsOverSteps(aRoutes, &aRoute);
                     });
}

bool MayKeepStep(const std::optional<OwnerState>& aOwner,
                 const std::string& aStep, const std::string& aRun) {
  if (!aOwner || !aOwner->mReachesStore) {
    return false;
  }
  return aOwner->mOlderBuild || (!aOwner->mLeaving && aOwner->mRun == aRun &&
                                 aOwner->mSteps.contains(aStep));
}

asio::awaitable<std::optional<OwnerState>> AskOwnerState(NodeContext& aNode,
                                                         std::string aAddress) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aAddress);
  if (!endpoint) {
    co_return std::nullopt;
  }
  HttpRequest request;
  request.mTarget = kHandoverPath;
  const Result<HttpResponse> answer = co_await aNode.mClient.Send(
      *endpoint, std::move(request), kStateTimeout, kMaxStateAnswer);
  if (!answer) {
    co_return std::nullopt;
  }
  const Result<OwnerState> state = DecodeState(answer->mBody);
  if (answer->mStatus == kOk && state) {
    co_return *state;
  }
  const std::optional<int> health =
      co_await AskHealth(aNode, std::move(aAddress), kStateTimeout);
  if (!health) {
    co_return std::nullopt;
  }
  OwnerState older;
  older.mOlderBuild = true;
  older.mReachesStore = *health == kOk;
  co_return older;
}

asio::awaitable<std::vector<RolloutPart>> FetchTexts(NodeContext& aNode,
                                                     std::string aAddress,
                                                     HandoverRequest aRequest) {
  using Parts = std::vector<RolloutPart>;
  const Millis begun = aNode.Now();
  const Result<Endpoint> endpoint = Endpoint::Parse(aAddress);
  Result<HttpResponse> answer =
      Error(ErrorKind::BadRequest, "The old owner has no valid address.");
  if (endpoint) {
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = kHandoverPath;
    request.mHeaders.push_back({"Content-Type", "application/json"});
    request.mBody = EncodeRequest(aRequest);
    answer = co_await aNode.mClient.Send(*endpoint, std::move(request),
                                         kFetchTimeout, kMaxTextsAnswer);
  }
  std::string why;
  Parts parts;
  if (!answer) {
    why = answer.error().Detail();
  } else if (answer->mStatus != kOk) {
    why = "status " + std::to_string(answer->mStatus);
  } else {
    // A truncated answer is an error of Send(), so none of its parts are used.
    Result<Parts> decoded = DecodeParts(answer->mBody);
    why = decoded ? std::string() : decoded.error().Detail();
    parts = decoded ? std::move(*decoded) : Parts();
  }
  if (!why.empty()) {
    Event("handover-failed")
        .Id(aRequest.mStep)
        .Text("owner", aAddress)
        .Text("why", why)
        .Number("took_ms", (aNode.Now() - begun).Count())
        .Write();
    aNode.mMetrics.Count("handovers_failed_total");
  }
  co_return parts;
}

std::vector<RolloutPart> UsableParts(const RolloutTracker& aTracker,
                                     std::vector<RolloutPart> aParts) {
  std::erase_if(aParts, [&](const RolloutPart& aPart) {
    const bool known = aTracker.IndexOf(aPart.mItem).has_value();
    const bool fromStart = aPart.mFrom == 0 && aPart.mTo > 0;
    const bool scoredEarly = !aPart.mScore.empty() && !aPart.mWhole;
    return !known || !fromStart || scoredEarly || aPart.mVersions.empty();
  });
  return aParts;
}

HttpResponse HandleHandoverRequest(RolloutService& aRollouts,
                                   const HttpRequest& aRequest,
                                   bool aReachesStore) {
  if (aRequest.mMethod == "GET") {
    OwnerState state = aRollouts.State();
    state.mReachesStore = aReachesStore;
    return HttpResponse::Json(kOk, EncodeState(state));
  }
  const Result<HandoverRequest> request = DecodeRequest(aRequest.mBody);
  if (!request) {
    return ErrorAnswer(request.error());
  }
  const Result<std::vector<RolloutPart>> parts = aRollouts.HandOver(*request);
  if (parts) {
    return HttpResponse::Json(kOk, EncodeParts(*parts));
  }
  HttpResponse refused = ErrorAnswer(parts.error());
  if (parts.error().Kind() != ErrorKind::NotFound) {
    refused.mStatus = kConflict;
  }
  return refused;
}

OwnerState RolloutService::State() const {
  OwnerState state;
  state.mRun = mNode.mIdentity.mRun;
  state.mLeaving = mNode.mStopping;
  for (const auto& [id, step] : mSteps) {
    state.mSteps.insert(id);
    state.mHolding.insert(id);
  }
  for (const auto& [id, former] : mFormerSteps) {
    if (!former.mHandedOver) {
      state.mHolding.insert(id);
    }
  }
  for (const auto& [id, acceptance] : mAcceptances) {
    state.mSteps.insert(id);
  }
  state.mSteps.insert(mTakeovers.begin(), mTakeovers.end());
  return state;
}

Result<std::vector<RolloutPart>> RolloutService::HandOver(
    const HandoverRequest& aRequest) {
  const auto owned = mSteps.find(aRequest.mStep);
  const auto former = mFormerSteps.find(aRequest.mStep);
  StepPtr step;
  if (owned != mSteps.end()) {
    step = owned->second;
  } else if (former != mFormerSteps.end()) {
    step = former->second.mStep;
  }
  const std::string fault =
      step == nullptr ? "the step is not on this node"
                      : FaultOf(aRequest, *step, mNode.mIdentity.mRun);
  if (!fault.empty()) {
    Event("handover-refused").Id(aRequest.mStep).Text("why", fault).Write();
    return Error(step == nullptr ? ErrorKind::NotFound : ErrorKind::Unavailable,
                 "No texts are sent, as " + fault + "; generate them again.");
  }
  if (owned != mSteps.end()) {
    Release(step);
  }
  mFormerSteps[aRequest.mStep] = {step, mNode.Now(), true};
  // Callers are directed to the new owner even while the store is away.
  mRemoteOwners[aRequest.mStep] = aRequest.mAddress;
  std::vector<RolloutPart> parts =
      step->mTracker.UnlistedTexts(kMaxHandoverBytes);
  const auto complete = static_cast<size_t>(
      std::count_if(parts.begin(), parts.end(),
                    [](const RolloutPart& aPart) { return aPart.mWhole; }));
  const size_t all = step->mTracker.CompleteUnlistedTexts();
  Event("step-handed-over")
      .Id(aRequest.mStep)
      .Number("revision", aRequest.mRevision)
      .Number("texts", static_cast<int64_t>(parts.size()))
      .Number("complete", static_cast<int64_t>(complete))
      .Number("left", static_cast<int64_t>(all - complete))
      .Write();
  mNode.mMetrics.Count("texts_handed_over_total", "kind=\"complete\"",
                       complete);
  mNode.mMetrics.Count("texts_handed_over_total", "kind=\"unfinished\"",
                       parts.size() - complete);
  mNode.mMetrics.Count("texts_generated_again_total", {}, all - complete);
  return parts;
}

void RolloutService::KeepFormerStep(const StepPtr& aStep) {
  const auto routes = mNode.mRoutes.Read();
  // Another node that accepts the step fetches its texts on every route.
  if (aStep->mAccepted && !HandsOverSteps(*routes, &aStep->mRoute)) {
    return;
  }
  FormerStep& former = mFormerSteps[aStep->Id()];
  if (former.mStep != aStep) {
    former = {aStep, mNode.Now(), false};
  }
}

void RolloutService::ForgetFormerSteps() {
  std::erase_if(mFormerSteps, [this](const auto& aEntry) {
    const FormerStep& former = aEntry.second;
    const bool old = mNode.Now() - former.mLostAt > kFormerStepAge;
    if (old && !former.mHandedOver) {
      mNode.mMetrics.Count("texts_generated_again_total", {},
                           former.mStep->mTracker.CompleteUnlistedTexts());
    }
    return old;
  });
}

bool RolloutService::VerifyFailureIsOld(const RolloutStep& aStep) const {
  return mNode.Now() - mVerifyEndedAt > kMaxVerifyFailureAge &&
         HandsOver(aStep.mRecord);
}

struct RolloutService::OwnerCheck {
  explicit OwnerCheck(asio::io_context& aIo) : mDone(aIo) {
    mDone.expires_at(asio::steady_timer::time_point::max());
  }
  bool mEnded = false;
  std::optional<OwnerState> mState;
  asio::steady_timer mDone;  ///< cancelled when the check ends
};

asio::awaitable<std::optional<OwnerState>> RolloutService::CheckOwner(
    std::string aAddress) {
  const auto found = mOwnerChecks.find(aAddress);
  if (found != mOwnerChecks.end()) {
    const std::shared_ptr<OwnerCheck> running = found->second;
    while (!running->mEnded) {
      co_await running->mDone.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return running->mState;
  }
  const auto check = std::make_shared<OwnerCheck>(mNode.mIo);
  mOwnerChecks[aAddress] = check;
  const Millis end = mNode.Now() + kStoreReturnTimeout;
  while (true) {
    check->mState = co_await AskOwnerState(mNode, aAddress);
    const bool mayRecover = check->mState && !check->mState->mReachesStore &&
                            !check->mState->mLeaving &&
                            !check->mState->mOlderBuild;
    if (!mayRecover || mNode.Now() >= end) {
      break;
    }
    co_await Sleep(mNode.mIo, kStatePoll);
  }
  check->mEnded = true;
  mOwnerChecks.erase(aAddress);
  check->mDone.cancel();
  co_return check->mState;
}

bool RolloutService::HandsOver(const StepRecord& aRecord) const {
  const auto routes = mNode.mRoutes.Read();
  return HandsOverSteps(*routes, routes->Find(aRecord.mHost, aRecord.mPath));
}

asio::awaitable<bool> RolloutService::OwnerKeeps(std::string aId,
                                                 StepRecord aRecord) {
  if (!HandsOver(aRecord)) {
    co_return co_await IsHealthy(aRecord.mAddress);
  }
  const Millis begun = mNode.Now();
  const std::optional<OwnerState> owner = co_await CheckOwner(aRecord.mAddress);
  const bool keeps = MayKeepStep(owner, aId, aRecord.mRun);
  if (keeps) {
    Event("step-kept")
        .Id(aId)
        .Text("owner", aRecord.mOwner)
        .Flag("older_build", owner->mOlderBuild)
        .Number("waited_ms", (mNode.Now() - begun).Count())
        .Write();
    mNode.mMetrics.Count("steps_kept_total");
  }
  co_return keeps;
}

asio::awaitable<void> RolloutService::AdoptUnlessKept(std::string aId,
                                                      StepRecord aRecord,
                                                      int64_t aRevision) {
  const bool kept = co_await OwnerKeeps(aId, aRecord);
  if (!kept) {
    co_await TakeOverOrphan(std::move(aId), std::move(aRecord), aRevision);
  }
}

}  // namespace rillwall
