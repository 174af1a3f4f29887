/// \file
/// JSON codec of crash records, as exchanged between hosts and kept in the
/// store.
///
/// The key rillwall/crash/REQUEST/REPLICA holds one record. Two hosts that
/// observe the same crash write the same key, so the crash is counted once.
/// Clearing a crash overwrites its record with one that is marked as cleared.
/// The lead removes records that are too old.

#pragma once

#include <string>
#include <string_view>

#include "rillwall/crash_table.h"
#include "rillwall/error.h"
#include "rillwall/json.h"

namespace rillwall {

/// \return the name of a standing in JSON and in the log
const char* NameOf(CrashStanding aStanding);

json::object ToJson(const CrashRecord& aRecord);
/// Reads a record; errors are reported through aReader.
CrashRecord CrashFromJson(JsonReader& aReader);

/// \return the record as JSON text
std::string EncodeCrash(const CrashRecord& aRecord);
/// \return the record, or BadRequest naming the wrong field
Result<CrashRecord> DecodeCrash(std::string_view aText);

/// \return the prefix of the store keys of all records
std::string CrashPrefix();
/// \return the store key of this record
std::string CrashKey(const CrashRecord& aRecord);

}  // namespace rillwall
