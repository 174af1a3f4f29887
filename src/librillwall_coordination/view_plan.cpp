#include "rillwall/view_plan.h"

#include <algorithm>

#include "rillwall/backoff.h"

namespace rillwall {

namespace {

constexpr int64_t kPercent = 100;
/// Percentages of the bound. In a calm state, a list is at most as old as the
/// poll interval of the lead plus the interval between requests, 55 %. A node
/// whose request failed asks the next source at once. From 62 % on it reads
/// the store, which leaves time for a slow call.
constexpr int64_t kPollPercent = 25;
constexpr int64_t kAskPercent = 30;
constexpr int64_t kFreshPercent = 62;
/// Longest timeout of a request: two of them fit into the bound along with the
/// intervals above.
constexpr int64_t kTimeoutPercent = 15;
/// Shortest timeout: a live node on a quarter of a core answers well within it.
constexpr Millis kMinTimeout{300};
/// A late answer is awaited for up to this multiple of the usual time.
constexpr double kTimeoutFactor = 4;
constexpr double kAnswerTimeWeight = 0.25;

/// Pauses after misses, relative to the interval between requests. Each node
/// asks a silent lead only in every fourth interval. Helpers are asked in turn,
/// so that each of them gets a share of the requests.
constexpr int64_t kFirstPauseDivisor = 4;
constexpr int64_t kMaxLeadPausePeriods = 4;
constexpr int64_t kMaxHelperPausePeriods = 1;
/// Pause before the store is read again after a failed call.
constexpr Millis kStorePause{500};
constexpr Millis kMaxStorePause{4000};
/// A node that gets no list from another node reads the store within this time,
/// at a random moment. It is long enough for a lead to be found and to answer,
/// which saves most nodes the call, and short because clients are
/// waiting.
constexpr Millis kInitialStoreSpread{2000};
/// When all nodes start for the first time, the lead is claimed within this
/// time. A node that looks for the lead earlier has to look again, which costs
/// one more call per node.
constexpr Millis kInitialClaimTime{800};
/// Sources that answer but cannot reach the store themselves show that it is
/// unreachable, at least for them. A node then does not call it for this long
/// and asks other helpers; otherwise every node would call the store while no
/// call succeeds.
constexpr Millis kStoreAwayPause{8000};
/// Requests that all nodes send after one event, such as a change of the lead,
/// are spread over this time.
constexpr Millis kNewLeadSpread{300};
/// Interval at which a node checks which sources are due. A check costs far
/// less than a request.
constexpr Millis kCheckInterval{50};

}  // namespace

ViewPlan::ViewPlan(Millis aBound, uint64_t aSeed)
    : mBound(aBound), mJitter(aSeed) {}

Millis ViewPlan::PollInterval() const {
  return mBound * kPollPercent / kPercent;
}

Millis ViewPlan::AskInterval() const { return mBound * kAskPercent / kPercent; }

Millis ViewPlan::RequestTimeout() const {
  const Millis longest =
      std::max(kMinTimeout, mBound * kTimeoutPercent / kPercent);
  const Millis usual(static_cast<int64_t>(mAnswerMs * kTimeoutFactor));
  return std::clamp(usual, kMinTimeout, longest);
}

Millis ViewPlan::CheckInterval() const { return kCheckInterval; }

void ViewPlan::Begin(bool aExpectLead, Millis aNow) {
  if (aExpectLead) {
    mListedAt = aNow;
    Of(ViewSource::LookUp).mNextAskAt =
        aNow + kInitialClaimTime + mJitter.FullJitter(kInitialClaimTime);
  }
  Of(ViewSource::Store).mNextAskAt =
      aNow + mJitter.FullJitter(kInitialStoreSpread);
}

void ViewPlan::LeadChanged(Millis aNow) {
  Of(ViewSource::Lead) = {0, aNow + mJitter.EqualJitter(kNewLeadSpread)};
}

void ViewPlan::AskNow(Millis aNow) {
  Of(ViewSource::Lead).mNextAskAt = aNow;
  Of(ViewSource::Helper).mNextAskAt = aNow;
}

void ViewPlan::AskBy(ViewSource aSource, Millis aAt) {
  Millis& next = Of(aSource).mNextAskAt;
  next = std::min(next, aAt + mJitter.FullJitter(kNewLeadSpread));
}

bool ViewPlan::Recent(Millis aListedAt, Millis aNow) const {
  return aNow - aListedAt < mBound * kFreshPercent / kPercent;
}

bool ViewPlan::Fresh(Millis aNow) const {
  return mListedAt && Recent(*mListedAt, aNow);
}

bool ViewPlan::Due(ViewSource aSource, Millis aNow) const {
  const SourceState& state = Of(aSource);
  // A source that has not missed is asked early rather than the next source.
  return aNow >= state.mNextAskAt || (state.mMisses == 0 && !Fresh(aNow));
}

std::optional<ViewSource> ViewPlan::Next(const ViewContacts& aContacts,
                                         Millis aNow) const {
  const bool readsStore = aContacts.mCandidate && !aContacts.mLead;
  if (readsStore) {
    const bool due = aNow >= Of(ViewSource::Store).mNextAskAt;
    return due ? std::optional(ViewSource::Store) : std::nullopt;
  }
  if (aContacts.mLead && Due(ViewSource::Lead, aNow)) {
    return ViewSource::Lead;
  }
  const bool leadDoubtful = !aContacts.mLead || Misses(ViewSource::Lead) > 0;
  if (aContacts.mHelpers && leadDoubtful && Due(ViewSource::Helper, aNow)) {
    return ViewSource::Helper;
  }
  if (!aContacts.mLead && aNow >= Of(ViewSource::LookUp).mNextAskAt) {
    return ViewSource::LookUp;
  }
  if (!Fresh(aNow) && aNow >= Of(ViewSource::Store).mNextAskAt) {
    return ViewSource::Store;
  }
  return std::nullopt;
}

void ViewPlan::RecordAnswer(ViewSource aSource, Millis aAsked, Millis aAge,
                            Millis aNow) {
  const auto answerMs = static_cast<double>((aNow - aAsked).Count());
  mAnswerMs = mAnswerMs == 0 ? answerMs
                             : mAnswerMs * (1 - kAnswerTimeWeight) +
                                   answerMs * kAnswerTimeWeight;
  const Millis listed = aAsked - aAge;
  mListedAt = mListedAt ? std::max(*mListedAt, listed) : listed;
  if (!Recent(listed, aNow)) {
    RecordStoreUnreachable(aSource, aNow);
    return;
  }
  const Millis period =
      aSource == ViewSource::Store ? PollInterval() : AskInterval();
  const Millis nextAskAt =
      aAsked + period * 9 / 10 + mJitter.EqualJitter(period / 5);
  Of(aSource) = {0, nextAskAt};
  // One answer is enough for a period; the store is left to other nodes.
  SourceState& helper = Of(ViewSource::Helper);
  helper.mNextAskAt = std::max(helper.mNextAskAt, nextAskAt);
  SourceState& lookUp = Of(ViewSource::LookUp);
  lookUp.mNextAskAt = std::max(lookUp.mNextAskAt, nextAskAt);
}

void ViewPlan::RecordStoreUnreachable(ViewSource aSource, Millis aNow) {
  RecordMiss(aSource, aNow);
  SourceState& store = Of(ViewSource::Store);
  store.mNextAskAt =
      std::max(store.mNextAskAt, aNow + mJitter.EqualJitter(kStoreAwayPause));
}

void ViewPlan::LeadFound(Millis aNow) {
  Of(ViewSource::LookUp) = {0, aNow + mJitter.EqualJitter(kStorePause)};
}

void ViewPlan::RecordMiss(ViewSource aSource, Millis aNow) {
  SourceState& state = Of(aSource);
  ++state.mMisses;
  const bool isStore =
      aSource == ViewSource::Store || aSource == ViewSource::LookUp;
  const Millis first =
      isStore ? kStorePause : AskInterval() / kFirstPauseDivisor;
  const int64_t periods = aSource == ViewSource::Lead ? kMaxLeadPausePeriods
                                                      : kMaxHelperPausePeriods;
  const Millis longest = isStore ? kMaxStorePause : AskInterval() * periods;
  const Millis pause = BackoffDelay(state.mMisses, first, longest);
  state.mNextAskAt = aNow + mJitter.EqualJitter(pause);
  if (aSource == ViewSource::Lead && state.mMisses == 1) {
    // Ask the helper at once, regardless of its earlier answers.
    SourceState& helper = Of(ViewSource::Helper);
    helper.mNextAskAt = std::min(helper.mNextAskAt, aNow);
  }
}

}  // namespace rillwall
