/// \file
/// Log messages for operators: short sentences, each with the prefix of the
/// component that writes it.
///
/// Log(Part::Gossip).Info("Node a is dead.") writes one line to standard error,
/// as text or, if configured, as one JSON object. A message that repeats within
/// ten seconds is suppressed; the next one that is written states how many were
/// suppressed. Thread-safe.

#pragma once

#include <string>
#include <string_view>

namespace rillwall {

/// The components of rillwall that write log messages.
enum class Part {
  Node,      ///< the process: start, drain, end
  Gossip,    ///< membership and facts
  Peer,      ///< calls between nodes
  Policy,    ///< policies and their distribution
  Kv,        ///< the key-value service
  Upstream,  ///< upstreams and the host list
  Call,      ///< calls from callers to engines
  Service,   ///< calls from callers to plain services
  Step,      ///< steps and samples
  Weight,    ///< weight versions and load orders to engines
  Http,      ///< connections
  Admin,     ///< the operators' API
};

/// \return the prefix of a component's messages, such as "gossip"
const char* PartName(Part aPart);

/// Severity of messages, least severe first.
enum class LogLevel { Debug, Info, Warn, Error };

/// Which messages are logged and in which format.
struct LogOptions {
  LogLevel mLevel = LogLevel::Info;  ///< least severe level that is logged
  bool mJson = false;                ///< one JSON object per line
  bool operator==(const LogOptions&) const = default;
};

/// Starts logging to standard error; nothing is logged before. May be called
/// again to change the options.
void StartLog(const LogOptions& aOptions);

/// Logger of one component, constructed for each message.
class Log {
 public:
  explicit Log(Part aPart) : mPart(aPart) {}
  /// Adds the id of a request to the line.
  Log& Request(std::string_view aId) {
    mRequest = aId;
    return *this;
  }
  /// Treats all messages with this key as repeats of each other, even if their
  /// texts differ.
  Log& RepeatKey(std::string_view aKey) {
    mKey = aKey;
    return *this;
  }
  void Debug(std::string_view aText) { Write(LogLevel::Debug, aText); }
  void Info(std::string_view aText) { Write(LogLevel::Info, aText); }
  void Warn(std::string_view aText) { Write(LogLevel::Warn, aText); }
  void Error(std::string_view aText) { Write(LogLevel::Error, aText); }

 private:
  void Write(LogLevel aLevel, std::string_view aText);

  Part mPart;
  std::string_view mRequest;
  std::string_view mKey;
};

}  // namespace rillwall
