/// \file
/// The engines of one model on one node, and the choice among them.
///
/// Engines with room are indexed by zone and call class, so that a choice
/// looks at a few of them, drawn at random, and takes the one with the lowest
/// score. Sans-IO and single-threaded; randomness comes from the caller.

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

/// A set of small indexes with constant-time change and random access.
class IndexSet {
 public:
  void Resize(size_t aCount);
  void Set(uint32_t aIndex, bool aMember);
  const std::vector<uint32_t>& Members() const { return mMembers; }

 private:
  static constexpr uint32_t kAbsent = UINT32_MAX;
  std::vector<uint32_t> mMembers;
  std::vector<uint32_t> mPlaces;
};

class EnginePool {
 public:
  /// \param aZone the node's own zone
  /// \param aTuning must outlive the pool
  EnginePool(std::string aZone, const DispatchTuning& aTuning)
      : mZone(std::move(aZone)), mTuning(&aTuning) {}

  /// Takes the engines; they must outlive the pool or the next call of this.
  void SetEngines(std::vector<EngineState*> aEngines, Millis aNow);
  const std::vector<EngineState*>& Engines() const { return mEngines; }
  bool Has(const EngineState& aEngine) const {
    const uint32_t index = aEngine.Index();
    return index < mEngines.size() && mEngines[index] == &aEngine;
  }

  /// Brings the index up to date with one engine.
  void Refresh(const EngineState& aEngine, Millis aNow);
  /// Brings the index up to date with all engines, as reports age.
  void RefreshAll(Millis aNow);

  /// \return an engine with room for the call, or nullptr
  EngineState* Choose(const CallSpec& aSpec, std::mt19937_64& aRandom,
                      Millis aNow);
  /// \return whether any engine that the call may use takes calls at all
  bool AnyUsable(const CallSpec& aSpec, Millis aNow) const;
  /// \return whether any engine has room for calls of this class
  bool AnyRoom(CallClass aClass) const;
  /// \return whether a call may go to an engine, room aside
  bool Allowed(const CallSpec& aSpec, const EngineState& aEngine,
               Millis aNow) const;
  /// \return whether any engine takes calls at all
  bool AnyUsable(Millis aNow) const;
  /// \return the instant when the first open breaker lets a probe through
  Millis NextProbe(Millis aNow) const;
  /// \return free slots for training calls
  int64_t FreeTrainingSlots(Millis aNow) const;
  /// \return load of others to expect of an engine without a fresh report
  double Prior() const { return mPrior; }

 private:
  static constexpr size_t kClasses = 2;
  struct ZoneGroup {
    std::string mName;
    std::array<IndexSet, kClasses> mRoomy;
    int64_t mNewest = 0;  ///< weight version of the usable engines
  };

  /// The best engine found so far.
  struct Candidate {
    EngineState* mEngine = nullptr;
    double mScore = 0;
    void Offer(EngineState* aEngine, double aScore);
  };

  bool ZoneAllowed(const CallSpec& aSpec, const ZoneGroup& aZone) const;
  /// \return the version that the call's engine must have; 0: any
  int64_t RequiredVersion(const CallSpec& aSpec, Millis aNow) const;
  bool Eligible(const CallSpec& aSpec, int64_t aVersion,
                const EngineState& aEngine) const;
  /// The lower, the better.
  double Score(const CallSpec& aSpec, const EngineState& aEngine,
               Millis aNow) const;
  void Sample(const CallSpec& aSpec, int64_t aVersion, std::mt19937_64& aRandom,
              Millis aNow, Candidate& aBest) const;
  void Scan(const CallSpec& aSpec, int64_t aVersion, Millis aNow,
            Candidate& aBest) const;
  void OfferPrefixHome(const CallSpec& aSpec, int64_t aVersion,
                       std::mt19937_64& aRandom, Millis aNow, Candidate& aBest);
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
