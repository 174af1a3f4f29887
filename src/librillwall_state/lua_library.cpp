#include "lua_library.h"

#include <cstring>

namespace rillwall {

namespace {

constexpr int64_t kCallCost = 10;  // instructions per library call
constexpr int64_t kElementsPerInstruction = 4;
constexpr int64_t kBytesPerInstruction = 64;

// The lists omit pattern matching, because one match can take exponential time,
// and string.rep, because it can loop without end and without using memory.
// They also omit functions that read addresses, time or random numbers, load
// code, catch errors (limits are enforced by errors) or access metatables.
constexpr const char* kBaseFunctions[] = {"assert", "error",    "ipairs",
                                          "select", "tonumber", "type"};
constexpr const char* kStringFunctions[] = {"byte",  "char",    "len", "lower",
                                            "upper", "reverse", "sub"};
constexpr const char* kTableFunctions[] = {"concat", "insert", "remove",
                                           "unpack"};
constexpr const char* kMathFunctions[] = {"abs",  "ceil", "floor", "fmod",
                                          "max",  "min",  "modf",  "tointeger",
                                          "type", "ult"};

// Replaces the library at the top of the stack by a table of the named
// functions, each wrapped in aMeteredCall.
template <size_t Count>
void KeepOnly(lua_State* aState, const char* const (&aNames)[Count],
              lua_CFunction aMeteredCall) {
  lua_createtable(aState, 0, static_cast<int>(Count));
  for (const char* name : aNames) {
    lua_getfield(aState, -2, name);
    lua_pushcclosure(aState, aMeteredCall, 1);
    lua_setfield(aState, -2, name);
  }
  lua_remove(aState, -2);
}

// tostring, but without tables and functions, whose text is an address.
int ToString(lua_State* aState) {
  luaL_checkany(aState, 1);
  const int type = lua_type(aState, 1);
  if (type == LUA_TTABLE || type == LUA_TFUNCTION) {
    return luaL_error(aState, "a %s has no text", lua_typename(aState, type));
  }
  luaL_tolstring(aState, 1, nullptr);
  return 1;
}

bool IsAllowedFormat(const char* aFormat) {
  for (const char* at = std::strchr(aFormat, '%'); at;
       at = std::strchr(at, '%')) {
    ++at;
    at += std::strspn(at, "-+ #0123456789.");
    if (!*at || !std::strchr("%cdeEfgiosuxXq", *at)) {
      return false;
    }
    ++at;
  }
  return true;
}

// string.format, restricted to numbers, strings and booleans, because other
// values are formatted as addresses.
int Format(lua_State* aState) {
  if (!IsAllowedFormat(luaL_checkstring(aState, 1))) {
    return luaL_error(aState, "the format has an unknown conversion");
  }
  const int count = lua_gettop(aState);
  for (int i = 2; i <= count; ++i) {
    const int type = lua_type(aState, i);
    if (type != LUA_TNUMBER && type != LUA_TSTRING && type != LUA_TBOOLEAN) {
      return luaL_error(aState, "a %s cannot be formatted",
                        lua_typename(aState, type));
    }
  }
  lua_pushvalue(aState, lua_upvalueindex(1));
  lua_insert(aState, 1);
  lua_call(aState, count, 1);
  return 1;
}

// pairs in a fixed order, numbers before strings, because the order of a hash
// table differs between processes.
constexpr char kPairs[] = R"(
local next, sort, type = ...
local function before(a, b)
  local ta, tb = type(a), type(b)
  if ta ~= tb then return ta < tb end
  if ta == "boolean" then return a and not b end
  return a < b
end
return function(t)
  local keys, n = {}, 0
  for key in next, t do
    local kind = type(key)
    if kind ~= "number" and kind ~= "string" and kind ~= "boolean" then
      error("pairs takes tables whose keys are numbers or strings", 2)
    end
    n = n + 1
    keys[n] = key
  end
  sort(keys, before)
  local i = 0
  return function()
    i = i + 1
    local key = keys[i]
    if key ~= nil then return key, t[key] end
  end
end
)";

// Pushes pairs onto the stack.
// aBase: stack index of the base library.
void OpenPairs(lua_State* aState, int aBase) {
  if (luaL_loadbufferx(aState, kPairs, std::strlen(kPairs), "=pairs", "t") !=
      LUA_OK) {
    lua_error(aState);
  }
  lua_getfield(aState, aBase, "next");
  luaL_requiref(aState, LUA_TABLIBNAME, luaopen_table, 0);
  lua_getfield(aState, -1, "sort");
  lua_remove(aState, -2);
  lua_getfield(aState, aBase, "type");
  lua_call(aState, 3, 1);
}

// Pushes the restricted string library onto the stack and makes it the method
// table of strings.
void OpenStrings(lua_State* aState, lua_CFunction aMeteredCall) {
  luaL_requiref(aState, LUA_STRLIBNAME, luaopen_string, 0);
  lua_getfield(aState, -1, "format");
  lua_pushcclosure(aState, &Format, 1);
  lua_pushcclosure(aState, aMeteredCall, 1);
  lua_insert(aState, -2);
  KeepOnly(aState, kStringFunctions, aMeteredCall);
  lua_insert(aState, -2);
  lua_setfield(aState, -2, "format");
  lua_pushliteral(aState, "");
  lua_getmetatable(aState, -1);
  lua_pushvalue(aState, -3);
  lua_setfield(aState, -2, "__index");
  lua_pop(aState, 2);
}

void OpenBase(lua_State* aState, int aGlobals, lua_CFunction aMeteredCall) {
  luaL_requiref(aState, LUA_GNAME, luaopen_base, 0);
  const int base = lua_gettop(aState);
  for (const char* name : kBaseFunctions) {
    lua_getfield(aState, base, name);
    lua_pushcclosure(aState, aMeteredCall, 1);
    lua_setfield(aState, aGlobals, name);
  }
  lua_pushcfunction(aState, &ToString);
  lua_setfield(aState, aGlobals, "tostring");
  OpenPairs(aState, base);
  lua_setfield(aState, aGlobals, "pairs");
  lua_remove(aState, base);
}

}  // namespace

void OpenLuaLibrary(lua_State* aState, lua_CFunction aMeteredCall) {
  lua_newtable(aState);
  const int globals = lua_gettop(aState);
  OpenBase(aState, globals, aMeteredCall);
  OpenStrings(aState, aMeteredCall);
  lua_setfield(aState, globals, LUA_STRLIBNAME);
  luaL_requiref(aState, LUA_TABLIBNAME, luaopen_table, 0);
  KeepOnly(aState, kTableFunctions, aMeteredCall);
  lua_setfield(aState, globals, LUA_TABLIBNAME);
  luaL_requiref(aState, LUA_MATHLIBNAME, luaopen_math, 0);
  KeepOnly(aState, kMathFunctions, aMeteredCall);
  lua_setfield(aState, globals, LUA_MATHLIBNAME);
  // The new table replaces the real globals, which programs cannot reach.
  lua_rawseti(aState, LUA_REGISTRYINDEX, LUA_RIDX_GLOBALS);
}

int64_t LuaCallCost(lua_State* aState, int aValues) {
  int64_t cost = kCallCost + aValues / kElementsPerInstruction;
  for (int i = 1; i <= aValues; ++i) {
    const auto size = static_cast<int64_t>(lua_rawlen(aState, i));
    const bool table = lua_type(aState, i) == LUA_TTABLE;
    cost += size / (table ? kElementsPerInstruction : kBytesPerInstruction);
  }
  return cost;
}

}  // namespace rillwall
