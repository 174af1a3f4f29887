/// \file
/// Reads and validates the fields of a Lua table that a policy declares.

#pragma once

#include <cstdint>
#include <lua.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lua_sandbox.h"

namespace rillwall {

/// Smallest and largest allowed value.
template <class Number>
struct Range {
  Number mMin;
  Number mMax;
};

/// Longest name of a trainer, house, service, model, zone or policy.
inline constexpr size_t kMaxNameBytes = 64;

/// \return whether the text is a valid name: 1 to 64 letters, digits, '.', '_'
/// or '-'
bool IsName(std::string_view aText);

/// Reader of the table at the top of the Lua stack. Each accessor reads one
/// field and leaves aValue unchanged if the field is absent. After the first
/// error the accessors read nothing more. No method allocates memory in Lua or
/// raises a Lua error.
class PolicyFields {
 public:
  /// \param aKind name of the declaration, for error messages
  /// \param aLine line of the declaration, for error messages
  PolicyFields(lua_State* aState, const char* aKind, int aLine);

  /// Reads a name; an absent name is an error if aRequired is set.
  PolicyFields& Name(const char* aField, std::string& aValue, bool aRequired);
  /// Reads printable ASCII text.
  PolicyFields& Text(const char* aField, std::string& aValue);
  /// Reads a list of names; the result is sorted and has no duplicates.
  PolicyFields& Names(const char* aField, std::vector<std::string>& aValue);
  /// Reads a list of strings.
  PolicyFields& Texts(const char* aField, std::vector<std::string>& aValue);
  PolicyFields& Integer(const char* aField, int64_t& aValue,
                        Range<int64_t> aRange);
  PolicyFields& Double(const char* aField, double& aValue,
                       Range<double> aRange);
  PolicyFields& Flag(const char* aField, bool& aValue);
  /// Reads a nested table.
  template <class Read>
  PolicyFields& Table(const char* aField, Read&& aRead) {
    if (PushField(aField, LUA_TTABLE, "a table")) {
      PolicyFields inner(mState, mKind, mLine);
      inner.mPath = mPath + " field '" + aField + "'";
      aRead(inner);
      mFault = inner.Finish();
    }
    Pop();
    return *this;
  }

  /// Rejects the table, unless it has been rejected already.
  void Refuse(std::string aCause, std::string aRemedy);
  /// Rejects the table if it has fields that no accessor has read.
  /// \return the first error
  std::optional<LuaFault> Finish();

 private:
  /// Pushes a field onto the Lua stack; rejects one of another type.
  /// \return whether the field exists and has the type
  bool PushField(const char* aField, int aType, const char* aWanted);
  /// Restores the stack to the table at its top.
  void Pop();
  std::string KnownFields() const;

  lua_State* mState;
  const char* mKind;
  int mLine;
  int mTableIndex;
  std::string mPath;
  std::vector<std::string_view> mReadFields;
  std::optional<LuaFault> mFault;
};

}  // namespace rillwall
