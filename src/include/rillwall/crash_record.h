/// \file
/// Records of crashes as told between hosts and as kept in the store, in
/// rillwall's own format.
///
/// The key rillwall/crash/REQUEST/REPLICA holds one record. Two hosts that saw
/// the same end write the same key, so that it counts once. The mark that it is
/// cleared is written over it. Removed by the lead once it is too old.

#pragma once

#include <string>
#include <string_view>

#include "rillwall/crash_table.h"
#include "rillwall/error.h"
#include "rillwall/json.h"

namespace rillwall {

json::object ToJson(const CrashRecord& aRecord);
CrashRecord CrashFromJson(JsonReader& aReader);

std::string EncodeCrash(const CrashRecord& aRecord);
Result<CrashRecord> DecodeCrash(std::string_view aText);

/// The prefix of all records.
std::string CrashPrefix();
std::string CrashKey(const CrashRecord& aRecord);

}  // namespace rillwall
