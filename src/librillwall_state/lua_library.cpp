#include "lua_library.h"

#include <cstring>

namespace rillwall {

namespace {

constexpr int64_t kCallCost = 10;  // instructions, any library call
constexpr int64_t kElementsPerInstruction = 4;
constexpr int64_t kBytesPerInstruction = 64;

// Left out: patterns, as one match can take exponential time; string.rep, as it
// can loop without end and without memory; and all that reads addresses, time
// or randomness, loads code, catches errors (the limits are errors) or reaches
// a metatable.
constexpr const char* kBase[] = {"assert", "error",    "ipairs",
                                 "select", "tonumber", "type"};
constexpr const char* kString[] = {"byte",  "char",    "len", "lower",
                                   "upper", "reverse", "sub"};
constexpr const char* kTable[] = {"concat", "insert", "remove", "unpack"};
constexpr const char* kMath[] = {"abs", "ceil", "floor",     "fmod", "max",
                                 "min", "modf", "tointeger", "type", "ult"};

// Replaces the library at the top of the stack by a table of the functions
// named, each charged for.
template <size_t Count>
void KeepOnly(lua_State* aState, const char* const (&aNames)[Count],
              lua_CFunction aCharged) {
  lua_createtable(aState, 0, static_cast<int>(Count));
  for (const char* name : aNames) {
    lua_getfield(aState, -2, name);
    lua_pushcclosure(aState, aCharged, 1);
    lua_setfield(aState, -2, name);
  }
  lua_remove(aState, -2);
}

// tostring without the addresses of tables and functions.
int ToString(lua_State* aState) {
  luaL_checkany(aState, 1);
  const int type = lua_type(aState, 1);
  if (type == LUA_TTABLE || type == LUA_TFUNCTION) {
    return luaL_error(aState, "a %s has no text", lua_typename(aState, type));
  }
  luaL_tolstring(aState, 1, nullptr);
  return 1;
}

bool AllowedFormat(const char* aFormat) {
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

// string.format without addresses: numbers, strings and booleans only.
int Format(lua_State* aState) {
  if (!AllowedFormat(luaL_checkstring(aState, 1))) {
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

// pairs in a fixed order, numbers before strings; that of a hash table differs
// from process to process.
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

// Leaves pairs at the top of the stack.
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

// Leaves the string library at the top of the stack. Strings find their
// methods there too.
void OpenStrings(lua_State* aState, lua_CFunction aCharged) {
  luaL_requiref(aState, LUA_STRLIBNAME, luaopen_string, 0);
  lua_getfield(aState, -1, "format");
  lua_pushcclosure(aState, &Format, 1);
  lua_pushcclosure(aState, aCharged, 1);
  lua_insert(aState, -2);
  KeepOnly(aState, kString, aCharged);
  lua_insert(aState, -2);
  lua_setfield(aState, -2, "format");
  lua_pushliteral(aState, "");
  lua_getmetatable(aState, -1);
  lua_pushvalue(aState, -3);
  lua_setfield(aState, -2, "__index");
  lua_pop(aState, 2);
}

void OpenBase(lua_State* aState, int aGlobals, lua_CFunction aCharged) {
  luaL_requiref(aState, LUA_GNAME, luaopen_base, 0);
  const int base = lua_gettop(aState);
  for (const char* name : kBase) {
    lua_getfield(aState, base, name);
    lua_pushcclosure(aState, aCharged, 1);
    lua_setfield(aState, aGlobals, name);
  }
  lua_pushcfunction(aState, &ToString);
  lua_setfield(aState, aGlobals, "tostring");
  OpenPairs(aState, base);
  lua_setfield(aState, aGlobals, "pairs");
  lua_remove(aState, base);
}

}  // namespace

void OpenLuaLibrary(lua_State* aState, lua_CFunction aCharged) {
  lua_newtable(aState);
  const int globals = lua_gettop(aState);
  OpenBase(aState, globals, aCharged);
  OpenStrings(aState, aCharged);
  lua_setfield(aState, globals, LUA_STRLIBNAME);
  luaL_requiref(aState, LUA_TABLIBNAME, luaopen_table, 0);
  KeepOnly(aState, kTable, aCharged);
  lua_setfield(aState, globals, LUA_TABLIBNAME);
  luaL_requiref(aState, LUA_MATHLIBNAME, luaopen_math, 0);
  KeepOnly(aState, kMath, aCharged);
  lua_setfield(aState, globals, LUA_MATHLIBNAME);
  // The program sees this table and nothing of the real globals.
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
