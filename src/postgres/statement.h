/// Reads from the text of a statement what the gateway needs to route it, without parsing the SQL.
/// Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// A statement as the gateway reads it. The fields from `id` on describe the request. They come
/// from the comments in the statement, which hold "name=value" pairs with commas between them; a
/// field that is absent is empty. The views point into the text of the statement.
struct Statement {
  bool is_select = false;                ///< The first word is SELECT, in upper or lower case.
  bool has_multiple_statements = false;  ///< The text holds more than one statement.
  std::string_view first_literal;  ///< The content of the first quoted literal: the session's key.
  std::string_view id;             ///< Field "id".
  std::string_view service_class;  ///< Field "c": the name of the request class.
  std::string_view deadline;       ///< Field "d": the milliseconds from arrival to the deadline.
  std::string_view idempotency_key;  ///< Field "k".
  std::string_view group;            ///< Field "cluster": the number of the replica group.
  std::string_view last_write;  ///< Field "after": the session's last commit, in Unix milliseconds.
  std::string_view retry;       ///< Field "r": "1" for a retry by the client.
};

/// Reads a statement, up to the first comment or quoted literal that does not end.
Statement parse_statement(std::string_view text);

/// Whether a query holds only white space and semicolons.
bool is_blank(std::string_view text);

/// Returns the number that `text` holds in decimal digits, or nothing if `text` is not such a
/// number or the number exceeds `max`.
std::optional<std::uint64_t> parse_whole_number(std::string_view text, std::uint64_t max);

}  // namespace gorsebeam::postgres
