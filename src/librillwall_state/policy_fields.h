/// \file
/// Reads the fields of one declared Lua table into a rule, and checks them.

#pragma once

#include <cstdint>
#include <lua.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lua_sandbox.h"

namespace rillwall {

/// Least and greatest value allowed.
template <class Number>
struct Range {
  Number mLeast;
  Number mMost;
};

/// Longest name of a trainer, house, service, model, zone or policy.
inline constexpr size_t kMaxName = 64;

/// \return whether a text is a name: letters, digits, '.', '_' and '-'
bool IsName(std::string_view aText);

/// The fields of the table at the top of the stack. Each accessor reads one
/// field, and leaves the value as it is if the field is absent. The first fault
/// is kept and ends the reading. Nothing here allocates in Lua or raises.
class PolicyFields {
 public:
  /// \param aKind the declaration's name, for messages
  PolicyFields(lua_State* aState, const char* aKind, int aLine);

  PolicyFields& Name(const char* aField, std::string& aValue, bool aRequired);
  PolicyFields& Text(const char* aField, std::string& aValue);
  PolicyFields& Names(const char* aField, std::vector<std::string>& aValue);
  PolicyFields& Texts(const char* aField, std::vector<std::string>& aValue);
  PolicyFields& Whole(const char* aField, int64_t& aValue,
                      Range<int64_t> aRange);
  PolicyFields& Real(const char* aField, double& aValue, Range<double> aRange);
  PolicyFields& Flag(const char* aField, bool& aValue);
  /// Reads a table within the table.
  template <class Read>
  PolicyFields& Table(const char* aField, Read&& aRead) {
    if (Push(aField, LUA_TTABLE, "a table")) {
      PolicyFields inner(mState, mKind, mLine);
      inner.mWhere = mWhere + " field '" + aField + "'";
      aRead(inner);
      mFault = inner.Done();
    }
    Pop();
    return *this;
  }

  /// Refuses the table for a reason of the caller's, unless it is refused.
  void Refuse(std::string aCause, std::string aRemedy);
  /// Refuses fields that were not asked for.
  /// \return the first fault
  std::optional<LuaFault> Done();

 private:
  bool Push(const char* aField, int aType, const char* aWanted);
  void Pop();
  std::string Known() const;

  lua_State* mState;
  const char* mKind;
  int mLine;
  int mTop;
  std::string mWhere;
  std::vector<std::string_view> mAsked;
  std::optional<LuaFault> mFault;
};

}  // namespace rillwall
