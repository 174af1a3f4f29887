/// \file
/// Prints JSON for users: arrays of objects as tables, other values indented.

#pragma once

#include <boost/json/value.hpp>
#include <ostream>
#include <span>

namespace rillwall {

/// Title of a column and the field that it shows.
struct TableColumn {
  const char* mTitle;
  const char* mField;
};

/// Prints one row for each object of an array. A missing or empty field is
/// shown as "-".
void PrintTable(std::ostream& aOut, std::span<const TableColumn> aColumns,
                const boost::json::array& aRows);

/// Prints a value as indented JSON on several lines.
void PrintIndented(std::ostream& aOut, const boost::json::value& aValue);

}  // namespace rillwall
