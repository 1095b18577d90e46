/// Reads from the text of a statement what the gateway needs of it, without parsing SQL. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// The views borrow from the text of the statement. The fields from `id` on are the terms of the
/// request; they come from comments in the statement, which hold "name=value" pairs with commas
/// between them. A term that is absent is empty.
struct Statement {
  bool is_select = false;                ///< Any other statement counts as a write.
  bool has_multiple_statements = false;  ///< The text holds more than one statement.
  std::string_view first_literal;        ///< The content of the first quoted literal.
  std::string_view id;                   ///< "id"
  std::string_view service_class;        ///< "c"
  std::string_view deadline;             ///< "d", in milliseconds from the arrival
  std::string_view idempotency_key;      ///< "k"
  std::string_view group;                ///< "cluster"
  std::string_view last_write;  ///< "after": the session's last commit, in Unix milliseconds
  std::string_view retry;       ///< "r": "1" for a retry by the client
};

Statement parse_statement(std::string_view text);

/// Whether a query holds only white space and semicolons.
bool is_blank(std::string_view text);

/// A decimal number of at most `max`; nothing for any other text.
std::optional<std::uint64_t> parse_whole_number(std::string_view text, std::uint64_t max);

}  // namespace gorsebeam::postgres
