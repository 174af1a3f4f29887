/// \file
/// What one node knows of one engine: its entry in the host list, its last
/// report, the node's own calls there, its breaker, and the room that follows.
///
/// The load is the node's own calls in flight, known exactly, plus that of
/// others, which is the last report less the own calls it already counts. A
/// report loses weight with age in favour of the mean of the engine's peers.
/// Sans-IO and single-threaded.

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

class EngineState {
 public:
  /// \param aTuning must outlive the state
  EngineState(Upstream aUpstream, const BreakerLimits& aLimits,
              const DispatchTuning& aTuning);

  const Upstream& Info() const { return mUpstream; }
  const LoadReport& Reported() const { return mReport; }
  bool HasReport() const { return mHasReport; }

  /// Takes the engine's entry in the host list. A new generation is a new
  /// process: what was known of the old one is dropped.
  void Update(Upstream aUpstream);
  /// The engine is no longer in the list; calls in flight go on.
  void Unlist() { mListed = false; }
  void MarkLeaving() { mLeaving = true; }
  /// The id was said to be leaving before the engine was known, so perhaps an
  /// earlier process was meant.
  void MarkLeavingUntil(Millis aUntil) { mLeavingUntil = aUntil; }
  bool Leaving() const { return mLeaving; }
  bool Listed() const { return mListed; }
  /// \param aRandom in [0, 1), to round shares by
  void Report(const LoadReport& aReport, double aRandom);
  /// \param aShare share of slots kept for interactive calls
  void SetHeadroom(double aShare) { mHeadroom = aShare; }

  void Started(CallClass aClass, uint64_t aTicket, Millis aNow);
  /// A call's first token came.
  /// \param aTime since its start
  void FirstToken(CallClass aClass, uint64_t aTicket, Millis aTime,
                  Millis aNow);
  /// \return whether a call's first token is later than is usual here
  bool Overdue(CallClass aClass, Millis aStarted, Millis aNow) const;
  /// Own calls are overdue: the engine holds fewer than was thought.
  void LowerLimit(int64_t aOverdue, double aPrior, Millis aNow);
  /// Tokens came for a call.
  /// \param aSpan since the call's tokens before
  void Progress(uint64_t aTicket, int64_t aTokens, Millis aSpan, Millis aNow);
  /// \param aStreaming whether its first token had come
  void Ended(CallClass aClass, uint64_t aTicket, CallOutcome aOutcome,
             bool aStreaming, bool aSameGeneration, Millis aNow);

  /// \return whether new calls may go there now
  bool Usable(Millis aNow) const;
  int64_t Own() const { return mInteractive + mTraining; }
  int64_t Own(CallClass aClass) const;
  /// \return own calls whose first token has not come
  int64_t Awaiting() const { return mAwaiting; }
  /// \return streams at the engine now, estimated
  /// \param aPrior load of others to expect of an engine without a report
  double Load(double aPrior, Millis aNow) const;
  /// \return load of other nodes, estimated
  double Others(double aPrior, Millis aNow) const;
  /// \return streams that it should hold at most
  double Limit(CallClass aClass, Millis aNow) const;
  /// \return calls of this class that could start now
  int64_t Room(CallClass aClass, double aPrior, Millis aNow) const;
  /// \return whether ending one own call lets an interactive one start there
  bool FreesRoom(double aPrior, Millis aNow) const;
  const Breaker& Circuit() const { return mBreaker; }
  /// \return whether a young report shows calls waiting at the engine
  bool Queues(Millis aNow) const;
  /// \return whether own calls are in flight and no token has come for long
  bool Stalled(Millis aNow) const;
  const StreamSpeed& Speed() const { return mSpeed; }
  double Weight() const { return mWeight; }
  /// \param aMedian tokens per second and stream of the peers; 0: unknown
  void WeighAgainst(double aMedian, Millis aNow);

  /// The engine's place in its pool.
  uint32_t Index() const { return mIndex; }
  void SetIndex(uint32_t aIndex) { mIndex = aIndex; }

 private:
  void SmoothOwn(Millis aNow);
  double FreeSlots(CallClass aClass, double aPrior, Millis aNow) const;
  void ShareSlots(double aRandom);

  Upstream mUpstream;
  BreakerLimits mLimits;
  const DispatchTuning* mTuning;
  Breaker mBreaker;
  Limiter mLimiter;
  StreamSpeed mSpeed;
  double mWeight = 1;  ///< by speed
  Millis mQuietSince;  ///< last token, or start of the first call in flight
  LoadReport mReport;
  bool mHasReport = false;
  bool mLeaving = false;
  Millis mLeavingUntil;
  bool mListed = true;
  double mOwnAtReport = 0;
  double mOwnSmooth = 0;  ///< own calls of a moment ago
  Millis mOwnSmoothAt;
  SlotShare mInteractiveShare;
  SlotShare mTrainingShare;
  int64_t mInteractive = 0;
  int64_t mTraining = 0;
  int64_t mAwaiting = 0;
  double mHeadroom = 0;
  double mRounding = 0;  ///< in [0, 1), of the headroom; by the id
  uint32_t mIndex = 0;
};

}  // namespace rillwall
