/// \file
/// Logs: short sentences, each under the fixed prefix of its part.
///
/// Log(Part::Gossip).Info("Node a is dead.") writes one line to standard error,
/// as text or, if so set, as one JSON object. A sentence that repeats within
/// ten seconds is written once; the next one that is written tells how many
/// were left out. Thread-safe.

#pragma once

#include <string>
#include <string_view>

namespace rillwall {

/// The parts of rillwall, each with its prefix.
enum class Part {
  Node,      ///< the process: start, drain, end
  Gossip,    ///< membership and facts
  Peer,      ///< calls between nodes
  Policy,    ///< policies and their spread
  Kv,        ///< the key-value service
  Upstream,  ///< upstreams and the host list
  Call,      ///< calls of callers, to engines
  Service,   ///< calls of callers, to plain services
  Step,      ///< steps and samples
  Weight,    ///< weight versions and orders to engines
  Http,      ///< connections
  Admin,     ///< the operators' API
};

/// \return the part's prefix, such as "gossip"
const char* PartName(Part aPart);

/// Least severe message that is logged.
enum class LogLevel { Debug, Info, Warn, Error };

/// How logs are written.
struct LogOptions {
  LogLevel mLevel = LogLevel::Info;
  bool mJson = false;  ///< one JSON object a line
  bool operator==(const LogOptions&) const = default;
};

/// Starts logging to standard error. Without it nothing is logged. May be
/// called again to change the options.
void StartLog(const LogOptions& aOptions);

/// The log of one part, made where it is used.
class Log {
 public:
  explicit Log(Part aPart) : mPart(aPart) {}
  /// Adds a request's identity to the line.
  Log& Request(std::string_view aId) {
    mRequest = aId;
    return *this;
  }
  /// Takes lines under one key for repeats of each other, whatever they say.
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
