#include "rillwall/view_plan.h"

#include <algorithm>

#include "rillwall/backoff.h"

namespace rillwall {

namespace {

constexpr int64_t kPercent = 100;
/// Parts of the bound. In a calm state a list is as old as a poll of the lead
/// and the time between two questions together, 55 %. A node that has missed
/// one goes to the next source at once; from 62 % on it turns to the store,
/// which leaves time for a slow call.
constexpr int64_t kPollPercent = 25;
constexpr int64_t kAskPercent = 30;
constexpr int64_t kFreshPercent = 62;
/// Longest wait for one answer: two of them fit between the two lines above.
constexpr int64_t kLimitPercent = 15;
/// A live node on a quarter of a core answers well within this.
constexpr Millis kLeastLimit{300};
/// A late answer is worth waiting for up to this many times the usual time.
constexpr double kLimitFactor = 4;
constexpr double kTookWeight = 0.25;

/// Pauses after misses, against the time between two questions. A lead that
/// stays silent is asked by each node every fourth time only. Helpers are taken
/// in turn, so that each of them gets a share of the questions.
constexpr int64_t kFirstPauseShare = 4;
constexpr int64_t kLongestLeadTimes = 4;
constexpr int64_t kLongestHelperTimes = 1;
/// Before the store is read once more after a call that failed.
constexpr Millis kStorePause{500};
constexpr Millis kLongestStorePause{4000};
/// Nodes that nobody tells anything read the store within this, spread evenly:
/// long enough for a lead to be found and to answer, which spares most of them
/// the call; short, as their clients wait.
constexpr Millis kLonely{2000};
/// When all nodes start for the first time, the lead is claimed within this.
/// Who looks earlier has to look again, which is one call of each node.
constexpr Millis kFirstClaim{800};
/// Sources that answer, and have not heard from the store themselves, mean that
/// it is away, for them at least. A node then leaves it alone for so long, and
/// asks other helpers: else each would call it, while no call is answered.
constexpr Millis kAwayPause{8000};
/// After a change of the lead its first questions come within this.
constexpr Millis kNewLeadSpread{300};
/// How long a node that is to look at its sources sleeps. One look costs far
/// less than a question.
constexpr Millis kLook{50};

}  // namespace

ViewPlan::ViewPlan(Millis aBound, uint64_t aSeed)
    : mBound(aBound), mJitter(aSeed) {}

Millis ViewPlan::PollInterval() const {
  return mBound * kPollPercent / kPercent;
}

Millis ViewPlan::AskEvery() const { return mBound * kAskPercent / kPercent; }

Millis ViewPlan::Limit() const {
  const Millis most = std::max(kLeastLimit, mBound * kLimitPercent / kPercent);
  const Millis usual(static_cast<int64_t>(mTookMs * kLimitFactor));
  return std::clamp(usual, kLeastLimit, most);
}

Millis ViewPlan::Pause() const { return kLook; }

void ViewPlan::Begin(bool aExpectLead, Millis aNow) {
  if (aExpectLead) {
    mListedAt = aNow;
    Of(ViewSource::LookUp).mFrom =
        aNow + kFirstClaim + mJitter.FullJitter(kFirstClaim);
  }
  Of(ViewSource::Store).mFrom = aNow + mJitter.FullJitter(kLonely);
}

void ViewPlan::LeadChanged(Millis aNow) {
  Of(ViewSource::Lead) = {0, aNow + mJitter.EqualJitter(kNewLeadSpread)};
}

void ViewPlan::AskNow(Millis aNow) {
  Of(ViewSource::Lead).mFrom = aNow;
  Of(ViewSource::Helper).mFrom = aNow;
}

bool ViewPlan::Fresh(Millis aNow) const {
  return mListedAt && aNow - *mListedAt < mBound * kFreshPercent / kPercent;
}

bool ViewPlan::Due(ViewSource aSource, Millis aNow) const {
  const Standing& standing = Of(aSource);
  // One that has not missed is asked early rather than the next one in its
  // place.
  return aNow >= standing.mFrom || (standing.mMisses == 0 && !Fresh(aNow));
}

std::optional<ViewSource> ViewPlan::Next(const ViewContacts& aContacts,
                                         Millis aNow) const {
  const bool readsFirst = aContacts.mCandidate && !aContacts.mLead;
  if (readsFirst) {
    const bool due = aNow >= Of(ViewSource::Store).mFrom;
    return due ? std::optional(ViewSource::Store) : std::nullopt;
  }
  if (aContacts.mLead && Due(ViewSource::Lead, aNow)) {
    return ViewSource::Lead;
  }
  const bool doubtful = !aContacts.mLead || Misses(ViewSource::Lead) > 0;
  if (aContacts.mHelpers && doubtful && Due(ViewSource::Helper, aNow)) {
    return ViewSource::Helper;
  }
  if (!aContacts.mLead && aNow >= Of(ViewSource::LookUp).mFrom) {
    return ViewSource::LookUp;
  }
  if (!Fresh(aNow) && aNow >= Of(ViewSource::Store).mFrom) {
    return ViewSource::Store;
  }
  return std::nullopt;
}

void ViewPlan::Told(ViewSource aSource, Millis aAsked, Millis aAge,
                    Millis aNow) {
  const auto took = static_cast<double>((aNow - aAsked).Count());
  mTookMs =
      mTookMs == 0 ? took : mTookMs * (1 - kTookWeight) + took * kTookWeight;
  const Millis listed = aAsked - aAge;
  mListedAt = mListedAt ? std::max(*mListedAt, listed) : listed;
  if (!Fresh(aNow)) {
    RecordStoreUnreachable(aSource, aNow);
    return;
  }
  const Millis period =
      aSource == ViewSource::Store ? PollInterval() : AskEvery();
  const Millis again =
      aAsked + period * 9 / 10 + mJitter.EqualJitter(period / 5);
  Of(aSource) = {0, again};
  // One telling is enough for a period; the store is left to others.
  Standing& helper = Of(ViewSource::Helper);
  helper.mFrom = std::max(helper.mFrom, again);
  Standing& lookUp = Of(ViewSource::LookUp);
  lookUp.mFrom = std::max(lookUp.mFrom, again);
}

void ViewPlan::RecordStoreUnreachable(ViewSource aSource, Millis aNow) {
  RecordMiss(aSource, aNow);
  Standing& store = Of(ViewSource::Store);
  store.mFrom = std::max(store.mFrom, aNow + mJitter.EqualJitter(kAwayPause));
}

void ViewPlan::LeadFound(Millis aNow) {
  Of(ViewSource::LookUp) = {0, aNow + mJitter.EqualJitter(kStorePause)};
}

void ViewPlan::RecordMiss(ViewSource aSource, Millis aNow) {
  Standing& standing = Of(aSource);
  ++standing.mMisses;
  const bool ofStore =
      aSource == ViewSource::Store || aSource == ViewSource::LookUp;
  const Millis first = ofStore ? kStorePause : AskEvery() / kFirstPauseShare;
  const int64_t times =
      aSource == ViewSource::Lead ? kLongestLeadTimes : kLongestHelperTimes;
  const Millis most = ofStore ? kLongestStorePause : AskEvery() * times;
  const Millis pause = BackoffDelay(standing.mMisses, first, most);
  standing.mFrom = aNow + mJitter.EqualJitter(pause);
  if (aSource == ViewSource::Lead && standing.mMisses == 1) {
    // The helper is asked at once, whatever it told before.
    Standing& helper = Of(ViewSource::Helper);
    helper.mFrom = std::min(helper.mFrom, aNow);
  }
}

}  // namespace rillwall
