/// \file
/// Shows JSON to people: tables of like objects, and indented text.

#pragma once

#include <boost/json/value.hpp>
#include <ostream>
#include <span>

namespace rillwall {

/// A column: its title and the field that it shows.
struct TableColumn {
  const char* mTitle;
  const char* mField;
};

/// Prints one row for each object of an array; a missing field shows as "-".
void PrintTable(std::ostream& aOut, std::span<const TableColumn> aColumns,
                const boost::json::array& aRows);

/// Prints a value over several lines, indented.
void PrintIndented(std::ostream& aOut, const boost::json::value& aValue);

}  // namespace rillwall
