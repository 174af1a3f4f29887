/// \file
/// The engines of one model on one node, and the choice among them.
///
/// Engines with free slots are indexed by zone and call class. A choice
/// compares a few random ones and takes the one with the lowest score. Sans-IO
/// and single-threaded; the caller passes the random engine.

#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch_tuning.h"
#include "engine_state.h"
#include "prefix_affinity.h"
#include "rillwall/dispatcher.h"
#include "rillwall/millis.h"

namespace rillwall {

/// Set of small indexes with constant-time insertion, removal and random
/// access.
class IndexSet {
 public:
  void Resize(size_t aCount);
  void Set(uint32_t aIndex, bool aMember);
  const std::vector<uint32_t>& Members() const { return mMembers; }

 private:
  static constexpr uint32_t kAbsent = UINT32_MAX;
  std::vector<uint32_t> mMembers;
  std::vector<uint32_t> mPositions;
};

/// The engines of one model.
class EnginePool {
 public:
  /// \param aZone the zone of the node
  /// \param aTuning must outlive the pool
  EnginePool(std::string aZone, const DispatchTuning& aTuning)
      : mZone(std::move(aZone)), mTuning(&aTuning) {}

  /// Replaces the engines, which must outlive the pool or stay valid until the
  /// next call of this function.
  void SetEngines(std::vector<EngineState*> aEngines, Millis aNow);
  const std::vector<EngineState*>& Engines() const { return mEngines; }
  bool HasEngine(const EngineState& aEngine) const {
    const uint32_t index = aEngine.Index();
    return index < mEngines.size() && mEngines[index] == &aEngine;
  }

  /// Updates the index for one engine.
  void Refresh(const EngineState& aEngine, Millis aNow);
  /// Updates the index for all engines. Needed regularly because reports age.
  void RefreshAll(Millis aNow);

  /// \return an engine with a free slot for the call, or nullptr
  EngineState* Choose(const CallSpec& aSpec, std::mt19937_64& aRandom,
                      Millis aNow);
  /// \return whether any engine that the call may use is usable now
  bool AnyUsable(const CallSpec& aSpec, Millis aNow) const;
  /// \return whether any engine has a free slot for calls of this class
  bool AnyFreeSlot(CallClass aClass) const;
  /// \return whether the zones, weight version and exclusions of a call allow
  /// an engine, whatever its free slots
  bool Allowed(const CallSpec& aSpec, const EngineState& aEngine,
               Millis aNow) const;
  /// \return whether any engine is usable now
  bool AnyUsable(Millis aNow) const;
  /// \return the time when the first open breaker lets a probe through
  Millis NextProbe(Millis aNow) const;
  /// \return free slots for training calls
  int64_t FreeTrainingSlots(Millis aNow) const;
  /// \return expected load of other nodes at an engine without a fresh report
  double Prior() const { return mPrior; }

 private:
  static constexpr size_t kClasses = 2;
  /// The engines of one zone.
  struct ZoneGroup {
    std::string mName;
    std::array<IndexSet, kClasses> mWithFreeSlots;
    int64_t mNewestVersion = 0;  ///< of the weights of usable engines
  };

  /// The engine with the lowest score so far.
  struct Candidate {
    EngineState* mEngine = nullptr;
    double mScore = 0;
    void Offer(EngineState* aEngine, double aScore);
  };

  bool ZoneAllowed(const CallSpec& aSpec, const ZoneGroup& aZone) const;
  /// \return the minimum weight version that the engine of a call must have; 0:
  /// any, if no allowed engine has the requested one
  int64_t RequiredVersion(const CallSpec& aSpec, Millis aNow) const;
  bool Eligible(const CallSpec& aSpec, int64_t aVersion,
                const EngineState& aEngine) const;
  /// \return the score of an engine for a call; lower is better
  double Score(const CallSpec& aSpec, const EngineState& aEngine,
               Millis aNow) const;
  /// Offers a few random engines with free slots of each allowed zone.
  void OfferRandomEngines(const CallSpec& aSpec, int64_t aVersion,
                          std::mt19937_64& aRandom, Millis aNow,
                          Candidate& aBest) const;
  /// Offers all engines with free slots in the allowed zones.
  void OfferAllEngines(const CallSpec& aSpec, int64_t aVersion, Millis aNow,
                       Candidate& aBest) const;
  /// Offers a home engine of the call's prefix, with a bonus.
  void OfferPrefixHomes(const CallSpec& aSpec, int64_t aVersion,
                        std::mt19937_64& aRandom, Millis aNow,
                        Candidate& aBest);
  /// Updates the mean loads and the speed weights.
  void RefreshMeans(Millis aNow);

  std::string mZone;
  std::vector<EngineState*> mEngines;
  std::vector<uint32_t> mZoneOf;
  std::vector<ZoneGroup> mZones;
  const DispatchTuning* mTuning;
  PrefixRing mRing;
  PrefixShares mPrefixShares;
  std::vector<std::string> mRingIds;
  double mPrior = 0;
  double mMeanLoad = 0;
};

}  // namespace rillwall
