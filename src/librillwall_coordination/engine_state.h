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
#include "rillwall/dispatcher.h"
#include "rillwall/millis.h"
#include "rillwall/upstream.h"

namespace rillwall {

class EngineState {
 public:
  EngineState(Upstream aUpstream, const BreakerLimits& aLimits);

  const Upstream& Info() const { return mUpstream; }
  const LoadReport& Reported() const { return mReport; }
  bool HasReport() const { return mHasReport; }

  /// Takes the engine's entry in the host list. A new generation is a new
  /// process: what was known of the old one is dropped.
  void Update(Upstream aUpstream);
  /// The engine is no longer in the list; calls in flight go on.
  void Unlist() { mListed = false; }
  void MarkLeaving() { mLeaving = true; }
  bool Leaving() const { return mLeaving; }
  bool Listed() const { return mListed; }
  void Report(const LoadReport& aReport);
  /// \param aShare share of slots kept for interactive calls
  void SetHeadroom(double aShare) { mHeadroom = aShare; }

  void Started(CallClass aClass, uint64_t aTicket, Millis aNow);
  /// Tokens came for a call.
  void Progress(uint64_t aTicket, int64_t aTokens, Millis aNow);
  void Ended(CallClass aClass, uint64_t aTicket, CallOutcome aOutcome,
             bool aSameGeneration, Millis aNow);

  /// \return whether new calls may go there now
  bool Usable(Millis aNow) const;
  int64_t Own() const { return mInteractive + mTraining; }
  int64_t Own(CallClass aClass) const;
  /// \return streams at the engine now, estimated
  /// \param aPrior load of others to expect of an engine without a report
  double Load(double aPrior, Millis aNow) const;
  /// \return load of other nodes, estimated
  double Others(double aPrior, Millis aNow) const;
  /// \return streams that it should hold at most
  double Limit(CallClass aClass, Millis aNow) const;
  /// \return calls of this class that could start now
  int64_t Room(CallClass aClass, double aPrior, Millis aNow) const;
  const Breaker& Circuit() const { return mBreaker; }

  /// The engine's place in its pool.
  uint32_t Index() const { return mIndex; }
  void SetIndex(uint32_t aIndex) { mIndex = aIndex; }

 private:
  Upstream mUpstream;
  BreakerLimits mLimits;
  Breaker mBreaker;
  LoadReport mReport;
  bool mHasReport = false;
  bool mLeaving = false;
  bool mListed = true;
  int64_t mOwnAtReport = 0;
  int64_t mInteractive = 0;
  int64_t mTraining = 0;
  double mHeadroom = 0;
  uint32_t mIndex = 0;
};

}  // namespace rillwall
