#include "rillwall/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace rillwall {

namespace {
constexpr Millis kRefreshPeriod{100};
constexpr Millis kLeavingRetention{60000};

BreakerLimits BreakerLimitsOf(const DispatcherLimits& aLimits,
                              const DispatchTuning& aTuning) {
  return {.mFailures = aLimits.mBreakerFailures,
          .mOpenTime = aLimits.mBreakerOpenTime,
          .mSlowStart = aTuning.mSlowStart};
}
}  // namespace

Dispatcher::Impl::Impl(std::string aZone, DispatcherLimits aLimits,
                       uint64_t aSeed, const DispatchTuning& aTuning)
    : mZone(std::move(aZone)),
      mLimits(aLimits),
      mTuning(aTuning),
      mRandom(aSeed),
      mBudget(aLimits.mRetryRatio) {}

void Dispatcher::Impl::Configure(std::vector<Upstream> aEngines,
                                 const PolicyRules& aRules, Millis aNow) {
  for (auto& [id, engine] : mEngines) {
    engine->Unlist();
  }
  for (Upstream& upstream : aEngines) {
    AddOrUpdateEngine(std::move(upstream));
  }
  std::erase_if(mEngines, [](const auto& aEntry) {
    return !aEntry.second->Listed() && aEntry.second->OwnCalls() == 0;
  });
  mRules = aRules;
  RebuildPools(aNow);
  ApplyRules(aRules);
}

void Dispatcher::Impl::AddOrUpdateEngine(Upstream aUpstream) {
  if (aUpstream.mKind != UpstreamKind::Engine) {
    return;
  }
  const std::string id = aUpstream.mId;
  const auto found = mEngines.find(id);
  if (found != mEngines.end()) {
    found->second->Update(std::move(aUpstream));
    return;
  }
  auto engine = std::make_unique<EngineState>(
      std::move(aUpstream), BreakerLimitsOf(mLimits, mTuning), mTuning);
  const auto leaving = mUnknownLeaving.find(id);
  if (leaving != mUnknownLeaving.end()) {
    engine->MarkLeavingUntil(leaving->second + kLeavingRetention);
  }
  mEngines.emplace(id, std::move(engine));
}

void Dispatcher::Impl::RebuildPools(Millis aNow) {
  std::map<std::string, std::vector<EngineState*>> byModel;
  for (const auto& [name, model] : mModels) {
    byModel[name];
  }
  for (const auto& [id, engine] : mEngines) {
    if (engine->Listed()) {
      byModel[engine->Info().mName].push_back(engine.get());
    }
  }
  for (auto& [name, engines] : byModel) {
    Model(name).mPool.SetEngines(std::move(engines), aNow);
  }
}

void Dispatcher::Impl::ApplyRules(const PolicyRules& aRules) {
  for (auto& [id, engine] : mEngines) {
    const ModelRule* rule = aRules.Model(engine->Info().mName);
    engine->SetHeadroom((rule ? *rule : ModelRule()).mInteractiveHeadroom);
  }
  for (auto& [name, model] : mModels) {
    model->mInteractive.ResetShares();
    model->mTraining.ResetShares();
    for (const HouseRule& account : aRules.mHouses) {
      FairQueue& queue = model->mInteractive;
      queue.SetShare(queue.FindOrAdd(account.mName), account.mShare);
    }
    for (const TrainerRule& trainer : aRules.mTrainers) {
      FairQueue& queue = model->mTraining;
      queue.SetShare(queue.FindOrAdd(trainer.mName), trainer.mShare);
    }
  }
}

void Dispatcher::Impl::MarkLeaving(std::string_view aUpstream, Millis aNow) {
  const auto found = mEngines.find(aUpstream);
  if (found == mEngines.end()) {
    std::erase_if(mUnknownLeaving, [aNow](const auto& aEntry) {
      return aNow - aEntry.second >= kLeavingRetention;
    });
    mUnknownLeaving.insert_or_assign(std::string(aUpstream), aNow);
    return;
  }
  EngineState& engine = *found->second;
  engine.MarkLeaving();
  Model(engine.Info().mName).mPool.RefreshAll(aNow);
}

ModelState& Dispatcher::Impl::Model(const std::string& aName) {
  std::unique_ptr<ModelState>& model = mModels[aName];
  if (!model) {
    model = std::make_unique<ModelState>(mZone, mTuning);
  }
  return *model;
}

void Dispatcher::Impl::LowerLimitsForOverdueCalls(ModelState& aModel,
                                                  Millis aNow) {
  std::vector<int64_t> overdue(aModel.mPool.Engines().size(), 0);
  for (const uint64_t ticket : aModel.mAwaitingFirstToken) {
    const DispatchedCall& call = mCalls.at(ticket);
    const EngineState& engine = *call.mEngine;
    if (aModel.mPool.HasEngine(engine) &&
        engine.Overdue(call.mSpec.mClass, call.mStartedAt, aNow)) {
      ++overdue[engine.Index()];
    }
  }
  for (size_t index = 0; index < overdue.size(); ++index) {
    if (overdue[index] > 0) {
      aModel.mPool.Engines()[index]->LowerLimit(overdue[index],
                                                aModel.mPool.Prior(), aNow);
    }
  }
}

CallDecisions Dispatcher::Impl::Tick(Millis aNow) {
  CallDecisions out;
  mNow = aNow;
  Expire(out, aNow);
  const bool refresh = aNow - mRefreshedAt >= kRefreshPeriod;
  if (refresh) {
    mRefreshedAt = aNow;
  }
  for (auto& [name, model] : mModels) {
    if (refresh) {
      LowerLimitsForOverdueCalls(*model, aNow);
      model->mPool.RefreshAll(aNow);
    }
    StartQueued(*model, out, aNow);
    Preempt(*model, out, aNow);
    if (refresh) {
      RefuseUnstartable(*model, out, aNow);
      MoveTraining(*model, out, aNow);
    }
  }
  return out;
}

Dispatcher::Dispatcher(std::string aZone, DispatcherLimits aLimits,
                       uint64_t aSeed)
    : Dispatcher(std::move(aZone), aLimits, aSeed, DispatchTuning()) {}

Dispatcher::Dispatcher(std::string aZone, DispatcherLimits aLimits,
                       uint64_t aSeed, const DispatchTuning& aTuning)
    : mImpl(std::make_unique<Impl>(std::move(aZone), aLimits, aSeed, aTuning)) {
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::Configure(std::vector<Upstream> aEngines,
                           const PolicyRules& aRules, Millis aNow) {
  mImpl->Configure(std::move(aEngines), aRules, aNow);
}

void Dispatcher::MarkLeaving(std::string_view aUpstream, Millis aNow) {
  mImpl->MarkLeaving(aUpstream, aNow);
}

void Dispatcher::Report(std::string_view aUpstream, const LoadReport& aReport) {
  const auto found = mImpl->mEngines.find(aUpstream);
  if (found == mImpl->mEngines.end()) {
    return;
  }
  EngineState& engine = *found->second;
  std::uniform_real_distribution<double> random(0, 1);
  engine.Report(aReport, random(mImpl->mRandom));
  mImpl->Model(engine.Info().mName).mPool.Refresh(engine, aReport.mAt);
}

CallDecisions Dispatcher::Submit(CallSpec aSpec, Millis aNow) {
  return mImpl->Submit(std::move(aSpec), aNow);
}

void Dispatcher::FirstToken(uint64_t aTicket, Millis aNow) {
  mImpl->Progress(aTicket, 0, aNow);
}

void Dispatcher::Progress(uint64_t aTicket, int64_t aTokens, Millis aNow) {
  mImpl->Progress(aTicket, aTokens, aNow);
}

CallDecisions Dispatcher::Finish(uint64_t aTicket, CallOutcome aOutcome,
                                 Millis aNow) {
  return mImpl->Finish(aTicket, aOutcome, aNow);
}

CallDecisions Dispatcher::Withdraw(uint64_t aTicket, Millis aNow) {
  return mImpl->Finish(aTicket, CallOutcome::Cancelled, aNow);
}

CallDecisions Dispatcher::Tick(Millis aNow) { return mImpl->Tick(aNow); }

int64_t Dispatcher::FreeTrainingSlots(std::string_view aModel) const {
  const auto found = mImpl->mModels.find(std::string(aModel));
  if (found == mImpl->mModels.end()) {
    return 0;
  }
  const ModelState& model = *found->second;
  const auto queued =
      static_cast<int64_t>(model.mTraining.Size() + model.mInteractive.Size());
  const int64_t freeSlots = model.mPool.FreeTrainingSlots(mImpl->mNow);
  return std::max<int64_t>(freeSlots - queued, 0);
}

std::string Dispatcher::Dump() const { return mImpl->Dump(); }

}  // namespace rillwall
