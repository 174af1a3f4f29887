/// \file
/// Process-wide setup of the gRPC library.

#pragma once

namespace rillwall {

/// Initializes gRPC on the first call and keeps it initialized until the
/// process ends. Otherwise the destruction of the last server or channel would
/// shut the library down, which may wait 10 s for one of its pollers and would
/// delay a graceful shutdown.
///
/// Also disables the deadlock detection of Abseil's mutexes, which gRPC uses.
/// The distribution's package enables it, and it takes a third of the processor
/// time of a call. Messages of gRPC go to the log instead of standard error;
/// repeated messages are suppressed.
void InitGrpcOnce();

}  // namespace rillwall
