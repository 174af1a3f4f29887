/// \file
/// Decides which source a node asks for the current view of the replicas, how
/// long it waits for the answer, and when it asks again.
///
/// The view must be recent enough that a draining replica gets no new requests
/// after the operator's bound. On the other hand, a slow source must not be
/// asked more often because it is slow. A node therefore sends one request at a
/// time. A source that fails to answer is not asked again for an exponentially
/// growing, randomized pause. In the meantime the node asks a helper: a
/// candidate for the lead (the elected host) that reads the store on behalf
/// of all nodes that ask it. Only a node that gets no answer from any node
/// reads the store itself.
///
/// With H nodes and C candidates, one period of requests costs H answers of
/// the lead, or H answers of the helpers and C reads of the store. While the
/// lead does not answer, the requests to it drop to a quarter. A store that no
/// source can reach is read by H nodes within eight seconds.
///
/// Pure: the current time is an argument, and random numbers come from a seed.

#pragma once

#include <cstdint>
#include <optional>

#include "rillwall/backoff.h"
#include "rillwall/millis.h"

namespace rillwall {

/// A source of the list of replicas.
enum class ViewSource {
  Lead,    ///< the node that holds the lead
  Helper,  ///< a candidate for the lead, asked in place of the lead
  LookUp,  ///< the store, only to find out which node leads
  Store,   ///< the store, for the whole list
};

/// Sources that a node currently knows.
struct ViewContacts {
  bool mLead = false;     ///< another node leads
  bool mHelpers = false;  ///< there are candidates to ask in place of the lead
  /// This node is a candidate: while no node leads it reads the store, to be a
  /// source for others.
  bool mCandidate = false;
  bool operator==(const ViewContacts&) const = default;
};

/// Schedules the requests of one node to its sources.
class ViewPlan {
 public:
  /// \param aBound time after which a draining replica must get no new requests
  /// \param aSeed seed of the random pauses; must differ between nodes
  ViewPlan(Millis aBound, uint64_t aSeed);
  void SetBound(Millis aBound) { mBound = aBound; }

  /// \return interval at which a node that reads the store does so
  Millis PollInterval() const;
  /// \return interval at which other sources are asked
  Millis AskInterval() const;
  /// \return timeout of a request: a multiple of the usual answer time, within
  /// limits that depend on the bound
  Millis RequestTimeout() const;

  /// Records that the process has started.
  /// \param aExpectLead no client waits for this node yet and a lead will be
  /// elected soon; otherwise the node reads the store within two seconds unless
  /// it gets the list from another node
  void Begin(bool aExpectLead, Millis aNow);
  /// Records that another host leads now. It is asked soon, but not by all
  /// nodes at the same time.
  void LeadChanged(Millis aNow);

  /// Asks the sources at once, because the node needs more than it was sent.
  void AskNow(Millis aNow);

  /// Asks a source at a time or soon after it, if not before. All nodes may
  /// name the same time.
  void AskBy(ViewSource aSource, Millis aAt);

  /// \return the source to ask now, or nothing if none is due
  std::optional<ViewSource> Next(const ViewContacts& aContacts,
                                 Millis aNow) const;
  /// \return interval at which to call Next()
  Millis CheckInterval() const;

  /// Records that a source sent its list.
  /// \param aAsked when the source was asked
  /// \param aAge age of the list when the source answered
  void RecordAnswer(ViewSource aSource, Millis aAsked, Millis aAge,
                    Millis aNow);
  /// Records that the store named the node that leads.
  void LeadFound(Millis aNow);
  /// Records that a source sent no answer, or no useful one.
  void RecordMiss(ViewSource aSource, Millis aNow);
  /// Records that a source cannot reach the store either.
  void RecordStoreUnreachable(ViewSource aSource, Millis aNow);

  /// \return whether the known list is recent enough to wait for a source
  bool Fresh(Millis aNow) const;
  /// \return consecutive requests that a source did not answer
  int Misses(ViewSource aSource) const { return Of(aSource).mMisses; }

 private:
  /// Answer history of one source.
  struct SourceState {
    int mMisses = 0;    ///< consecutive requests without an answer
    Millis mNextAskAt;  ///< time of the next request
  };
  static constexpr size_t kSources = 4;

  SourceState& Of(ViewSource aSource) {
    return mSourceStates[static_cast<size_t>(aSource)];
  }
  const SourceState& Of(ViewSource aSource) const {
    return mSourceStates[static_cast<size_t>(aSource)];
  }
  bool Due(ViewSource aSource, Millis aNow) const;
  /// \return whether a list that was read then is recent enough
  bool Recent(Millis aListedAt, Millis aNow) const;

  Millis mBound;
  SourceState mSourceStates[kSources];
  /// Time at which the known list was read from the store.
  std::optional<Millis> mListedAt;
  double mAnswerMs = 0;  ///< smoothed answer time; 0: none yet
  Jitter mJitter;
};

}  // namespace rillwall
