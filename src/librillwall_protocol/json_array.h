/// \file
/// Reading an array of objects in a message of our own.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rillwall/json.h"

namespace rillwall {

/// Reads each object of an array field.
/// \param aReader of the object that holds the field; notes the first fault, be
/// it the field's or an element's
/// \param aRead reads one element
/// \return the elements up to the first fault
template <class Value>
std::vector<Value> ReadArray(JsonReader& aReader, std::string_view aName,
                             Value (*aRead)(JsonReader&)) {
  std::vector<Value> values;
  const json::array* rows = aReader.Array(aName);
  for (size_t i = 0; rows != nullptr && i < rows->size(); ++i) {
    const json::object* row = (*rows)[i].if_object();
    if (row == nullptr) {
      aReader.Fail(aName, "holds something else than objects");
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
