/// \file
/// Signals that arrive before a program handles them. Without further measures,
/// a signal that a process gets while it starts ends it.

#pragma once

namespace rillwall {

/// Holds SIGTERM and SIGHUP back for this thread and those that it starts. To
/// be called before any other thread exists.
void HoldSignals();

/// Delivers the held signals, and all later ones, to this thread. To be called
/// once they are handled.
void ReleaseSignals();

}  // namespace rillwall
