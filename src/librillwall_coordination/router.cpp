#include "router.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rillwall {

namespace {
constexpr int kDrawsPerChoice = 3;
constexpr int kPrefixTries = 3;
constexpr Millis kInteractiveProbeDelay{5000};
constexpr double kLastResortScore = 1000;

size_t ClassIndex(CallClass aClass) {
  return aClass == CallClass::Interactive ? 0 : 1;
}

bool Contains(const std::vector<std::string>& aList, std::string_view aItem) {
  return std::find(aList.begin(), aList.end(), aItem) != aList.end();
}
}  // namespace

void IndexSet::Resize(size_t aCount) {
  mMembers.clear();
  mPositions.assign(aCount, kAbsent);
}

void IndexSet::Set(uint32_t aIndex, bool aMember) {
  const uint32_t position = mPositions[aIndex];
  if (aMember == (position != kAbsent)) {
    return;
  }
  if (aMember) {
    mPositions[aIndex] = static_cast<uint32_t>(mMembers.size());
    mMembers.push_back(aIndex);
    return;
  }
  mMembers[position] = mMembers.back();
  mPositions[mMembers[position]] = position;
  mMembers.pop_back();
  mPositions[aIndex] = kAbsent;
}

void EnginePool::SetEngines(std::vector<EngineState*> aEngines, Millis aNow) {
  mEngines = std::move(aEngines);
  mZones.clear();
  mZoneOf.clear();
  for (const EngineState* engine : mEngines) {
    const std::string& name = engine->Info().mZone;
    auto zone = std::find_if(
        mZones.begin(), mZones.end(),
        [&name](const ZoneGroup& aZone) { return aZone.mName == name; });
    if (zone == mZones.end()) {
      zone = mZones.insert(mZones.end(), ZoneGroup{.mName = name});
    }
    mZoneOf.push_back(static_cast<uint32_t>(zone - mZones.begin()));
  }
  for (ZoneGroup& zone : mZones) {
    for (IndexSet& withFreeSlots : zone.mWithFreeSlots) {
      withFreeSlots.Resize(mEngines.size());
    }
  }
  std::vector<std::string> ids;
  for (uint32_t index = 0; index < mEngines.size(); ++index) {
    mEngines[index]->SetIndex(index);
    ids.push_back(mEngines[index]->Info().mId);
  }
  if (ids != mRingIds) {
    mRing = PrefixRing(ids);
    mRingIds = std::move(ids);
  }
  RefreshAll(aNow);
}

void EnginePool::Candidate::Offer(EngineState* aEngine, double aScore) {
  if (!mEngine || aScore < mScore) {
    mEngine = aEngine;
    mScore = aScore;
  }
}

void EnginePool::Refresh(const EngineState& aEngine, Millis aNow) {
  if (!HasEngine(aEngine)) {
    return;
  }
  const uint32_t index = aEngine.Index();
  ZoneGroup& zone = mZones[mZoneOf[index]];
  for (const CallClass kind : {CallClass::Interactive, CallClass::Training}) {
    zone.mWithFreeSlots[ClassIndex(kind)].Set(
        index, aEngine.FreeSlotCount(kind, mPrior, aNow) > 0);
  }
}

void EnginePool::RefreshMeans(Millis aNow) {
  double others = 0;
  double load = 0;
  size_t reported = 0;
  std::vector<double> speeds;
  for (const EngineState* engine : mEngines) {
    if (engine->HasReport()) {
      others += engine->OtherLoad(mPrior, aNow);
      ++reported;
    }
    load += engine->Load(mPrior, aNow);
    if (engine->Speed().Known(aNow)) {
      speeds.push_back(engine->Speed().PerSecond());
    }
  }
  mPrior = reported > 0 ? others / static_cast<double>(reported) : 0;
  const size_t engines = std::max<size_t>(mEngines.size(), 1);
  mMeanLoad = load / static_cast<double>(engines);
  const double median = Median(std::move(speeds));
  for (EngineState* engine : mEngines) {
    engine->UpdateSpeedWeight(median, aNow);
  }
}

void EnginePool::RefreshAll(Millis aNow) {
  RefreshMeans(aNow);
  for (ZoneGroup& zone : mZones) {
    zone.mNewestVersion = 0;
  }
  for (const EngineState* engine : mEngines) {
    if (engine->Usable(aNow)) {
      int64_t& newest = mZones[mZoneOf[engine->Index()]].mNewestVersion;
      newest = std::max(newest, engine->LastReport().mVersion);
    }
    Refresh(*engine, aNow);
  }
}

bool EnginePool::ZoneAllowed(const CallSpec& aSpec,
                             const ZoneGroup& aZone) const {
  return aSpec.mZones.empty() || Contains(aSpec.mZones, aZone.mName);
}

int64_t EnginePool::RequiredVersion(const CallSpec& aSpec, Millis aNow) const {
  if (aSpec.mMinVersion <= 0) {
    return 0;
  }
  const bool available =
      std::any_of(mZones.begin(), mZones.end(), [&](const ZoneGroup& aZone) {
        return aZone.mNewestVersion >= aSpec.mMinVersion &&
               ZoneAllowed(aSpec, aZone);
      });
  if (!available || aSpec.mAvoid.empty()) {
    return available ? aSpec.mMinVersion : 0;
  }
  // All engines that have the version may be ones that failed this call.
  const bool left =
      std::any_of(mEngines.begin(), mEngines.end(), [&](EngineState* aEngine) {
        return aEngine->Usable(aNow) &&
               ZoneAllowed(aSpec, mZones[mZoneOf[aEngine->Index()]]) &&
               Eligible(aSpec, aSpec.mMinVersion, *aEngine);
      });
  return left ? aSpec.mMinVersion : 0;
}

bool EnginePool::Eligible(const CallSpec& aSpec, int64_t aVersion,
                          const EngineState& aEngine) const {
  if (aEngine.LastReport().mVersion < aVersion) {
    return false;
  }
  return aSpec.mAvoid.empty() || !Contains(aSpec.mAvoid, aEngine.Info().mId);
}

bool EnginePool::Allowed(const CallSpec& aSpec, const EngineState& aEngine,
                         Millis aNow) const {
  const bool zone =
      aSpec.mZones.empty() || Contains(aSpec.mZones, aEngine.Info().mZone);
  return zone && Eligible(aSpec, RequiredVersion(aSpec, aNow), aEngine);
}

double EnginePool::Score(const CallSpec& aSpec, const EngineState& aEngine,
                         Millis aNow) const {
  const Breaker& breaker = aEngine.Circuit();
  if (breaker.State() != BreakerState::Closed) {
    // Training calls probe first. Interactive ones probe only if no training
    // call has done so for a while.
    const bool probe = aSpec.mClass == CallClass::Training ||
                       aNow - breaker.NextProbe() >= kInteractiveProbeDelay;
    return probe ? 0 : kLastResortScore;
  }
  const double awaiting = static_cast<double>(aEngine.AwaitingFirstToken()) *
                          mTuning->mAwaitingWeight;
  const double load = aEngine.Load(mPrior, aNow) + awaiting + 1;
  const double used = load / aEngine.Limit(CallClass::Interactive, aNow);
  const bool sameZone = aEngine.Info().mZone == mZone;
  return sameZone ? used : used + mTuning->mZonePenalty;
}

EngineState* EnginePool::Choose(const CallSpec& aSpec, std::mt19937_64& aRandom,
                                Millis aNow) {
  if (!AnyFreeSlot(aSpec.mClass)) {
    return nullptr;
  }
  const int64_t version = RequiredVersion(aSpec, aNow);
  Candidate best;
  OfferRandomEngines(aSpec, version, aRandom, aNow, best);
  if (!best.mEngine) {
    OfferAllEngines(aSpec, version, aNow, best);
  }
  if (best.mEngine && aSpec.mPrefixHash != 0) {
    OfferPrefixHomes(aSpec, version, aRandom, aNow, best);
  }
  return best.mEngine;
}

void EnginePool::OfferRandomEngines(const CallSpec& aSpec, int64_t aVersion,
                                    std::mt19937_64& aRandom, Millis aNow,
                                    Candidate& aBest) const {
  for (const ZoneGroup& zone : mZones) {
    const auto& members =
        zone.mWithFreeSlots[ClassIndex(aSpec.mClass)].Members();
    if (members.empty() || !ZoneAllowed(aSpec, zone)) {
      continue;
    }
    int found = 0;
    int draws = mTuning->mChoices * kDrawsPerChoice;
    while (found < mTuning->mChoices && draws-- > 0) {
      EngineState* engine = mEngines[members[aRandom() % members.size()]];
      if (engine->Usable(aNow) && Eligible(aSpec, aVersion, *engine)) {
        ++found;
        aBest.Offer(engine, Score(aSpec, *engine, aNow));
      }
    }
  }
}

void EnginePool::OfferAllEngines(const CallSpec& aSpec, int64_t aVersion,
                                 Millis aNow, Candidate& aBest) const {
  for (const ZoneGroup& zone : mZones) {
    if (!ZoneAllowed(aSpec, zone)) {
      continue;
    }
    const auto& members =
        zone.mWithFreeSlots[ClassIndex(aSpec.mClass)].Members();
    for (const uint32_t index : members) {
      EngineState* engine = mEngines[index];
      if (engine->Usable(aNow) && Eligible(aSpec, aVersion, *engine)) {
        aBest.Offer(engine, Score(aSpec, *engine, aNow));
      }
    }
  }
}

void EnginePool::OfferPrefixHomes(const CallSpec& aSpec, int64_t aVersion,
                                  std::mt19937_64& aRandom, Millis aNow,
                                  Candidate& aBest) {
  const double part = mPrefixShares.Add(aSpec.mPrefixHash, aNow);
  const double wantedHomes = part * static_cast<double>(mEngines.size());
  const auto homes = static_cast<uint64_t>(
      mTuning->mMultiplePrefixHomes ? std::max(std::ceil(wantedHomes), 1.0)
                                    : 1.0);
  auto skip = homes > 1 ? static_cast<int>(aRandom() % homes) : 0;
  const double bound = mMeanLoad * mTuning->mPrefixLoadBound + 1;
  mRing.Visit(aSpec.mPrefixHash, skip + kPrefixTries, [&](uint32_t aIndex) {
    if (skip-- > 0) {
      return false;
    }
    EngineState* engine = mEngines[aIndex];
    const bool fits = engine->FreeSlotCount(aSpec.mClass, mPrior, aNow) > 0 &&
                      engine->Load(mPrior, aNow) <= bound &&
                      ZoneAllowed(aSpec, mZones[mZoneOf[aIndex]]) &&
                      Eligible(aSpec, aVersion, *engine);
    if (fits) {
      aBest.Offer(engine, Score(aSpec, *engine, aNow) - mTuning->mPrefixBonus);
    }
    return fits;
  });
}

bool EnginePool::AnyUsable(const CallSpec& aSpec, Millis aNow) const {
  // The version is ignored: it is only required while an engine has it.
  return std::any_of(
      mEngines.begin(), mEngines.end(), [&](const EngineState* aEngine) {
        const ZoneGroup& zone = mZones[mZoneOf[aEngine->Index()]];
        return aEngine->Usable(aNow) && ZoneAllowed(aSpec, zone) &&
               Eligible(aSpec, 0, *aEngine);
      });
}

bool EnginePool::AnyUsable(Millis aNow) const {
  return AnyUsable(CallSpec(), aNow);
}

bool EnginePool::AnyFreeSlot(CallClass aClass) const {
  return std::any_of(mZones.begin(), mZones.end(),
                     [aClass](const ZoneGroup& aZone) {
                       const IndexSet& withFreeSlots =
                           aZone.mWithFreeSlots[ClassIndex(aClass)];
                       return !withFreeSlots.Members().empty();
                     });
}

Millis EnginePool::NextProbe(Millis aNow) const {
  Millis next(INT64_MAX);
  for (const EngineState* engine : mEngines) {
    if (engine->Circuit().State() == BreakerState::Open) {
      next = std::min(next, std::max(engine->Circuit().NextProbe(), aNow));
    }
  }
  return next;
}

int64_t EnginePool::FreeTrainingSlots(Millis aNow) const {
  int64_t freeSlots = 0;
  for (const EngineState* engine : mEngines) {
    freeSlots += engine->FreeSlotCount(CallClass::Training, mPrior, aNow);
  }
  return freeSlots;
}

}  // namespace rillwall
