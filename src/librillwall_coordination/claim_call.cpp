/// \file
/// The life of a non-idempotent call as a state machine.
///
///     Idle -> Claiming <-> Checking     a claim is created, or read back
///     Claiming, Checking -> Running     the claim is this call's
///     Claiming, Checking -> Cleaning    refused, but a claim may be left
///     Running -> Recording -> Ended     the answer is written down
///     Running, Cleaning -> Removing -> Ended
///
/// A refusal before Running says not-run, which is the truth: Running is
/// entered by the creator of the claim only, and only once.

#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 40
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40
#define FUSION_MAX_VECTOR_SIZE 40

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "rillwall/backoff.h"
#include "rillwall/claim.h"

namespace rillwall {

namespace {

namespace front = boost::msm::front;

constexpr const char* kNoClaim =
    "The call needs a claim in the key-value service, which does not answer; "
    "nothing was sent to the upstream.";

// Events.
struct StartEvent {};
struct AppliedEvent {
  int64_t mRevision;
};
struct FoundEvent {
  const ClaimRecord& mRecord;
  int64_t mRevision;
};
struct AbsentEvent {};
struct UnavailableEvent {};
struct UncertainEvent {};
struct AnsweredEvent {
  ClaimAnswer& mAnswer;
};
struct NotRunEvent {
  const Error& mError;
};
struct LostEvent {
  const Error& mError;
};

/// What the machine works on.
struct Context {
  ClaimRecord mClaim;
  ClaimLimits mLimits;
  ClaimStep mStep;
  std::optional<ClaimOutcome> mOutcome;
  ClaimOutcome mPrepared;  ///< told once the entry was written or removed
  int64_t mRevision = 0;
  int mFailures = 0;  ///< of the present kind of step
  int mCreates = 0;
  bool mUnsure = false;  ///< a create may still take effect
  bool mLeftBehind = false;

  Millis Pause() const {
    return mFailures == 0
               ? Millis(0)
               : BackoffDelay(mFailures, mLimits.mPause, mLimits.mLongestPause);
  }

  void Next(ClaimAction aNext, std::string aValue = {}) {
    mStep = {aNext, Pause(), mRevision, std::move(aValue)};
  }

  void Create() {
    ++mCreates;
    Next(ClaimAction::Create, EncodeClaim(mClaim));
  }

  void Refuse(ErrorKind aKind, std::string aDetail, RunState aRun) {
    mOutcome = ClaimOutcome{
        ClaimOutcomeKind::Refuse, {}, Error(aKind, std::move(aDetail), aRun)};
    Next(ClaimAction::End);
  }

  void Tell() {
    if (!mOutcome) {
      mOutcome = std::move(mPrepared);
    }
  }
};

// Guards.
struct IsOwn {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    return aEvent.mRecord.mNonce == aMachine.mContext.mClaim.mNonce;
  }
};
struct IsOwnDone {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    return aEvent.mRecord.mNonce == aMachine.mContext.mClaim.mNonce &&
           aEvent.mRecord.mState == ClaimState::Done;
  }
};
struct MayCreate {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event&, Machine& aMachine, From&, To&) const {
    const Context& context = aMachine.mContext;
    return context.mCreates < context.mLimits.mCreateTries;
  }
};
/// Whether a create may still take effect, or did.
struct IsUnsure {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event&, Machine& aMachine, From&, To&) const {
    return aMachine.mContext.mUnsure;
  }
};
/// Whether one more try of this kind of step is left.
template <int ClaimLimits::*Tries>
struct MayTry {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event&, Machine& aMachine, From&, To&) const {
    const Context& context = aMachine.mContext;
    return context.mFailures + 1 < context.mLimits.*Tries;
  }
};

// Actions.
struct DoCreate {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    aMachine.mContext.Create();
  }
};
struct DoCreateAgain {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    ++aMachine.mContext.mFailures;
    aMachine.mContext.Create();
  }
};
struct DoCheck {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    aMachine.mContext.mUnsure = true;
    aMachine.mContext.mFailures = 0;
    aMachine.mContext.Next(ClaimAction::Read);
  }
};
struct DoCheckAgain {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    ++aMachine.mContext.mFailures;
    aMachine.mContext.Next(ClaimAction::Read);
  }
};
struct DoRun {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    aMachine.mContext.mRevision = aEvent.mRevision;
    aMachine.mContext.mFailures = 0;
    aMachine.mContext.Next(ClaimAction::Run);
  }
};
/// The claim is another call's.
struct DoRepeat {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    Context& context = aMachine.mContext;
    const ClaimRecord& record = aEvent.mRecord;
    if (record.mDigest != context.mClaim.mDigest) {
      context.Refuse(ErrorKind::Conflict,
                     "This Idempotency-Key was used with another request; use "
                     "a new key for a new call.",
                     RunState::NotRun);
    } else if (record.mState != ClaimState::Done) {
      context.Refuse(ErrorKind::OutcomeUnknown,
                     "A call with this Idempotency-Key runs now or ended "
                     "without a recorded outcome.",
                     RunState::Unknown);
    } else if (record.mAnswer.mBodyLeftOut) {
      context.Refuse(ErrorKind::OutcomeUnknown,
                     "The call ran and was answered with status " +
                         std::to_string(record.mAnswer.mStatus) +
                         ", but its answer was too large to be recorded.",
                     RunState::Run);
    } else {
      context.mOutcome =
          ClaimOutcome{ClaimOutcomeKind::Replay, record.mAnswer,
                       Error(ErrorKind::Internal, "", RunState::Run)};
      context.Next(ClaimAction::End);
    }
  }
};
struct DoRefuse {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    aMachine.mContext.Refuse(ErrorKind::KvUnavailable, kNoClaim,
                             RunState::NotRun);
  }
};
/// Refuses, and reads back in order to remove what may have been created.
struct DoClean {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    Context& context = aMachine.mContext;
    context.Refuse(ErrorKind::KvUncertain, kNoClaim, RunState::NotRun);
    context.mFailures = 1;
    context.Next(ClaimAction::Read);
  }
};
struct DoRemoveFound {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    aMachine.mContext.mRevision = aEvent.mRevision;
    aMachine.mContext.mFailures = 0;
    aMachine.mContext.Next(ClaimAction::Remove);
  }
};
struct DoRecord {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    Context& context = aMachine.mContext;
    context.mPrepared =
        ClaimOutcome{ClaimOutcomeKind::Answer, std::move(aEvent.mAnswer),
                     Error(ErrorKind::Internal, "", RunState::Run)};
    context.mClaim.mState = ClaimState::Done;
    context.mClaim.mAnswer = context.mPrepared.mAnswer;
    if (context.mClaim.mAnswer.mBody.size() > context.mLimits.mMaxBody) {
      context.mClaim.mAnswer.mBody.clear();
      context.mClaim.mAnswer.mBodyLeftOut = true;
    }
    context.Next(ClaimAction::Record, EncodeClaim(context.mClaim));
  }
};
/// The answer waits for the first try only.
struct DoRecordAgain {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    Context& context = aMachine.mContext;
    ++context.mFailures;
    context.Tell();
    context.Next(ClaimAction::Record, EncodeClaim(context.mClaim));
  }
};
struct DoRemove {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    Context& context = aMachine.mContext;
    context.mPrepared =
        ClaimOutcome{ClaimOutcomeKind::Refuse,
                     {},
                     aEvent.mError.WithRunState(RunState::NotRun)};
    context.Next(ClaimAction::Remove);
  }
};
struct DoRemoveAgain {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    Context& context = aMachine.mContext;
    ++context.mFailures;
    context.Tell();
    context.Next(ClaimAction::Remove);
  }
};
struct DoEnd {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    aMachine.mContext.Tell();
    aMachine.mContext.Next(ClaimAction::End);
  }
};
struct DoGiveUp {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event&, Machine& aMachine, From&, To&) const {
    aMachine.mContext.mLeftBehind = true;
    aMachine.mContext.Tell();
    aMachine.mContext.Next(ClaimAction::End);
  }
};
struct DoLose {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event& aEvent, Machine& aMachine, From&, To&) const {
    Context& context = aMachine.mContext;
    context.mLeftBehind = true;
    context.mOutcome =
        ClaimOutcome{ClaimOutcomeKind::Refuse,
                     {},
                     aEvent.mError.WithRunState(RunState::Unknown)};
    context.Next(ClaimAction::End);
  }
};

// States.
struct Idle : front::state<> {};
struct Claiming : front::state<> {};
struct Checking : front::state<> {};
struct Running : front::state<> {};
struct Recording : front::state<> {};
struct Cleaning : front::state<> {};
struct Removing : front::state<> {};
struct Ended : front::state<> {};

using MayClean = MayTry<&ClaimLimits::mCleanTries>;
using MayRead = MayTry<&ClaimLimits::mReadTries>;
using MayRecord = MayTry<&ClaimLimits::mRecordTries>;
using MayRemove = MayTry<&ClaimLimits::mRemoveTries>;

template <class From, class Event, class To, class Action,
          class Guard = front::none>
using Row = front::Row<From, Event, To, Action, Guard>;

struct MachineDef : front::state_machine_def<MachineDef> {
  Context mContext;

  using initial_state = Idle;
  // Of several rows for one state and event, the last whose guard holds wins.
  // MSM looks for the table by this name.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
    Row<Idle,      StartEvent,       Claiming,  DoCreate>,

    Row<Claiming,  AppliedEvent,     Running,   DoRun>,
    Row<Claiming,  FoundEvent,       Ended,     DoRepeat>,
    Row<Claiming,  FoundEvent,       Running,   DoRun,         IsOwn>,
    Row<Claiming,  AbsentEvent,      Ended,     DoRefuse>,
    Row<Claiming,  AbsentEvent,      Cleaning,  DoClean,       IsUnsure>,
    Row<Claiming,  AbsentEvent,      Claiming,  DoCreateAgain, MayCreate>,
    Row<Claiming,  UnavailableEvent, Ended,     DoRefuse>,
    Row<Claiming,  UnavailableEvent, Cleaning,  DoClean,       IsUnsure>,
    Row<Claiming,  UncertainEvent,   Checking,  DoCheck>,

    Row<Checking,  FoundEvent,       Ended,     DoRepeat>,
    Row<Checking,  FoundEvent,       Running,   DoRun,         IsOwn>,
    Row<Checking,  AbsentEvent,      Cleaning,  DoClean>,
    Row<Checking,  AbsentEvent,      Claiming,  DoCreateAgain, MayCreate>,
    Row<Checking,  UnavailableEvent, Cleaning,  DoClean>,
    Row<Checking,  UnavailableEvent, Checking,  DoCheckAgain,  MayRead>,

    Row<Cleaning,  FoundEvent,       Ended,     DoEnd>,
    Row<Cleaning,  FoundEvent,       Removing,  DoRemoveFound, IsOwn>,
    Row<Cleaning,  AbsentEvent,      Ended,     DoGiveUp>,
    Row<Cleaning,  UnavailableEvent, Ended,     DoGiveUp>,
    Row<Cleaning,  UnavailableEvent, Cleaning,  DoCheckAgain,  MayClean>,

    Row<Running,   AnsweredEvent,    Recording, DoRecord>,
    Row<Running,   NotRunEvent,      Removing,  DoRemove>,
    Row<Running,   LostEvent,        Ended,     DoLose>,

    Row<Recording, AppliedEvent,     Ended,     DoEnd>,
    Row<Recording, FoundEvent,       Ended,     DoGiveUp>,
    Row<Recording, FoundEvent,       Ended,     DoEnd,         IsOwnDone>,
    Row<Recording, AbsentEvent,      Ended,     DoGiveUp>,
    Row<Recording, UnavailableEvent, Ended,     DoGiveUp>,
    Row<Recording, UnavailableEvent, Recording, DoRecordAgain, MayRecord>,
    Row<Recording, UncertainEvent,   Ended,     DoGiveUp>,
    Row<Recording, UncertainEvent,   Recording, DoRecordAgain, MayRecord>,

    Row<Removing,  AppliedEvent,     Ended,     DoEnd>,
    Row<Removing,  FoundEvent,       Ended,     DoEnd>,
    Row<Removing,  AbsentEvent,      Ended,     DoEnd>,
    Row<Removing,  UnavailableEvent, Ended,     DoGiveUp>,
    Row<Removing,  UnavailableEvent, Removing,  DoRemoveAgain, MayRemove>,
    Row<Removing,  UncertainEvent,   Ended,     DoGiveUp>,
    Row<Removing,  UncertainEvent,   Removing,  DoRemoveAgain, MayRemove>
  > {};
  // clang-format on

  /// An event that does not fit the state is a defect of the owner; the call
  /// ends without another step, and never runs on it.
  template <class Machine, class Event>
  void no_transition(const Event&, Machine& aMachine, int) {
    Context& context = aMachine.mContext;
    if (!context.mOutcome) {
      context.Refuse(ErrorKind::Internal,
                     "The claim of this call met an event out of order.",
                     RunState::Unknown);
    }
    context.Next(ClaimAction::End);
  }
};

using Machine = boost::msm::back::state_machine<MachineDef>;

}  // namespace

struct ClaimCall::Impl {
  template <class Event>
  ClaimStep Process(const Event& aEvent) {
    mMachine.process_event(aEvent);
    return mMachine.mContext.mStep;
  }

  Machine mMachine;
};

ClaimCall::ClaimCall(ClaimKey aKey, std::string aDigest, std::string aNonce,
                     ClaimLimits aLimits)
    : mImpl(std::make_unique<Impl>()) {
  Context& context = mImpl->mMachine.mContext;
  context.mClaim.mKey = std::move(aKey);
  context.mClaim.mDigest = std::move(aDigest);
  context.mClaim.mNonce = std::move(aNonce);
  context.mLimits = aLimits;
  mImpl->mMachine.start();
}

ClaimCall::~ClaimCall() = default;

ClaimStep ClaimCall::Start() { return mImpl->Process(StartEvent()); }

ClaimStep ClaimCall::Applied(int64_t aRevision) {
  return mImpl->Process(AppliedEvent{aRevision});
}

ClaimStep ClaimCall::Found(std::string_view aValue, int64_t aModRevision) {
  // A record that cannot be read is another's whose outcome is not known.
  ClaimRecord unreadable;
  unreadable.mDigest = mImpl->mMachine.mContext.mClaim.mDigest;
  const Result<ClaimRecord> decoded = DecodeClaim(aValue);
  const ClaimRecord& record = decoded ? *decoded : unreadable;
  return mImpl->Process(FoundEvent{record, aModRevision});
}

ClaimStep ClaimCall::Absent() { return mImpl->Process(AbsentEvent()); }

ClaimStep ClaimCall::Unavailable() {
  return mImpl->Process(UnavailableEvent());
}

ClaimStep ClaimCall::Uncertain() { return mImpl->Process(UncertainEvent()); }

ClaimStep ClaimCall::Answered(ClaimAnswer aAnswer) {
  return mImpl->Process(AnsweredEvent{aAnswer});
}

ClaimStep ClaimCall::NotRun(Error aError) {
  return mImpl->Process(NotRunEvent{aError});
}

ClaimStep ClaimCall::Lost(Error aError) {
  return mImpl->Process(LostEvent{aError});
}

const std::optional<ClaimOutcome>& ClaimCall::Outcome() const {
  return mImpl->mMachine.mContext.mOutcome;
}

bool ClaimCall::LeftBehind() const {
  return mImpl->mMachine.mContext.mLeftBehind;
}

}  // namespace rillwall
