/// \file
/// Usage of client accounts as told between hosts and as kept in the store, in
/// rillwall's own format.
///
/// The key rillwall/usage/NNN holds the report of window NNN. It is created
/// once, by a change that is guarded by the lead's claim and by the key not
/// existing, before the report is sent: whoever sends it, sends the same. It is
/// removed some time after the report was taken.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/usage_meter.h"

namespace rillwall {

/// The report of one window.
struct UsageReport {
  int64_t mWindow = 0;
  AccountCounts mCounts;
  bool operator==(const UsageReport&) const = default;
};

std::string EncodeUsageReport(const UsageReport& aReport);
Result<UsageReport> DecodeUsageReport(std::string_view aText);

/// What a host tells the lead.
struct HostUsage {
  std::string mRun;  ///< its process
  WindowCounts mCounts;
  bool operator==(const HostUsage&) const = default;
};

std::string EncodeHostUsage(const HostUsage& aTold);
Result<HostUsage> DecodeHostUsage(std::string_view aText);

/// The prefix of all reports.
std::string UsagePrefix();
std::string UsageKey(int64_t aWindow);

}  // namespace rillwall
