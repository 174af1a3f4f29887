/// \file
/// Small helpers for Boost.JSON: bounded parsing and typed access to fields
/// with errors that name the field.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"

namespace rillwall {

namespace json = boost::json;

/// Bounds of a JSON text that comes from outside.
struct JsonLimits {
  size_t mMaxBytes = 8 * 1024 * 1024;
  size_t mMaxDepth = 32;
};

/// Parses a JSON text.
/// \return the value, or BadRequest or TooLarge saying what is wrong
Result<json::value> ParseJson(std::string_view aText,
                              const JsonLimits& aLimits = {});

/// Parses a JSON text whose outermost value has to be an object.
Result<json::object> ParseJsonObject(std::string_view aText,
                                     const JsonLimits& aLimits = {});

/// Reads fields of an object by name and type. The first wrong or missing
/// field is remembered, so that a whole message is read in a row and checked
/// once at the end. A field of null counts as missing.
class JsonReader {
 public:
  /// \param aObject must outlive the reader
  /// \param aPath where the object stands, for messages, such as "policies[2]"
  explicit JsonReader(const json::object& aObject, std::string aPath = "");

  /// Fields that have to be there. A wrong one reads as zero or empty.
  std::string String(std::string_view aName);
  int64_t Int(std::string_view aName);
  uint64_t Uint(std::string_view aName);
  double Double(std::string_view aName);
  bool Bool(std::string_view aName);
  /// An array of strings.
  std::vector<std::string> Strings(std::string_view aName);

  /// Fields with a value for when they are missing.
  std::string String(std::string_view aName, std::string_view aDefault);
  int64_t Int(std::string_view aName, int64_t aDefault);
  uint64_t Uint(std::string_view aName, uint64_t aDefault);
  double Double(std::string_view aName, double aDefault);
  bool Bool(std::string_view aName, bool aDefault);

  /// A 64-bit number written as a decimal string or as a number; missing: 0.
  int64_t DecimalInt(std::string_view aName);

  /// Nested values; nullptr if missing. A value of another type is an error.
  const json::object* Object(std::string_view aName);
  const json::array* Array(std::string_view aName);

  /// \return whether the field is there
  bool Has(std::string_view aName) const { return Find(aName) != nullptr; }
  bool Failed() const { return mFailure.has_value(); }
  /// \return the first error; to be asked for only if Failed()
  const Error& Failure() const { return *mFailure; }
  /// Notes an error of the caller's own about a field, if it is the first.
  void Fail(std::string_view aName, std::string_view aWhat);

 private:
  const json::value* Find(std::string_view aName) const;
  /// The field, or nullptr after noting that it is missing.
  const json::value* Need(std::string_view aName, std::string_view aWhat);

  const json::object& mObject;
  std::string mPath;
  std::optional<Error> mFailure;
};

}  // namespace rillwall
