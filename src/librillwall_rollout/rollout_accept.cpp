/// \file
/// Accepts steps durably.
///
/// A step already runs while its record is being written to a store that does
/// not answer. Its texts are then there after the outage; otherwise they would
/// be started only after the trainer has waited for the whole outage. A
/// submission that may have begun to run is never refused as "not run".
/// step_holder.cpp keeps a submission that was repeated at another node from
/// running at both.

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "rillwall/event_log.h"
#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// A submission waits this long for the store. Then the response says that the
/// outcome is open, and the sender submits again. Senders give up after some
/// seconds.
constexpr Millis kAcceptTimeout{2000};
/// A store that is up answers within a few ms. A step that starts earlier would
/// run in vain if another node has accepted it already.
constexpr Millis kStartDelay{100};
/// Pauses between two writes of one record; each call to the store is paid for.
constexpr Millis kFirstPause{100};
constexpr Millis kLongestPause{400};
/// A step that was not accepted and that nobody submits again for this long is
/// dropped. Senders submit again within a second, perhaps at another host.
constexpr Millis kAbandonAfter{4000};
constexpr Millis kTakeoverPoll{10};
/// How often the other nodes are asked while one of them runs the step.
constexpr Millis kHolderPoll{500};
/// A node that ran the step is considered gone after this many questions in a
/// row without an answer. A busy node may be late for one of them.
constexpr int kMaxHolderMisses = 4;
/// Parts of a large submission in one change of the store, which takes 32
/// entries.
constexpr size_t kMaxPartsPerChange = 24;
constexpr Millis kUploadPoll{5};
constexpr int kMaxRemoveTries = 20;

/// Adds parts of a submission to a change, from part aFirst on.
void AddParts(StoreChange& aChange, const std::string& aId,
              const std::string& aBody, size_t aFirst, size_t aMost) {
  const size_t size = SubmissionPartBytes(aBody.size());
  for (size_t part = aFirst;
       part < aFirst + aMost && part * size < aBody.size(); ++part) {
    aChange.mPuts.push_back(
        {BodyKey(aId, part), aBody.substr(part * size, size), 0});
  }
}

/// \return the change that accepts a step, with its submission unless that is
/// large
StoreChange AcceptingChange(const std::string& aId, const StepRecord& aRecord,
                            const std::string& aBody) {
  StoreChange change;
  change.mGuards.push_back({StepKey(aId), 0});
  change.mPuts.push_back({StepKey(aId), EncodeStepRecord(aRecord), 0});
  if (aBody.size() <= kMaxKeptSubmission) {
    AddParts(change, aId, aBody, 0, kMaxPartsPerChange);
  }
  return change;
}

}  // namespace

struct RolloutService::Acceptance {
  Acceptance(asio::io_context& aIo, RolloutSpec aSpec, Route aRoute,
             StepRecord aRecord, SharedText aBody, MemoryCharge aCharge)
      : mId(aSpec.mId),
        mSpec(std::move(aSpec)),
        mCharge(std::move(aCharge)),
        mRoute(std::move(aRoute)),
        mRecord(std::move(aRecord)),
        mBody(std::move(aBody)),
        mDoneSignal(aIo) {
    mDoneSignal.expires_at(asio::steady_timer::time_point::max());
  }

  /// \return whether the submission is written before the record
  bool IsLarge() const { return mBody.size() > kMaxKeptSubmission; }

  const std::string mId;
  RolloutSpec mSpec;     ///< moved into mStep once the step runs
  MemoryCharge mCharge;  ///< for mSpec
  const Route mRoute;
  const StepRecord mRecord;
  const SharedText mBody;  ///< the submission
  size_t mUploaded = 0;    ///< parts of a large one that the store has
  StoreChange mChange;
  StepPtr mStep;                 ///< set once the step runs
  bool mMayBeCommitted = false;  ///< an earlier write may have been applied
  bool mDone = false;
  bool mAbandoned = false;  ///< dropped, as nobody submitted the step again
  int mWaiters = 0;         ///< submissions that wait for the outcome
  Millis mLastAskedAt;      ///< when the last of them arrived or gave up
  asio::steady_timer mDoneSignal;
};

asio::awaitable<std::optional<Error>> RolloutService::Accept(
    RolloutSpec aSpec, Route aRoute, SharedText aBody, MemoryCharge aCharge) {
  const std::string id = aSpec.mId;
  // Wait for the outcome of a takeover of the step.
  while (mTakeovers.contains(id)) {
    co_await Sleep(mNode.mIo, kTakeoverPoll);
  }
  AcceptancePtr acceptance;
  const auto pending = mAcceptances.find(id);
  if (pending != mAcceptances.end()) {
    acceptance = pending->second;
  } else if (mSteps.contains(id) || mArchives.Knows(id)) {
    Event("step-known").Id(id).Write();
    co_return std::nullopt;
  } else {
    acceptance = MakeAcceptance(std::move(aSpec), std::move(aRoute),
                                std::move(aBody), std::move(aCharge));
    Launch(mNode.mIo, "accept", CommitAcceptance(acceptance));
    Launch(mNode.mIo, "begin", StartAfterDelay(acceptance));
  }
  const Millis until = mNode.Now() + kAcceptTimeout;
  ++acceptance->mWaiters;
  while (!acceptance->mDone && mNode.Now() < until) {
    asio::steady_timer limit(mNode.mIo);
    limit.expires_after(
        std::chrono::milliseconds((until - mNode.Now()).Count()));
    limit.async_wait([acceptance](const boost::system::error_code& aCode) {
      if (!aCode) {
        acceptance->mDoneSignal.cancel();
      }
    });
    co_await acceptance->mDoneSignal.async_wait(
        asio::as_tuple(asio::use_awaitable));
  }
  --acceptance->mWaiters;
  acceptance->mLastAskedAt = mNode.Now();
  if (acceptance->mDone && !acceptance->mAbandoned) {
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
    RolloutSpec aSpec, Route aRoute, SharedText aBody, MemoryCharge aCharge) {
  const NodeIdentity& self = mNode.mIdentity;
  const std::string id = aSpec.mId;
  const auto items = static_cast<int64_t>(aSpec.mItems.size());
  StepRecord record{self.mName,  self.mAddress, self.mRun,
                    aSpec.mHost, aSpec.mPath,   WallClockMs(),
                    items,       false,         aSpec.mAccount};
  const auto acceptance = std::make_shared<Acceptance>(
      mNode.mIo, std::move(aSpec), std::move(aRoute), std::move(record),
      std::move(aBody), std::move(aCharge));
  acceptance->mChange =
      AcceptingChange(id, acceptance->mRecord, acceptance->mBody);
  acceptance->mLastAskedAt = mNode.Now();
  mAcceptances[id] = acceptance;
  return acceptance;
}

asio::awaitable<void> RolloutService::StartAfterDelay(
    AcceptancePtr aAcceptance) {
  const std::string id = aAcceptance->mId;
  co_await Sleep(mNode.mIo, kStartDelay);
  std::string known;
  int misses = 0;
  while (!aAcceptance->mDone) {
    const std::optional<StepHolder> holder = co_await FindHolder(id);
    if (aAcceptance->mDone) {
      co_return;
    }
    misses = holder ? 0 : misses + 1;
    if (!holder && (known.empty() || misses >= kMaxHolderMisses)) {
      StartStep(aAcceptance, false);
      co_return;
    }
    if (holder && holder->mAddress != known) {
      known = holder->mAddress;
      Event("step-runs-elsewhere").Id(id).Text("node", known).Write();
    }
    co_await Sleep(mNode.mIo, kHolderPoll);
  }
}

asio::awaitable<void> RolloutService::CommitAcceptance(
    AcceptancePtr aAcceptance) {
  const std::string id = aAcceptance->mId;
  const Millis asked = mNode.Now();
  Millis pause = kFirstPause;
  while (true) {
    const std::optional<Result<int64_t>> done =
        co_await CommitOnce(aAcceptance);
    if (done && *done) {
      FinishAcceptance(aAcceptance, **done, mNode.Now() - asked);
      break;
    }
    const Millis now = mNode.Now();
    const bool forgotten = aAcceptance->mWaiters == 0 &&
                           now - aAcceptance->mLastAskedAt > kAbandonAfter;
    if (forgotten || mNode.mStopping) {
      aAcceptance->mAbandoned = true;
      Discard(aAcceptance, "it was not submitted again");
      if (aAcceptance->mUploaded > 0) {
        Launch(mNode.mIo, "remove-upload", RemoveUpload(aAcceptance));
      }
      break;
    }
    co_await Sleep(mNode.mIo, pause);
    pause = std::min(kLongestPause, pause * 2);
  }
  aAcceptance->mDone = true;
  mAcceptances.erase(id);
  aAcceptance->mDoneSignal.cancel();
}

asio::awaitable<bool> RolloutService::UploadBody(AcceptancePtr aAcceptance) {
  const std::string& id = aAcceptance->mId;
  while (true) {
    // One at a time, as an encoded change takes several MB.
    while (mUploading) {
      co_await Sleep(mNode.mIo, kUploadPoll);
    }
    StoreChange change;
    // Parts of an accepted step never change.
    change.mGuards.push_back({StepKey(id), 0});
    AddParts(change, id, aAcceptance->mBody, aAcceptance->mUploaded,
             kMaxPartsPerChange);
    const size_t parts = change.mPuts.size();
    if (parts == 0) {
      co_return true;
    }
    mUploading = true;
    const Result<StoreCommit> done =
        co_await mNode.mStore.Commit(std::move(change));
    mUploading = false;
    if (!done) {
      Event("upload-retry").Id(id).Text("why", done.error().Detail()).Write();
      co_return false;
    }
    if (!done->mApplied) {
      // The record exists; CommitOnce() finds out whose it is.
      co_return true;
    }
    aAcceptance->mUploaded += parts;
  }
}

asio::awaitable<void> RolloutService::RemoveUpload(AcceptancePtr aAcceptance) {
  const std::string& id = aAcceptance->mId;
  size_t removed = 0;
  int failures = 0;
  while (removed < aAcceptance->mUploaded) {
    StoreChange change;
    change.mGuards.push_back({StepKey(id), 0});
    for (size_t i = 0; i < kMaxPartsPerChange; ++i) {
      change.mRemoves.push_back(BodyKey(id, removed + i));
    }
    const Result<StoreCommit> done =
        co_await mNode.mStore.Commit(std::move(change));
    failures += done ? 0 : 1;
    if ((done && !done->mApplied) || failures >= kMaxRemoveTries) {
      Event("upload-left")
          .Id(id)
          .Text("why", done ? "the step was accepted" : done.error().Detail())
          .Write();
      co_return;
    }
    if (done) {
      removed += kMaxPartsPerChange;
    } else {
      co_await Sleep(mNode.mIo, kLongestPause);
    }
  }
}

asio::awaitable<std::optional<Result<int64_t>>> RolloutService::CommitOnce(
    AcceptancePtr aAcceptance) {
  const std::string key = StepKey(aAcceptance->mId);
  if (aAcceptance->IsLarge() && !co_await UploadBody(aAcceptance)) {
    RecordUnsettled();
    co_return std::nullopt;
  }
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(aAcceptance->mChange);
  if (done && done->mApplied) {
    co_return Result<int64_t>(done->mRevision);
  }
  if (done) {
    // An earlier write may have been applied and its answer lost. A record of
    // this process that was changed after its creation is not the one written
    // here: it belongs to a step that was taken over and may have results
    // already.
    const StoreItem* item = done->Find(key);
    const std::string& written = aAcceptance->mChange.mPuts.front().mValue;
    const bool ours = aAcceptance->mMayBeCommitted && item != nullptr &&
                      item->mValue == written &&
                      item->mRevision == item->mCreateRevision;
    co_return Result<int64_t>(ours ? item->mRevision : 0);
  }
  const Error& error = done.error();
  aAcceptance->mMayBeCommitted =
      aAcceptance->mMayBeCommitted || error.Kind() != ErrorKind::KvUnavailable;
  RecordUnsettled();
  Event("accept-retry")
      .Id(aAcceptance->mId)
      .Text("why", error.Detail())
      .Write();
  co_return std::nullopt;
}

void RolloutService::StartStep(const AcceptancePtr& aAcceptance,
                               bool aAwaitsTexts) {
  if (aAcceptance->mStep) {
    return;
  }
  const StepPtr step =
      MakeStep(std::move(aAcceptance->mSpec), &aAcceptance->mRoute,
               aAcceptance->mRecord, 0, std::move(aAcceptance->mCharge));
  if (aAcceptance->IsLarge()) {
    step->mSubmission = aAcceptance->mBody;
  }
  step->mPartBytes = SubmissionPartBytes(aAcceptance->mBody.size());
  step->mAccepted = false;
  step->mAwaitsTexts = aAwaitsTexts;
  aAcceptance->mStep = step;
  ResumeCarriedTexts(*step);
  StartReadyItems();
}

void RolloutService::ResumeCarriedTexts(RolloutStep& aStep) {
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

void RolloutService::FinishAcceptance(const AcceptancePtr& aAcceptance,
                                      int64_t aRevision, Millis aTook) {
  const std::string& id = aAcceptance->mId;
  if (aRevision == 0) {
    Event("step-known").Id(id).Text("why", "already in the store").Write();
    Discard(aAcceptance, "another node has accepted it");
    return;
  }
  const bool ran = aAcceptance->mStep != nullptr;
  const bool mayRunElsewhere = MayRunElsewhere();
  StartStep(aAcceptance, mayRunElsewhere);
  const StepPtr& step = aAcceptance->mStep;
  step->mRevision = aRevision;
  step->mAccepted = true;
  step->mSubmission = {};
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
  if (mayRunElsewhere) {
    Launch(mNode.mIo, "collect-texts", CollectTexts(step));
  }
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
  CarryTexts(*step);
  const auto found = mSteps.find(step->Id());
  if (found != mSteps.end() && found->second == step) {
    mSteps.erase(found);
  }
  KeepFormerStep(step);
}

}  // namespace rillwall
