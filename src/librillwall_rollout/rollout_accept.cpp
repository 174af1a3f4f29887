/// \file
/// Accepting steps durably. A step runs while its record is on its way to a
/// store that does not answer: after an outage its texts are there, where they
/// would else be begun after their trainer has waited for the whole of it.
/// A submission that may have begun is never refused as "not run".

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "rillwall/event_log.h"
#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// A submission waits so long for the store; then its sender is told that the
/// outcome is open, and comes again. Senders give up after some seconds.
constexpr Millis kAcceptLimit{2000};
/// A store that answers does so within some ms. A step that runs earlier would
/// run for nothing where another node has accepted it already.
constexpr Millis kPatience{100};
/// Between two writes of one record. Each call to the store is priced.
constexpr Millis kFirstPause{100};
constexpr Millis kLongestPause{400};
/// A step that was not accepted and that nobody asked for again is dropped:
/// senders come back within a second, at another host perhaps.
constexpr Millis kForgottenAfter{4000};
constexpr Millis kTakingPoll{10};
/// Under the store's values of 1 MiB.
constexpr size_t kPartBytes = 700 * 1000;

/// \return the change that accepts a step
StoreChange AcceptingChange(const std::string& aId, const StepRecord& aRecord,
                            const std::string& aBody) {
  StoreChange change;
  change.mGuards.push_back({StepKey(aId), 0});
  change.mPuts.push_back({StepKey(aId), EncodeStepRecord(aRecord), 0});
  for (size_t at = 0, part = 0; at < aBody.size(); at += kPartBytes, ++part) {
    change.mPuts.push_back(
        {BodyKey(aId, part), aBody.substr(at, kPartBytes), 0});
  }
  return change;
}

}  // namespace

struct RolloutService::Acceptance {
  Acceptance(asio::io_context& aIo, RolloutSpec aSpec, Route aRoute,
             StepRecord aRecord)
      : mSpec(std::move(aSpec)),
        mRoute(std::move(aRoute)),
        mRecord(std::move(aRecord)),
        mSettled(aIo) {
    mSettled.expires_at(asio::steady_timer::time_point::max());
  }

  const RolloutSpec mSpec;
  const Route mRoute;
  const StepRecord mRecord;
  StoreChange mChange;
  StepPtr mStep;         ///< once it runs
  bool mUnsure = false;  ///< an earlier write may have been done
  bool mDone = false;
  bool mForgotten = false;  ///< dropped, as nobody asked for it any more
  int mAsking = 0;          ///< submissions that wait for the outcome
  Millis mAskedAt;          ///< when the last of them came or gave up
  asio::steady_timer mSettled;
};

asio::awaitable<std::optional<Error>> RolloutService::Accept(
    RolloutSpec aSpec, Route aRoute, std::string aBody) {
  const std::string id = aSpec.mId;
  // A takeover of the step: wait for what comes of it.
  while (mTaking.contains(id)) {
    co_await Sleep(mNode.mIo, kTakingPoll);
  }
  AcceptancePtr acceptance;
  const auto pending = mAcceptances.find(id);
  if (pending != mAcceptances.end()) {
    acceptance = pending->second;
  } else if (mSteps.contains(id) || mArchives.Knows(id)) {
    Event("step-known").Id(id).Write();
    co_return std::nullopt;
  } else {
    acceptance = MakeAcceptance(std::move(aSpec), std::move(aRoute), aBody);
    Launch(mNode.mIo, "accept", Settle(acceptance));
    Launch(mNode.mIo, "begin", BeginSoon(acceptance));
  }
  const Millis until = mNode.Now() + kAcceptLimit;
  ++acceptance->mAsking;
  while (!acceptance->mDone && mNode.Now() < until) {
    asio::steady_timer limit(mNode.mIo);
    limit.expires_after(
        std::chrono::milliseconds((until - mNode.Now()).Count()));
    limit.async_wait([acceptance](const boost::system::error_code& aCode) {
      if (!aCode) {
        acceptance->mSettled.cancel();
      }
    });
    co_await acceptance->mSettled.async_wait(
        asio::as_tuple(asio::use_awaitable));
  }
  --acceptance->mAsking;
  acceptance->mAskedAt = mNode.Now();
  if (acceptance->mDone && !acceptance->mForgotten) {
    co_return std::nullopt;
  }
  Event("accept-open")
      .Id(id)
      .Flag("runs", acceptance->mStep != nullptr)
      .Write();
  co_return Error(ErrorKind::KvUnavailable,
                  "The store does not answer; submit the step again.",
                  RunState::Unknown);
}

RolloutService::AcceptancePtr RolloutService::MakeAcceptance(
    RolloutSpec aSpec, Route aRoute, const std::string& aBody) {
  const NodeIdentity& self = mNode.mIdentity;
  const std::string id = aSpec.mId;
  const auto items = static_cast<int64_t>(aSpec.mItems.size());
  StepRecord record{self.mName,  self.mAddress, self.mRun,
                    aSpec.mHost, aSpec.mPath,   WallClockMs(),
                    items,       false,         aSpec.mAccount};
  const auto acceptance = std::make_shared<Acceptance>(
      mNode.mIo, std::move(aSpec), std::move(aRoute), std::move(record));
  acceptance->mChange = AcceptingChange(id, acceptance->mRecord, aBody);
  acceptance->mAskedAt = mNode.Now();
  mAcceptances[id] = acceptance;
  return acceptance;
}

asio::awaitable<void> RolloutService::BeginSoon(AcceptancePtr aAcceptance) {
  co_await Sleep(mNode.mIo, kPatience);
  if (!aAcceptance->mDone) {
    Begin(aAcceptance);
  }
}

asio::awaitable<void> RolloutService::Settle(AcceptancePtr aAcceptance) {
  const std::string id = aAcceptance->mSpec.mId;
  const Millis asked = mNode.Now();
  Millis pause = kFirstPause;
  while (true) {
    const std::optional<Result<int64_t>> done =
        co_await CommitOnce(aAcceptance);
    if (done && *done) {
      Conclude(aAcceptance, **done, mNode.Now() - asked);
      break;
    }
    const Millis now = mNode.Now();
    const bool forgotten = aAcceptance->mAsking == 0 &&
                           now - aAcceptance->mAskedAt > kForgottenAfter;
    if (forgotten || mNode.mStopping) {
      aAcceptance->mForgotten = true;
      Discard(aAcceptance, "nobody submits it any more");
      break;
    }
    co_await Sleep(mNode.mIo, pause);
    pause = std::min(kLongestPause, pause * 2);
  }
  aAcceptance->mDone = true;
  mAcceptances.erase(id);
  aAcceptance->mSettled.cancel();
}

asio::awaitable<std::optional<Result<int64_t>>> RolloutService::CommitOnce(
    AcceptancePtr aAcceptance) {
  const std::string key = StepKey(aAcceptance->mSpec.mId);
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(aAcceptance->mChange);
  if (done && done->mApplied) {
    co_return Result<int64_t>(done->mRevision);
  }
  if (done) {
    // An earlier try may have got through, and its answer been lost. A record
    // of this process that came otherwise is none of ours: a step that was
    // taken over has results already.
    const StoreItem* item = done->Find(key);
    const std::string& written = aAcceptance->mChange.mPuts.front().mValue;
    const bool ours = aAcceptance->mUnsure && item != nullptr &&
                      item->mValue == written &&
                      item->mRevision == item->mCreateRevision;
    co_return Result<int64_t>(ours ? item->mRevision : 0);
  }
  const Error& error = done.error();
  aAcceptance->mUnsure =
      aAcceptance->mUnsure || error.Kind() != ErrorKind::KvUnavailable;
  Event("accept-retry")
      .Id(aAcceptance->mSpec.mId)
      .Text("why", error.Detail())
      .Write();
  co_return std::nullopt;
}

void RolloutService::Begin(const AcceptancePtr& aAcceptance) {
  if (aAcceptance->mStep) {
    return;
  }
  const StepPtr step = MakeStep(aAcceptance->mSpec, aAcceptance->mRoute,
                                aAcceptance->mRecord, 0);
  step->mAccepted = false;
  aAcceptance->mStep = step;
  AdoptTexts(*step);
  StartReadyItems();
}

void RolloutService::AdoptTexts(RolloutStep& aStep) {
  const RolloutSpec& spec = aStep.mTracker.Spec();
  CarriedTexts& carried = mCarried[spec.mAccount];
  int64_t used = 0;
  for (size_t i = 0; i < spec.mItems.size(); ++i) {
    const auto found = carried.find(spec.mItems[i].mId);
    if (found == carried.end()) {
      continue;
    }
    used += aStep.mTracker.Adopt(i, std::move(found->second)) ? 1 : 0;
    carried.erase(found);
  }
  if (used > 0) {
    Event("texts-carried").Id(aStep.Id()).Number("items", used).Write();
  }
}

void RolloutService::Conclude(const AcceptancePtr& aAcceptance,
                              int64_t aRevision, Millis aTook) {
  const std::string& id = aAcceptance->mSpec.mId;
  if (aRevision == 0) {
    Event("step-known").Id(id).Text("why", "already in the store").Write();
    Discard(aAcceptance, "another node has accepted it");
    return;
  }
  const bool ran = aAcceptance->mStep != nullptr;
  Begin(aAcceptance);
  const StepPtr& step = aAcceptance->mStep;
  step->mRevision = aRevision;
  step->mAccepted = true;
  step->mVerifiedAt = mNode.Now();
  const RolloutSpec& spec = step->mTracker.Spec();
  Event("step-accepted")
      .Id(id)
      .Number("step", spec.mStep)
      .Text("model", spec.mModel)
      .Number("min_version", spec.mMinVersion)
      .Number("items", static_cast<int64_t>(spec.mItems.size()))
      .Number("target_groups", spec.mTargetGroups)
      .Number("revision", aRevision)
      .Number("store_ms", aTook.Count())
      .Flag("ran_before", ran)
      .Number("due_in_ms",
              (step->mDueAt.value_or(mNode.Now()) - mNode.Now()).Count())
      .Write();
  mNode.mMetrics.Count("steps_accepted_total");
  ScheduleFlush(step);
}

void RolloutService::Discard(const AcceptancePtr& aAcceptance,
                             const char* aWhy) {
  const StepPtr step = aAcceptance->mStep;
  if (!step) {
    return;
  }
  Event("step-discarded").Id(step->Id()).Text("why", aWhy).Write();
  StopRuns(*step);
  Carry(*step);
  const auto found = mSteps.find(step->Id());
  if (found != mSteps.end() && found->second == step) {
    mSteps.erase(found);
  }
}

}  // namespace rillwall
