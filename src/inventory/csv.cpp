#include "endpoint_rows.h"
#include "settings/json_reader.h"

#include <csv.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <vector>

namespace gorsebeam::inventory {
namespace {

using Cells = std::vector<std::string>;

// The library calls back for fields and for the ends of lines; nothing may be thrown through it.
std::vector<Cells> read_cells(std::string text, const std::string& path, bool& whole) {
  text.erase(std::remove(text.begin(), text.end(), '\r'), text.end());  // each line end counts once
  csv_parser parser;
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0)
    throw settings::FormatError(path + ": no memory to read it");
  std::vector<Cells> rows(1);
  const auto on_field = [](void* field, std::size_t size, void* data) {
    static_cast<std::vector<Cells>*>(data)->back().emplace_back(static_cast<const char*>(field),
                                                                size);
  };
  const auto on_row = [](int, void* data) {
    static_cast<std::vector<Cells>*>(data)->emplace_back();
  };
  whole = csv_parse(&parser, text.data(), text.size(), on_field, on_row, &rows) == text.size() &&
          csv_fini(&parser, on_field, on_row, &rows) == 0;
  csv_free(&parser);
  return rows;
}

}  // namespace

void read_csv(const std::string& path, Rows& rows) {
  std::ifstream file(path);
  if (!file)
    throw settings::FormatError(path + ": cannot be read");
  bool whole = false;
  const std::vector<Cells> table =
      read_cells({std::istreambuf_iterator<char>(file), {}}, path, whole);
  Cells columns;
  std::size_t line = 0;
  for (std::size_t at = 0; at < table.size(); ++at) {
    const Cells& cells = table[at];
    ++line;
    if (!whole && at + 1 == table.size())
      break;  // the one that does not end
    if (cells.empty() || cells[0].substr(0, 1) == "#")
      continue;
    if (columns.empty()) {
      for (const std::string& name : cells)
        if (!Rows::known(name))
          rows.wrong(line, name, "is no column of an inventory");
      columns = cells;
      continue;
    }
    if (cells.size() != columns.size())
      rows.wrong(line, columns[std::min(cells.size(), columns.size()) - 1],
                 std::to_string(cells.size()) + " fields where the header has " +
                     std::to_string(columns.size()));
    Row row;
    for (std::size_t i = 0; i < cells.size(); ++i)
      row[columns[i]] = {cells[i], line};
    rows.add(row, line);
    for (const std::string& cell : cells)  // a quoted cell may run over lines
      line += static_cast<std::size_t>(std::count(cell.begin(), cell.end(), '\n'));
  }
  if (!whole)
    rows.wrong(line, columns.empty() ? "name" : columns[0], "a quote is out of place");
}

}  // namespace gorsebeam::inventory
