#include "rillwall/json.h"

#include <charconv>

namespace rillwall {

namespace {

constexpr std::string_view kString = "has to be a string";
constexpr std::string_view kInt = "has to be an integer";
constexpr std::string_view kUint = "has to be an integer of at least 0";
constexpr std::string_view kDouble = "has to be a number";
constexpr std::string_view kBool = "has to be true or false";
constexpr std::string_view kStrings = "has to be an array of strings";
constexpr std::string_view kObject = "has to be an object";
constexpr std::string_view kArray = "has to be an array";

/// \return the number if it is representable without loss
template <class Number>
std::optional<Number> Exact(const json::value& aValue) {
  json::error_code code;
  const Number number = aValue.to_number<Number>(code);
  return code ? std::nullopt : std::optional<Number>(number);
}

Error TooLong(std::string_view aText, const JsonLimits& aLimits) {
  return {ErrorKind::TooLarge,
          "The JSON text has " + std::to_string(aText.size()) + " bytes; " +
              std::to_string(aLimits.mMaxBytes) + " are allowed."};
}

std::optional<int64_t> ParseDecimal(std::string_view aText) {
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, code] = std::from_chars(aText.data(), end, number);
  const bool whole = !aText.empty() && last == end && code == std::errc();
  return whole ? std::optional(number) : std::nullopt;
}

}  // namespace

Result<json::value> ParseJson(std::string_view aText,
                              const JsonLimits& aLimits) {
  if (aText.size() > aLimits.mMaxBytes) {
    return TooLong(aText, aLimits);
  }
  json::parse_options options;
  options.max_depth = aLimits.mMaxDepth;
  json::error_code code;
  json::value value = json::parse(aText, code, {}, options);
  if (code) {
    return Error(ErrorKind::BadRequest,
                 "The body is not valid JSON: " + code.message() + ".");
  }
  return value;
}

Result<json::object> ParseJsonObject(std::string_view aText,
                                     const JsonLimits& aLimits) {
  Result<json::value> value = ParseJson(aText, aLimits);
  if (!value) {
    return value.error();
  }
  if (!value->is_object()) {
    return Error(ErrorKind::BadRequest, "The body has to be a JSON object.");
  }
  return std::move(value->get_object());
}

namespace {

/// Reads the values of a text one after another.
class JsonValues {
 public:
  JsonValues(std::string_view aText, size_t aMaxDepth) : mText(aText) {
    json::parse_options options;
    options.max_depth = aMaxDepth;
    mParser.emplace(json::storage_ptr(), options);
  }

  /// Skips white space, and the character if it is the next one.
  /// \return whether it was
  bool Take(char aChar) {
    SkipSpace();
    const bool found = mAt < mText.size() && mText[mAt] == aChar;
    mAt += found ? 1 : 0;
    return found;
  }
  bool AtEnd() {
    SkipSpace();
    return mAt == mText.size();
  }
  /// \return the next value; nothing if there is none that is valid
  std::optional<json::value> Next() {
    SkipSpace();
    mBegin = mAt;
    json::error_code code;
    mParser->reset();
    mAt += mParser->write_some(mText.substr(mAt), code);
    if (!code && !mParser->done()) {
      // A number ends with the text.
      mParser->finish(code);
    }
    if (code) {
      mFailure = code;
      return std::nullopt;
    }
    return mParser->release();
  }
  /// \return the text of the last value, behind which the parser has skipped
  /// white space
  std::string_view Text() const {
    const std::string_view text = mText.substr(mBegin, mAt - mBegin);
    return text.substr(0, text.find_last_not_of(kSpace) + 1);
  }
  const json::error_code& Failure() const { return mFailure; }

 private:
  static constexpr std::string_view kSpace = " \t\r\n";

  void SkipSpace() {
    const size_t next = mText.find_first_not_of(kSpace, mAt);
    mAt = std::min(next, mText.size());
  }

  const std::string_view mText;
  std::optional<json::stream_parser> mParser;
  size_t mAt = 0;
  size_t mBegin = 0;
  json::error_code mFailure = json::error::syntax;
};

Error InvalidJson(const json::error_code& aCode) {
  return {ErrorKind::BadRequest,
          "The body is not valid JSON: " + aCode.message() + "."};
}

/// Passes the values of an array on, after its opening bracket.
std::optional<Error> ReadArray(JsonValues& aValues,
                               const JsonValueReader& aRead) {
  if (aValues.Take(']')) {
    return std::nullopt;
  }
  do {
    const std::optional<json::value> value = aValues.Next();
    if (!value) {
      return InvalidJson(aValues.Failure());
    }
    std::optional<Error> failed = aRead(*value, aValues.Text());
    if (failed) {
      return failed;
    }
  } while (aValues.Take(','));
  return aValues.Take(']') ? std::nullopt
                           : std::optional(InvalidJson(json::error::syntax));
}

}  // namespace

Result<json::object> ReadJsonObject(std::string_view aText,
                                    const JsonLimits& aLimits,
                                    std::string_view aArray,
                                    const JsonValueReader& aRead) {
  if (aText.size() > aLimits.mMaxBytes) {
    return TooLong(aText, aLimits);
  }
  // The object and the array are two levels.
  JsonValues values(aText, aLimits.mMaxDepth - 2);
  json::object object;
  if (!values.Take('{')) {
    return Error(ErrorKind::BadRequest, "The body has to be a JSON object.");
  }
  bool more = !values.Take('}');
  while (more) {
    const std::optional<json::value> name = values.Next();
    if (!name || !name->is_string() || !values.Take(':')) {
      return InvalidJson(name ? json::error::syntax : values.Failure());
    }
    const std::string key(name->get_string());
    if (key == aArray && object.contains(key)) {
      return Error(ErrorKind::BadRequest,
                   "Field '" + key + "' is there twice; send it once.");
    }
    if (key == aArray && values.Take('[')) {
      object[key] = json::array();
      std::optional<Error> failed = ReadArray(values, aRead);
      if (failed) {
        return std::move(*failed);
      }
    } else {
      std::optional<json::value> value = values.Next();
      if (!value) {
        return InvalidJson(values.Failure());
      }
      object[key] = std::move(*value);
    }
    more = values.Take(',');
    if (!more && !values.Take('}')) {
      return InvalidJson(json::error::syntax);
    }
  }
  if (!values.AtEnd()) {
    return InvalidJson(json::error::extra_data);
  }
  return object;
}

JsonReader::JsonReader(const json::object& aObject, std::string aPath)
    : mObject(aObject), mPath(std::move(aPath)) {}

void JsonReader::Fail(std::string_view aName, std::string_view aProblem) {
  if (mFailure) {
    return;
  }
  std::string field = mPath.empty() ? "" : mPath + ".";
  field += aName;
  mFailure.emplace(ErrorKind::BadRequest,
                   "Field '" + field + "' " + std::string(aProblem) + ".");
}

const json::value* JsonReader::Find(std::string_view aName) const {
  const json::value* found = mObject.if_contains(aName);
  return found != nullptr && !found->is_null() ? found : nullptr;
}

const json::value* JsonReader::Require(std::string_view aName,
                                       std::string_view aProblem) {
  const json::value* found = Find(aName);
  if (found == nullptr) {
    Fail(aName, "is missing; it " + std::string(aProblem));
  }
  return found;
}

std::string JsonReader::String(std::string_view aName) {
  const json::value* found = Require(aName, kString);
  return found != nullptr ? String(aName, "") : std::string();
}

std::string JsonReader::String(std::string_view aName,
                               std::string_view aDefault) {
  const json::value* found = Find(aName);
  if (found == nullptr) {
    return std::string(aDefault);
  }
  const json::string* text = found->if_string();
  if (text == nullptr) {
    Fail(aName, kString);
    return {};
  }
  return std::string(*text);
}

int64_t JsonReader::Int(std::string_view aName) {
  return Require(aName, kInt) != nullptr ? Int(aName, 0) : 0;
}

int64_t JsonReader::Int(std::string_view aName, int64_t aDefault) {
  const json::value* found = Find(aName);
  if (found == nullptr) {
    return aDefault;
  }
  const std::optional<int64_t> number = Exact<int64_t>(*found);
  if (!number) {
    Fail(aName, kInt);
  }
  return number.value_or(0);
}

uint64_t JsonReader::Uint(std::string_view aName) {
  return Require(aName, kUint) != nullptr ? Uint(aName, 0) : 0;
}

uint64_t JsonReader::Uint(std::string_view aName, uint64_t aDefault) {
  const json::value* found = Find(aName);
  if (found == nullptr) {
    return aDefault;
  }
  const std::optional<uint64_t> number = Exact<uint64_t>(*found);
  if (!number) {
    Fail(aName, kUint);
  }
  return number.value_or(0);
}

double JsonReader::Double(std::string_view aName) {
  return Require(aName, kDouble) != nullptr ? Double(aName, 0) : 0;
}

double JsonReader::Double(std::string_view aName, double aDefault) {
  const json::value* found = Find(aName);
  if (found == nullptr) {
    return aDefault;
  }
  if (!found->is_number()) {
    Fail(aName, kDouble);
    return 0;
  }
  return found->to_number<double>();
}

bool JsonReader::Bool(std::string_view aName) {
  return Require(aName, kBool) != nullptr && Bool(aName, false);
}

bool JsonReader::Bool(std::string_view aName, bool aDefault) {
  const json::value* found = Find(aName);
  if (found == nullptr) {
    return aDefault;
  }
  if (!found->is_bool()) {
    Fail(aName, kBool);
    return false;
  }
  return found->get_bool();
}

std::vector<std::string> JsonReader::Strings(std::string_view aName) {
  const json::value* found = Require(aName, kStrings);
  std::vector<std::string> strings;
  if (found == nullptr || !found->is_array()) {
    Fail(aName, kStrings);
    return strings;
  }
  strings.reserve(found->get_array().size());
  for (const json::value& item : found->get_array()) {
    if (!item.is_string()) {
      Fail(aName, kStrings);
      return {};
    }
    strings.emplace_back(item.get_string());
  }
  return strings;
}

int64_t JsonReader::DecimalInt(std::string_view aName) {
  const json::value* found = Find(aName);
  if (found == nullptr || !found->is_string()) {
    return Int(aName, 0);
  }
  const std::optional<int64_t> number = ParseDecimal(found->get_string());
  if (!number) {
    Fail(aName, kInt);
  }
  return number.value_or(0);
}

const json::object* JsonReader::Object(std::string_view aName) {
  const json::value* found = Find(aName);
  const json::object* object = found != nullptr ? found->if_object() : nullptr;
  if (found != nullptr && object == nullptr) {
    Fail(aName, kObject);
  }
  return object;
}

const json::array* JsonReader::Array(std::string_view aName) {
  const json::value* found = Find(aName);
  const json::array* array = found != nullptr ? found->if_array() : nullptr;
  if (found != nullptr && array == nullptr) {
    Fail(aName, kArray);
  }
  return array;
}

}  // namespace rillwall
