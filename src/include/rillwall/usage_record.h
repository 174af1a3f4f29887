/// \file
/// JSON codec of the usage of client accounts, as reported between hosts and
/// kept in the store.
///
/// The key rillwall/usage/NNN holds the report of window NNN. Before a report
/// is sent, the key is created in a transaction that requires the lead's claim
/// and that the key does not exist. So every lead sends the same report for a
/// window. The key is removed some time after the report was accepted.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/usage_meter.h"

namespace rillwall {

/// Usage of all accounts in one window.
struct UsageReport {
  int64_t mWindow = 0;  ///< number of the window
  AccountCounts mCounts;
  bool operator==(const UsageReport&) const = default;
};

/// JSON codecs. Decoding returns BadRequest naming the wrong field.
std::string EncodeUsageReport(const UsageReport& aReport);
Result<UsageReport> DecodeUsageReport(std::string_view aText);

/// Usage that a host reports to the lead.
struct HostUsage {
  std::string mRun;  ///< id of the host's process start
  WindowCounts mCounts;
  bool operator==(const HostUsage&) const = default;
};

std::string EncodeHostUsage(const HostUsage& aUsage);
Result<HostUsage> DecodeHostUsage(std::string_view aText);

/// \return prefix of the store keys of all reports
std::string UsagePrefix();
/// \return store key of the report of a window
std::string UsageKey(int64_t aWindow);

}  // namespace rillwall
