#include "cli_table.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace rillwall {

namespace json = boost::json;

namespace {

constexpr int kIndent = 2;
constexpr size_t kColumnGap = 2;

using Cells = std::vector<std::string>;

std::string CellText(const json::value* aValue) {
  if (!aValue || aValue->is_null()) {
    return "-";
  }
  if (const json::string* text = aValue->if_string()) {
    return text->empty() ? "-" : std::string(*text);
  }
  if (const bool* flag = aValue->if_bool()) {
    return *flag ? "yes" : "no";
  }
  return json::serialize(*aValue);
}

Cells RowOf(std::span<const TableColumn> aColumns, const json::value& aValue) {
  const json::object* object = aValue.if_object();
  Cells cells;
  for (const TableColumn& column : aColumns) {
    cells.push_back(
        CellText(object ? object->if_contains(column.mField) : nullptr));
  }
  return cells;
}

void PrintRow(std::ostream& aOut, const Cells& aCells,
              const std::vector<size_t>& aWidths) {
  std::string line;
  for (size_t i = 0; i < aCells.size(); ++i) {
    line += aCells[i];
    if (i + 1 < aCells.size()) {
      line.append(aWidths[i] + kColumnGap - aCells[i].size(), ' ');
    }
  }
  aOut << line << "\n";
}

void PrintValue(std::ostream& aOut, const json::value& aValue, int aDepth);

void PrintArray(std::ostream& aOut, const json::array& aArray, int aDepth) {
  const std::string indent(static_cast<size_t>(aDepth) * kIndent, ' ');
  aOut << "[";
  const char* comma = "";
  for (const json::value& value : aArray) {
    aOut << comma << "\n" << indent << std::string(kIndent, ' ');
    PrintValue(aOut, value, aDepth + 1);
    comma = ",";
  }
  aOut << "\n" << indent << "]";
}

void PrintObject(std::ostream& aOut, const json::object& aObject, int aDepth) {
  const std::string indent(static_cast<size_t>(aDepth) * kIndent, ' ');
  aOut << "{";
  const char* comma = "";
  for (const auto& field : aObject) {
    aOut << comma << "\n"
         << indent << std::string(kIndent, ' ')
         << json::serialize(json::string(field.key())) << ": ";
    PrintValue(aOut, field.value(), aDepth + 1);
    comma = ",";
  }
  aOut << "\n" << indent << "}";
}

void PrintValue(std::ostream& aOut, const json::value& aValue, int aDepth) {
  const json::array* array = aValue.if_array();
  const json::object* object = aValue.if_object();
  if (array && !array->empty()) {
    PrintArray(aOut, *array, aDepth);
  } else if (object && !object->empty()) {
    PrintObject(aOut, *object, aDepth);
  } else {
    aOut << json::serialize(aValue);
  }
}

}  // namespace

void PrintTable(std::ostream& aOut, std::span<const TableColumn> aColumns,
                const json::array& aRows) {
  std::vector<Cells> rows(1);
  for (const TableColumn& column : aColumns) {
    rows[0].push_back(column.mTitle);
  }
  for (const json::value& row : aRows) {
    rows.push_back(RowOf(aColumns, row));
  }
  std::vector<size_t> widths(aColumns.size());
  for (const Cells& cells : rows) {
    for (size_t i = 0; i < cells.size(); ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  }
  for (const Cells& cells : rows) {
    PrintRow(aOut, cells, widths);
  }
}

void PrintIndented(std::ostream& aOut, const json::value& aValue) {
  PrintValue(aOut, aValue, 0);
  aOut << "\n";
}

}  // namespace rillwall
