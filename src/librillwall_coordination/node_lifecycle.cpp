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

struct LifeDef : msm::front::state_machine_def<LifeDef> {
  // In the order of NodePhase, which is the order of the table's states.
  struct Starting : msm::front::state<> {};
  struct Ready : msm::front::state<> {};
  struct Isolated : msm::front::state<> {};
  struct Draining : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Starting;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): the name MSM looks for.
  struct transition_table : boost::mpl::vector<
      Row<Starting, Confirm,    Ready,    none, none>,
      Row<Ready,    Expire,     Isolated, none, none>,
      Row<Isolated, Confirm,    Ready,    none, none>,
      Row<Starting, BeginDrain, Draining, none, none>,
      Row<Ready,    BeginDrain, Draining, none, none>,
      Row<Isolated, BeginDrain, Draining, none, none>,
      Row<Draining, EndDrain,   Stopped,  none, none>> {};
  // clang-format on

  // An event that does not matter in the present state is no error.
  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}
};

using Machine = msm::back::state_machine<LifeDef>;

// Position of a state in the machine is fixed by its table, not by us.
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
  Millis mConfirmWithin;
  Millis mConfirmedAt;
};

NodeLifecycle::NodeLifecycle(Millis aConfirmWithin)
    : mImpl(std::make_unique<Impl>()) {
  mImpl->mConfirmWithin = aConfirmWithin;
  mImpl->mMachine.start();
}

NodeLifecycle::~NodeLifecycle() = default;

void NodeLifecycle::PolicyConfirmed(Millis aNow) {
  mImpl->mConfirmedAt = aNow;
  mImpl->mMachine.process_event(Confirm{});
}

void NodeLifecycle::Tick(Millis aNow) {
  if (aNow - mImpl->mConfirmedAt > mImpl->mConfirmWithin) {
    mImpl->mMachine.process_event(Expire{});
  }
}

void NodeLifecycle::Drain() { mImpl->mMachine.process_event(BeginDrain{}); }
void NodeLifecycle::Drained() { mImpl->mMachine.process_event(EndDrain{}); }

NodePhase NodeLifecycle::Phase() const {
  const int state = mImpl->mMachine.current_state()[0];
  if (state == kStateId<LifeDef::Ready>) {
    return NodePhase::Ready;
  }
  if (state == kStateId<LifeDef::Isolated>) {
    return NodePhase::Isolated;
  }
  if (state == kStateId<LifeDef::Draining>) {
    return NodePhase::Draining;
  }
  if (state == kStateId<LifeDef::Stopped>) {
    return NodePhase::Stopped;
  }
  return NodePhase::Starting;
}

}  // namespace rillwall
