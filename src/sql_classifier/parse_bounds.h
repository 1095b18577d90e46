/// Bounds the memory and the time that parsing a SQL statement can take, from the statement's
/// tokens and before it is parsed. The functions are pure.
///
/// The size of a syntax tree is proportional to the number of tokens, with one exception: in
/// `SET (a, b) = (...)` of an UPDATE, PostgreSQL's grammar gives each column the same subtree,
/// which is printed once for each column. Such assignments can be nested, so that the printed tree
/// grows exponentially with the statement.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::sql_classifier {

/// Returns why `statement` must not be parsed; empty if its printed syntax tree is proportional to
/// at most `max_tokens` tokens. `statement` holds no zero byte.
[[nodiscard]] std::optional<std::string> find_parse_obstacle(const std::string& statement,
                                                             std::size_t max_tokens);

/// Whether the first word of `statement` is INSERT, UPDATE, DELETE or MERGE.
[[nodiscard]] bool begins_with_write(std::string_view statement);

}  // namespace gorsebeam::sql_classifier
