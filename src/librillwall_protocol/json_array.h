/// \file
/// Reads an array of objects in a JSON message.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rillwall/json.h"

namespace rillwall {

/// Reads an array field whose elements are objects.
/// \param aReader reader of the object that contains the field; it records the
/// first error of the field or of an element
/// \param aRead reads one element
/// \return the elements up to the first error; empty if the field is missing
template <class Value>
std::vector<Value> ReadArray(JsonReader& aReader, std::string_view aName,
                             Value (*aRead)(JsonReader&)) {
  std::vector<Value> values;
  const json::array* rows = aReader.Array(aName);
  for (size_t i = 0; rows != nullptr && i < rows->size(); ++i) {
    const json::object* row = (*rows)[i].if_object();
    if (row == nullptr) {
      aReader.Fail(aName, "holds a value that is not an object");
      break;
    }
    JsonReader fields(*row, std::string(aName));
    values.push_back(aRead(fields));
    if (fields.Failed()) {
      aReader.Fail(aName, fields.Failure().Detail());
      break;
    }
  }
  return values;
}

}  // namespace rillwall
