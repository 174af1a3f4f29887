/// \file
/// The settings of the gRPC library that hold for the whole process.

#pragma once

namespace rillwall {

/// Starts gRPC, once, for as long as the process lives. Without it the end of
/// the last server or channel would shut the library down, which may wait 10 s
/// for a poller of its own and would hold up a graceful shutdown.
///
/// Also turns off the search for lock cycles in the Abseil library beneath
/// gRPC, which the distribution's package has on: it takes a third of the
/// processor time of a call. What gRPC would write to standard error goes to
/// the log, without repeats.
void InitGrpcOnce();

}  // namespace rillwall
