/// \file
/// Structured events on standard output: one JSON object a line.
///
/// An event is written for each decision that touches a request and for each
/// change of what the process believes. Lines go into a bounded buffer, which
/// is written without ever blocking; what does not fit is dropped, counted and
/// told in a later line. Used on one thread.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace rillwall {

/// One event under construction.
class Event {
 public:
  /// \param aName what happened, such as "routed"
  explicit Event(std::string_view aName);
  /// The id of the request, step or item that it touches.
  Event& Id(std::string_view aId) { return Text("id", aId); }
  Event& Text(std::string_view aName, std::string_view aValue);
  Event& Number(std::string_view aName, int64_t aValue);
  Event& Flag(std::string_view aName, bool aValue);
  /// Hands the line to the log.
  void Write();

 private:
  void Name(std::string_view aName);
  std::string mLine;
};

/// Where lines go. The default writes to standard output.
struct EventLogOptions {
  int mDescriptor = 1;
  /// Lines waiting to be written, in bytes; some seconds of a loaded node.
  size_t mMaxPending = 256 * 1024;
  /// Asked once when lines begin to wait; calls FlushEvents() soon after.
  std::function<void()> mOnPending;
};

void StartEventLog(EventLogOptions aOptions);
/// Writes what waits, as far as the descriptor takes it at once.
/// \return whether nothing waits any more
bool FlushEvents();
/// \return lines dropped since the start, for metrics
uint64_t DroppedEvents();

}  // namespace rillwall
