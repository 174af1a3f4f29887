#include "policy_fields.h"

#include <algorithm>
#include <cctype>
#include <cstdio>

namespace rillwall {

namespace {

constexpr size_t kMaxTextBytes = 256;
constexpr size_t kMaxListEntries = 1024;

std::string FormatNumber(double aValue) {
  char text[32];
  std::snprintf(text, sizeof(text), "%g", aValue);
  return text;
}

std::string Quoted(std::string_view aText) {
  return "'" + std::string(aText) + "'";
}

std::string_view StringAt(lua_State* aState, int aIndex) {
  size_t size = 0;
  const char* text = lua_tolstring(aState, aIndex, &size);
  return {text, size};
}

bool IsNameCharacter(char aCharacter) {
  return std::isalnum(static_cast<unsigned char>(aCharacter)) ||
         aCharacter == '.' || aCharacter == '_' || aCharacter == '-';
}

bool IsPrintable(std::string_view aText) {
  return std::all_of(aText.begin(), aText.end(),
                     [](char aByte) { return aByte >= ' ' && aByte <= '~'; });
}

}  // namespace

bool IsName(std::string_view aText) {
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

PolicyFields::PolicyFields(lua_State* aState, const char* aKind, int aLine)
    : mState(aState),
      mKind(aKind),
      mLine(aLine),
      mTableIndex(lua_gettop(aState)),
      mPath(aKind) {}

void PolicyFields::Refuse(std::string aCause, std::string aRemedy) {
  if (!mFault) {
    mFault =
        LuaFault{mLine, mPath + ": " + std::move(aCause), std::move(aRemedy)};
  }
}

// Iterates over the table instead of looking up the field, because a lookup
// creates a Lua string, which may raise an error.
bool PolicyFields::PushField(const char* aField, int aType,
                             const char* aWanted) {
  mReadFields.push_back(aField);
  if (mFault) {
    return false;
  }
  lua_pushnil(mState);
  while (lua_next(mState, mTableIndex)) {
    const bool match =
        lua_type(mState, -2) == LUA_TSTRING && StringAt(mState, -2) == aField;
    if (!match) {
      lua_pop(mState, 1);
      continue;
    }
    if (lua_type(mState, -1) == aType) {
      return true;
    }
    Refuse("field " + Quoted(aField) + " is a " +
               lua_typename(mState, lua_type(mState, -1)),
           std::string("Give ") + aWanted + ".");
    return false;
  }
  return false;
}

void PolicyFields::Pop() { lua_settop(mState, mTableIndex); }

PolicyFields& PolicyFields::Name(const char* aField, std::string& aValue,
                                 bool aRequired) {
  if (PushField(aField, LUA_TSTRING, "a name in quotes")) {
    aValue = StringAt(mState, -1);
    if (!IsName(aValue)) {
      Refuse("field " + Quoted(aField) + " is not a name",
             "Use 1 to 64 letters, digits, '.', '_' or '-'.");
    }
  } else if (aRequired) {
    Refuse("field " + Quoted(aField) + " is missing", "Add it.");
  }
  Pop();
  return *this;
}

PolicyFields& PolicyFields::Text(const char* aField, std::string& aValue) {
  if (PushField(aField, LUA_TSTRING, "a text in quotes")) {
    aValue = StringAt(mState, -1);
    if (aValue.size() > kMaxTextBytes || !IsPrintable(aValue)) {
      Refuse("field " + Quoted(aField) + " is too long or not printable",
             "Use up to 256 printable ASCII characters.");
    }
  }
  Pop();
  return *this;
}

PolicyFields& PolicyFields::Texts(const char* aField,
                                  std::vector<std::string>& aValue) {
  if (PushField(aField, LUA_TTABLE, "a list of texts")) {
    const size_t count = lua_rawlen(mState, -1);
    if (count > kMaxListEntries) {
      Refuse("field " + Quoted(aField) + " has too many entries",
             "Give at most 1024.");
    }
    size_t seen = 0;
    lua_pushnil(mState);
    while (!mFault && lua_next(mState, mTableIndex + 2)) {
      ++seen;
      if (lua_type(mState, -1) != LUA_TSTRING || !lua_isinteger(mState, -2)) {
        Refuse("field " + Quoted(aField) + " holds more than a list of texts",
               "Write it as { \"one\", \"two\" }.");
        break;
      }
      lua_pop(mState, 1);
    }
    for (size_t i = 1; !mFault && i <= count; ++i) {
      lua_rawgeti(mState, mTableIndex + 2, static_cast<lua_Integer>(i));
      aValue.emplace_back(StringAt(mState, -1));
      lua_pop(mState, 1);
    }
    if (!mFault && seen != count) {
      Refuse("field " + Quoted(aField) + " is a list with gaps",
             "Number its entries from 1 on.");
    }
  }
  Pop();
  return *this;
}

PolicyFields& PolicyFields::Names(const char* aField,
                                  std::vector<std::string>& aValue) {
  Texts(aField, aValue);
  for (const std::string& name : aValue) {
    if (!IsName(name)) {
      Refuse("field " + Quoted(aField) + " holds what is not a name",
             "Use 1 to 64 letters, digits, '.', '_' or '-' in each.");
    }
  }
  std::sort(aValue.begin(), aValue.end());
  aValue.erase(std::unique(aValue.begin(), aValue.end()), aValue.end());
  return *this;
}

PolicyFields& PolicyFields::Integer(const char* aField, int64_t& aValue,
                                    Range<int64_t> aRange) {
  if (PushField(aField, LUA_TNUMBER, "a whole number")) {
    int whole = 0;
    const int64_t value = lua_tointegerx(mState, -1, &whole);
    if (!whole || value < aRange.mMin || value > aRange.mMax) {
      Refuse("field " + Quoted(aField) + " is " +
                 FormatNumber(lua_tonumber(mState, -1)),
             "Give a whole number from " + std::to_string(aRange.mMin) +
                 " to " + std::to_string(aRange.mMax) + ".");
    }
    aValue = value;
  }
  Pop();
  return *this;
}

PolicyFields& PolicyFields::Double(const char* aField, double& aValue,
                                   Range<double> aRange) {
  if (PushField(aField, LUA_TNUMBER, "a number")) {
    aValue = lua_tonumber(mState, -1);
    if (!(aValue >= aRange.mMin && aValue <= aRange.mMax)) {
      Refuse("field " + Quoted(aField) + " is " + FormatNumber(aValue),
             "Give a number from " + FormatNumber(aRange.mMin) + " to " +
                 FormatNumber(aRange.mMax) + ".");
    }
  }
  Pop();
  return *this;
}

PolicyFields& PolicyFields::Flag(const char* aField, bool& aValue) {
  if (PushField(aField, LUA_TBOOLEAN, "true or false")) {
    aValue = lua_toboolean(mState, -1) != 0;
  }
  Pop();
  return *this;
}

std::string PolicyFields::KnownFields() const {
  std::string known;
  for (const std::string_view field : mReadFields) {
    known += known.empty() ? "" : ", ";
    known += field;
  }
  return known;
}

std::optional<LuaFault> PolicyFields::Finish() {
  lua_pushnil(mState);
  while (!mFault && lua_next(mState, mTableIndex)) {
    const bool text = lua_type(mState, -2) == LUA_TSTRING;
    const std::string_view key =
        text ? StringAt(mState, -2) : std::string_view("[number]");
    if (std::find(mReadFields.begin(), mReadFields.end(), key) ==
        mReadFields.end()) {
      const std::string shown(key.substr(0, kMaxNameBytes));
      Refuse("field " + Quoted(shown) + " is unknown",
             "Use one of: " + KnownFields() + ".");
    }
    lua_pop(mState, 1);
  }
  Pop();
  return mFault;
}

}  // namespace rillwall
