/// \file
/// The part of Lua's library that a policy program may use.

#pragma once

#include <cstdint>
#include <lua.hpp>

namespace rillwall {

/// Replaces the globals by the allowed functions. Raises Lua errors, so it is
/// called in protected mode.
/// \param aCharged a C function whose first upvalue is the function to be
/// called; it counts the call's work and makes the call
void OpenLuaLibrary(lua_State* aState, lua_CFunction aCharged);

/// \return the work of a library call, in instructions, by the sizes of the
/// values on the stack; library functions run outside the instruction count
int64_t LuaCallCost(lua_State* aState, int aValues);

}  // namespace rillwall
