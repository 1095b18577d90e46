#include "endpoint_list_builder.h"

#include <csv.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace gorsebeam::inventory {
namespace {

using settings::FileError;

using Cells = std::vector<std::string>;

struct Table {
  /// A row for each line end outside quotation marks; the row of an empty line has no cells.
  std::vector<Cells> rows;
  /// False if parsing stopped in the last row because of a misplaced or unclosed quotation mark.
  bool is_complete = false;
};

/// Owns a libcsv parser.
class CsvParser {
public:
  CsvParser()
      : is_initialized_(csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) == 0) {}

  ~CsvParser() {
    if (is_initialized_)
      csv_free(&parser_);
  }

  CsvParser(const CsvParser&) = delete;
  CsvParser& operator=(const CsvParser&) = delete;
  CsvParser(CsvParser&&) = delete;
  CsvParser& operator=(CsvParser&&) = delete;

  [[nodiscard]] bool is_initialized() const { return is_initialized_; }

  [[nodiscard]] Table parse(const std::string& text) {
    Table table;
    table.rows.resize(1);
    const bool is_parsed = csv_parse(&parser_, text.data(), text.size(), append_cell, append_row,
                                     &table.rows) == text.size();
    table.is_complete = is_parsed && csv_fini(&parser_, append_cell, append_row, &table.rows) == 0;
    return table;
  }

private:
  // These are callbacks of libcsv, which is written in C: they must not throw.
  static void append_cell(void* text, std::size_t size, void* rows) {
    static_cast<std::vector<Cells>*>(rows)->back().emplace_back(static_cast<const char*>(text),
                                                                size);
  }

  static void append_row(int /*terminator*/, void* rows) {
    static_cast<std::vector<Cells>*>(rows)->emplace_back();
  }

  csv_parser parser_{};
  bool is_initialized_;
};

bool is_blank_or_comment(const Cells& cells) {
  return cells.empty() || cells[0].substr(0, 1) == "#";
}

/// Counts the line ends in quoted cells.
std::size_t count_line_ends(const Cells& cells) {
  std::size_t count = 0;
  for (const std::string& cell : cells)
    count += static_cast<std::size_t>(std::count(cell.begin(), cell.end(), '\n'));
  return count;
}

std::optional<FileError> validate_header(const Cells& columns, std::size_t line,
                                         const EndpointListBuilder& builder) {
  for (const std::string& name : columns)
    if (!EndpointListBuilder::is_column(name))
      return builder.make_error(line, name, "is not a column of an inventory");
  return std::nullopt;
}

std::optional<FileError> add_cells(const Cells& columns, const Cells& cells, std::size_t line,
                                   EndpointListBuilder& builder) {
  if (cells.size() != columns.size()) {
    const std::string& last_column = columns[std::min(cells.size(), columns.size()) - 1];
    return builder.make_error(line, last_column,
                              "the row has " + std::to_string(cells.size()) +
                                  " fields, but the header has " + std::to_string(columns.size()));
  }
  Row row;
  for (std::size_t i = 0; i < cells.size(); ++i)
    row[columns[i]] = {cells[i], line};
  // A row is whole, so that a variable without a column is not one that was cut off.
  for (const char* variable : kVariables)
    row.emplace(variable, Cell{"", line});
  return builder.add_row(row, line);
}

std::optional<FileError> add_table(const Table& table, EndpointListBuilder& builder) {
  Cells columns;
  std::size_t line = 0;
  for (std::size_t i = 0; i < table.rows.size(); ++i) {
    const Cells& cells = table.rows[i];
    ++line;
    const bool is_cut_off = !table.is_complete && i + 1 == table.rows.size();
    if (is_cut_off)
      break;
    if (is_blank_or_comment(cells))
      continue;
    if (columns.empty()) {
      if (auto error = validate_header(cells, line, builder))
        return error;
      columns = cells;
      continue;
    }
    if (auto error = add_cells(columns, cells, line, builder))
      return error;
    line += count_line_ends(cells);
  }
  if (!table.is_complete)
    return builder.make_error(line, columns.empty() ? "name" : columns[0],
                              "a quotation mark is misplaced or unclosed");
  return std::nullopt;
}

}  // namespace

InventoryResult parse_csv(const std::string& path, std::string text) {
  // libcsv ends a line at CR and again at LF, so CR LF would count as two line ends.
  text.erase(std::remove(text.begin(), text.end(), '\r'), text.end());
  CsvParser parser;
  if (!parser.is_initialized())
    return FileError{path, 0, std::nullopt, "not enough memory to read it"};
  EndpointListBuilder builder(path);
  if (auto error = add_table(parser.parse(text), builder))
    return *std::move(error);
  return builder.release();
}

}  // namespace gorsebeam::inventory
