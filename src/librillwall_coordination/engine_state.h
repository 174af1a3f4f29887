/// \file
/// What one node knows of one engine: its entry in the host list, its last load
/// report, the node's own calls there, its circuit breaker, and the number of
/// free slots that results.
///
/// The load is the sum of the node's own calls in flight, which are known
/// exactly, and the load of other nodes, which is the last report without the
/// own calls that it already counts. As a report ages, its weight decays in
/// favour of the mean of the engine's peers. Sans-IO and single-threaded.

#pragma once

#include <cstdint>

#include "breaker.h"
#include "dispatch_tuning.h"
#include "limiter.h"
#include "peer_speed.h"
#include "rillwall/dispatcher.h"
#include "rillwall/millis.h"
#include "rillwall/upstream.h"
#include "slot_share.h"

namespace rillwall {

/// State of one engine as seen by one node.
class EngineState {
 public:
  /// \param aTuning must outlive the state
  EngineState(Upstream aUpstream, const BreakerLimits& aLimits,
              const DispatchTuning& aTuning);

  const Upstream& Info() const { return mUpstream; }
  const LoadReport& LastReport() const { return mReport; }
  bool HasReport() const { return mHasReport; }

  /// Updates the engine's entry in the host list. A new generation means a new
  /// process, so everything known about the old one is dropped.
  void Update(Upstream aUpstream);
  /// Marks the engine as no longer in the host list. Calls in flight go on.
  void Unlist() { mListed = false; }
  void MarkLeaving() { mLeaving = true; }
  /// Marks the engine as leaving until a time. Used when the ID was reported as
  /// leaving before the engine was known: the report may be about an earlier
  /// process.
  void MarkLeavingUntil(Millis aUntil) { mLeavingUntil = aUntil; }
  bool Leaving() const { return mLeaving; }
  bool Listed() const { return mListed; }
  /// Records a load report.
  /// \param aRandom in [0, 1), rounds the slot shares
  void Report(const LoadReport& aReport, double aRandom);
  /// \param aShare share of the slots that is kept for interactive calls
  void SetHeadroom(double aShare) { mHeadroom = aShare; }

  /// Records the start of an own call.
  void Started(CallClass aClass, uint64_t aTicket, Millis aNow);
  /// Records the first token of an own call.
  /// \param aTime since the call's start
  void FirstToken(CallClass aClass, uint64_t aTicket, Millis aTime,
                  Millis aNow);
  /// \return whether the first token of a call that started at aStarted takes
  /// unusually long for this engine
  bool Overdue(CallClass aClass, Millis aStarted, Millis aNow) const;
  /// Lowers the limit because the first tokens of own calls are overdue, so the
  /// engine runs fewer streams than assumed.
  /// \param aOverdue number of own calls that are overdue
  void LowerLimit(int64_t aOverdue, double aPrior, Millis aNow);
  /// Records tokens of an own call.
  /// \param aSpan since the call's previous tokens
  void Progress(uint64_t aTicket, int64_t aTokens, Millis aSpan, Millis aNow);
  /// Records the end of an own call.
  /// \param aStreaming whether its first token had arrived
  /// \param aSameGeneration whether the engine's process is still the one that
  /// the call was started at
  void Ended(CallClass aClass, uint64_t aTicket, CallOutcome aOutcome,
             bool aStreaming, bool aSameGeneration, Millis aNow);

  /// \return whether the engine may receive new calls now
  bool Usable(Millis aNow) const;
  /// \return own calls in flight
  int64_t OwnCalls() const { return mInteractive + mTraining; }
  int64_t OwnCalls(CallClass aClass) const;
  /// \return own calls whose first token has not arrived
  int64_t AwaitingFirstToken() const { return mAwaitingFirstToken; }
  /// \param aPrior expected load of other nodes at an engine without a report
  /// \return estimated streams at the engine now
  double Load(double aPrior, Millis aNow) const;
  /// \return estimated load of other nodes
  double OtherLoad(double aPrior, Millis aNow) const;
  /// \return the number of streams at the engine below which calls of this
  /// class may start
  double Limit(CallClass aClass, Millis aNow) const;
  /// \return calls of this class that could start now
  int64_t FreeSlotCount(CallClass aClass, double aPrior, Millis aNow) const;
  /// \return whether the end of one own call lets an interactive one start
  bool WouldFreeSlot(double aPrior, Millis aNow) const;
  const Breaker& Circuit() const { return mBreaker; }
  /// \return whether a fresh report shows calls waiting in the engine's queue
  bool HasWaitingCalls(Millis aNow) const;
  /// \return whether own calls are in flight but no token has arrived for long
  bool Stalled(Millis aNow) const;
  const StreamSpeed& Speed() const { return mSpeed; }
  /// \return factor of the limit by speed, in (0, 1]
  double Weight() const { return mWeight; }
  /// Updates the weight by comparing the engine's speed with its peers.
  /// \param aMedian tokens per second and stream of the peers; 0: unknown
  void UpdateSpeedWeight(double aMedian, Millis aNow);

  /// Index of the engine in its pool.
  uint32_t Index() const { return mIndex; }
  void SetIndex(uint32_t aIndex) { mIndex = aIndex; }

 private:
  void UpdateSmoothedOwnCalls(Millis aNow);
  /// \return free slots for the class; negative if overloaded
  double FreeSlots(CallClass aClass, double aPrior, Millis aNow) const;
  void UpdateSlotShares(double aRandom);

  Upstream mUpstream;
  BreakerLimits mLimits;
  const DispatchTuning* mTuning;
  Breaker mBreaker;
  Limiter mLimiter;
  StreamSpeed mSpeed;
  double mWeight = 1;    ///< factor of the limit by speed
  Millis mLastActivity;  ///< last token, or start of the first call in flight
  LoadReport mReport;
  bool mHasReport = false;
  bool mLeaving = false;
  Millis mLeavingUntil;
  bool mListed = true;
  double mOwnCallsAtReport = 0;  ///< own calls that the report counts
  double mSmoothedOwnCalls = 0;  ///< exponential moving average of own calls
  Millis mSmoothedAt;
  SlotShare mInteractiveShare;
  SlotShare mTrainingShare;
  int64_t mInteractive = 0;
  int64_t mTraining = 0;
  int64_t mAwaitingFirstToken = 0;
  double mHeadroom = 0;          ///< share of slots kept for interactive calls
  double mHeadroomRounding = 0;  ///< in [0, 1), by the ID
  uint32_t mIndex = 0;
};

}  // namespace rillwall
