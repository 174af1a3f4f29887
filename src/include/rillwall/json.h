/// \file
/// Helpers for Boost.JSON: bounded parsing, and typed access to fields with
/// errors that name the field.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"

namespace rillwall {

namespace json = boost::json;

/// Limits on JSON text from outside the process.
struct JsonLimits {
  size_t mMaxBytes = 8 * 1024 * 1024;
  size_t mMaxDepth = 32;  ///< levels of nesting
};

/// Parses a JSON text.
/// \return the value; TooLarge over mMaxBytes; BadRequest for invalid JSON or
/// too deep nesting
Result<json::value> ParseJson(std::string_view aText,
                              const JsonLimits& aLimits = {});

/// Parses a JSON text whose top-level value has to be an object.
/// \return the object, or an error as ParseJson() returns it
Result<json::object> ParseJsonObject(std::string_view aText,
                                     const JsonLimits& aLimits = {});

/// Called for each value of an array, with the value's text.
/// \return an error to end the reading, or nothing
using JsonValueReader = std::function<std::optional<Error>(
    const json::value& aValue, std::string_view aText)>;

/// Parses a JSON text whose top-level value has to be an object, one of whose
/// fields is a long array. The array's values are passed on one by one and are
/// not kept.
/// \param aArray name of the field; it must not be there twice
/// \return the object, in which the array is empty; an error of aRead, or as
/// ParseJson() returns it
Result<json::object> ReadJsonObject(std::string_view aText,
                                    const JsonLimits& aLimits,
                                    std::string_view aArray,
                                    const JsonValueReader& aRead);

/// Reads fields of an object by name and type. The reader keeps the first
/// error, so that callers read a whole message and check Failed() once at the
/// end. A field whose value is null counts as missing.
class JsonReader {
 public:
  /// \param aObject must outlive the reader
  /// \param aPath path of the object for error messages, such as "policies[2]"
  explicit JsonReader(const json::object& aObject, std::string aPath = "");

  /// Required fields. A missing or wrong field fails the reader and reads as
  /// zero, false or empty.
  std::string String(std::string_view aName);
  int64_t Int(std::string_view aName);
  uint64_t Uint(std::string_view aName);
  double Double(std::string_view aName);
  bool Bool(std::string_view aName);
  /// Required array of strings.
  std::vector<std::string> Strings(std::string_view aName);

  /// Optional fields; aDefault is returned for a missing field.
  std::string String(std::string_view aName, std::string_view aDefault);
  int64_t Int(std::string_view aName, int64_t aDefault);
  uint64_t Uint(std::string_view aName, uint64_t aDefault);
  double Double(std::string_view aName, double aDefault);
  bool Bool(std::string_view aName, bool aDefault);

  /// Optional 64-bit integer, given as a decimal string or as a number; 0 if
  /// missing.
  int64_t DecimalInt(std::string_view aName);

  /// Optional nested values; nullptr if missing. A value of another type fails
  /// the reader.
  const json::object* Object(std::string_view aName);
  const json::array* Array(std::string_view aName);

  /// \return whether the field exists and is not null
  bool Has(std::string_view aName) const { return Find(aName) != nullptr; }
  /// \return whether the field exists and is an object
  bool HasObject(std::string_view aName) const {
    const json::value* found = Find(aName);
    return found != nullptr && found->is_object();
  }
  bool Failed() const { return mFailure.has_value(); }
  /// \return the first error; requires Failed()
  const Error& Failure() const { return *mFailure; }
  /// Records an error about a field, unless the reader has failed already.
  /// \param aProblem completes the sentence "Field 'x' ...", without a full
  /// stop
  void Fail(std::string_view aName, std::string_view aProblem);

 private:
  const json::value* Find(std::string_view aName) const;
  /// \return the field, or nullptr after recording that it is missing
  const json::value* Require(std::string_view aName, std::string_view aProblem);

  const json::object& mObject;
  std::string mPath;
  std::optional<Error> mFailure;
};

}  // namespace rillwall
