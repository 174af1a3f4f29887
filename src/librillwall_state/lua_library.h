/// \file
/// The subset of the Lua standard library that policy programs may use.

#pragma once

#include <cstdint>
#include <lua.hpp>

namespace rillwall {

/// Replaces the globals by the allowed functions. May raise Lua errors, so it
/// must be called in protected mode.
/// \param aMeteredCall a C function whose first upvalue is the library
/// function; it charges the cost of the call and then calls the library
/// function
void OpenLuaLibrary(lua_State* aState, lua_CFunction aMeteredCall);

/// Estimates the cost of a library call, because the instruction count does not
/// include the work inside library functions.
/// \param aValues number of values on the stack that the call works on
/// \return cost in instructions, by the sizes of the values
int64_t LuaCallCost(lua_State* aState, int aValues);

}  // namespace rillwall
