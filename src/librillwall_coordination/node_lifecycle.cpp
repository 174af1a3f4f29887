#include "rillwall/node_lifecycle.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace rillwall {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Confirm {};
struct Expire {};
struct BeginDrain {};
struct EndDrain {};

struct LifecycleDef : msm::front::state_machine_def<LifecycleDef> {
  // The order of the states in NodePhase.
  struct Starting : msm::front::state<> {};
  struct Ready : msm::front::state<> {};
  struct Isolated : msm::front::state<> {};
  struct Draining : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Starting;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): name required by MSM.
  struct transition_table : boost::mpl::vector<
      Row<Starting, Confirm,    Ready,    none, none>,
      Row<Ready,    Expire,     Isolated, none, none>,
      Row<Isolated, Confirm,    Ready,    none, none>,
      Row<Starting, BeginDrain, Draining, none, none>,
      Row<Ready,    BeginDrain, Draining, none, none>,
      Row<Isolated, BeginDrain, Draining, none, none>,
      Row<Draining, EndDrain,   Stopped,  none, none>> {};
  // clang-format on

  // An event without a transition in the current state is ignored.
  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}
};

using Machine = msm::back::state_machine<LifecycleDef>;

// Boost.MSM derives the state IDs from the transition table.
template <class State>
constexpr int kStateId =
    msm::back::get_state_id<Machine::stt, State>::type::value;

}  // namespace

const char* NodePhaseName(NodePhase aPhase) {
  constexpr std::array<const char*, 5> kNames = {
      "starting", "ready", "isolated", "draining", "stopped"};
  return kNames[static_cast<size_t>(aPhase)];
}

struct NodeLifecycle::Impl {
  Machine mMachine;
  Millis mConfirmationTimeout;
  Millis mConfirmedAt;
};

NodeLifecycle::NodeLifecycle(Millis aConfirmationTimeout)
    : mImpl(std::make_unique<Impl>()) {
  mImpl->mConfirmationTimeout = aConfirmationTimeout;
  mImpl->mMachine.start();
}

NodeLifecycle::~NodeLifecycle() = default;

void NodeLifecycle::PolicyConfirmed(Millis aNow) {
  mImpl->mConfirmedAt = aNow;
  mImpl->mMachine.process_event(Confirm{});
}

void NodeLifecycle::Tick(Millis aNow) {
  if (aNow - mImpl->mConfirmedAt > mImpl->mConfirmationTimeout) {
    mImpl->mMachine.process_event(Expire{});
  }
}

void NodeLifecycle::Drain() { mImpl->mMachine.process_event(BeginDrain{}); }
void NodeLifecycle::Drained() { mImpl->mMachine.process_event(EndDrain{}); }

NodePhase NodeLifecycle::Phase() const {
  const int state = mImpl->mMachine.current_state()[0];
  if (state == kStateId<LifecycleDef::Ready>) {
    return NodePhase::Ready;
  }
  if (state == kStateId<LifecycleDef::Isolated>) {
    return NodePhase::Isolated;
  }
  if (state == kStateId<LifecycleDef::Draining>) {
    return NodePhase::Draining;
  }
  if (state == kStateId<LifecycleDef::Stopped>) {
    return NodePhase::Stopped;
  }
  return NodePhase::Starting;
}

}  // namespace rillwall
