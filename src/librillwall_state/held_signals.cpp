#include "rillwall/held_signals.h"

#include <csignal>

namespace rillwall {

namespace {

void ChangeMask(int aHow) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(aHow, &signals, nullptr);
}

}  // namespace

void HoldSignals() { ChangeMask(SIG_BLOCK); }

void ReleaseSignals() { ChangeMask(SIG_UNBLOCK); }

}  // namespace rillwall
