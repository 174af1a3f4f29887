/// \file
/// Structured events on standard output, one JSON object per line.
///
/// An event is written for each decision about a request and for each change of
/// the process's view of the fleet. Lines go into a bounded buffer that is
/// written without ever blocking. Lines that do not fit are dropped and
/// counted, and a later "log-dropped" event reports their number. Not
/// thread-safe: all calls come from one thread.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace rillwall {

/// Builds one event; Write() emits it.
class Event {
 public:
  /// \param aName what happened, such as "routed"; a string literal
  explicit Event(std::string_view aName);
  /// Adds the id of the request, step or item that the event concerns.
  Event& Id(std::string_view aId) { return Text("id", aId); }
  /// Adds a string field; long values are truncated.
  Event& Text(std::string_view aName, std::string_view aValue);
  Event& Number(std::string_view aName, int64_t aValue);
  Event& Flag(std::string_view aName, bool aValue);
  /// Limits the lines of this event's name to kMaxBoundedLines a second, for
  /// events that a surge would write by the thousand. A later "suppressed"
  /// event gives the number of lines left out. \param aBounded whether the
  /// limit applies to this line
  Event& Bounded(bool aBounded);
  /// Appends the line to the log; does nothing before StartEventLog().
  void Write();

 private:
  /// Appends the separator and the name of a field.
  void Name(std::string_view aName);
  std::string mLine;
  std::string mBoundedName;  ///< name of the event; empty: not bounded
  const std::string_view mName;
};

/// Most lines of one bounded event in a second.
inline constexpr int kMaxBoundedLines = 20;

/// Where and how events are written. The default is standard output.
struct EventLogOptions {
  int mDescriptor = 1;  ///< file descriptor; it is made non-blocking
  /// Most bytes that may wait to be written: some seconds of a loaded node.
  size_t mMaxPending = 256 * 1024;
  /// Called when the buffer becomes non-empty; it schedules a call of
  /// FlushEvents().
  std::function<void()> mOnPending;
};

/// Starts writing events; may be called again to change the options.
void StartEventLog(EventLogOptions aOptions);
/// Writes pending lines until the descriptor would block.
/// \return whether no line is pending any more
bool FlushEvents();
/// \return number of lines dropped since the process started, for metrics
uint64_t DroppedEvents();

}  // namespace rillwall
