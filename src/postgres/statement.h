/// What the gateway reads of a statement's text without parsing SQL. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// The views lead into the statement's text. The fields from `id` on come from its comment, which
/// holds "name=value" pairs with commas between them.
struct Statement {
  bool is_select = false;          ///< Every other statement counts as a write.
  bool has_several = false;        ///< More than one statement.
  std::string_view key;            ///< The first quoted literal.
  std::string_view id;             ///< "id"
  std::string_view service_class;  ///< "c"
  std::string_view deadline;       ///< "d", in milliseconds
  std::string_view idempotency;    ///< "k"
  std::string_view group;          ///< "cluster"
  std::string_view after;          ///< "after", Unix time in milliseconds
  std::string_view retry;          ///< "r"
};

Statement read_statement(std::string_view text);

/// Whether a query holds nothing but blanks and semicolons.
bool is_blank(std::string_view text);

/// A decimal number of at most `max`; nothing for any other text.
std::optional<std::uint64_t> parse_whole_number(std::string_view text, std::uint64_t max);

}  // namespace gorsebeam::postgres
