/// \file
/// Whom a node asks for the view of the replicas next, how long it waits for
/// the answer, and when it asks again.
///
/// The view must be young enough that a replica that leaves gets nothing new
/// after the operator's bound; yet a source that is late must not be asked
/// harder for it. So one question is under way at a time; a source that misses
/// is left alone for a pause that doubles and is drawn at random; meanwhile the
/// node asks a helper, a candidate for the lead that reads the store for all
/// who ask it; and only a node that nobody tells anything reads the store
/// itself.
///
/// With H nodes and C candidates, all within one period of questions: H answers
/// of the lead, or H of the helpers with C reads of the store. While the lead
/// does not answer, questions to it fall to a quarter of that. A store that no
/// source has heard from is read by H nodes within eight seconds.
///
/// Pure: the instant is an argument, and random numbers come from a seed.

#pragma once

#include <cstdint>
#include <optional>

#include "rillwall/backoff.h"
#include "rillwall/millis.h"

namespace rillwall {

/// Where a node may hear of the replicas.
enum class ViewSource {
  Lead,    ///< the holder of the lead
  Helper,  ///< a candidate for it, asked in the lead's place
  LookUp,  ///< the store, for who leads only
  Store,   ///< the store, for the whole list
};

/// Whom a node knows.
struct ViewContacts {
  bool mLead = false;     ///< somebody else who leads
  bool mHelpers = false;  ///< candidates that may be asked in the lead's place
  /// The node is a candidate itself: it reads the store while nobody leads, to
  /// be a source for others.
  bool mCandidate = false;
  bool operator==(const ViewContacts&) const = default;
};

class ViewPlan {
 public:
  /// \param aBound then a replica that leaves gets nothing new
  /// \param aSeed of the random parts of pauses; not alike on all nodes
  ViewPlan(Millis aBound, uint64_t aSeed);
  void SetBound(Millis aBound) { mBound = aBound; }

  /// \return how often a node that reads the store does so
  Millis PollInterval() const;
  /// \return how often others are to be asked
  Millis AskEvery() const;
  /// \return how long to wait for a node's answer: some times as long as
  /// answers have taken, within limits that the bound sets
  Millis Limit() const;

  /// The process has just begun.
  /// \param aExpectLead nobody waits for this node yet, and somebody will lead
  /// soon; else it reads the store within two seconds if nobody tells it
  void Begin(bool aExpectLead, Millis aNow);
  /// Another host leads than before: it is asked soon, not by all nodes at
  /// once.
  void LeadChanged(Millis aNow);

  /// The node needs more than it was told: its sources are asked at once.
  void AskNow(Millis aNow);

  /// \return the source to ask now; nothing if it is not time for any
  std::optional<ViewSource> Next(const ViewContacts& aContacts,
                                 Millis aNow) const;
  /// \return how long to sleep before Next() is asked again
  Millis Pause() const;

  /// A source told its list.
  /// \param aAsked when it was asked
  /// \param aAge of its list when it answered
  void Told(ViewSource aSource, Millis aAsked, Millis aAge, Millis aNow);
  /// The store told who leads.
  void LeadFound(Millis aNow);
  /// A source gave no answer, or none that helps.
  void RecordMiss(ViewSource aSource, Millis aNow);
  /// A source does not hear from the store either.
  void RecordStoreUnreachable(ViewSource aSource, Millis aNow);

  /// \return whether the list known here is young enough to wait for a source
  bool Fresh(Millis aNow) const;
  /// \return questions in a row that a source did not answer
  int Misses(ViewSource aSource) const { return Of(aSource).mMisses; }

 private:
  /// How one source has answered.
  struct Standing {
    int mMisses = 0;  ///< in a row
    Millis mFrom;     ///< not asked before
  };
  static constexpr size_t kSources = 4;

  Standing& Of(ViewSource aSource) {
    return mStandings[static_cast<size_t>(aSource)];
  }
  const Standing& Of(ViewSource aSource) const {
    return mStandings[static_cast<size_t>(aSource)];
  }
  bool Due(ViewSource aSource, Millis aNow) const;

  Millis mBound;
  Standing mStandings[kSources];
  std::optional<Millis> mListedAt;  ///< when the list known here was read
  double mTookMs = 0;               ///< smoothed, of answers; 0: none yet
  Jitter mJitter;
};

}  // namespace rillwall
