/// Splits a SQL statement into tokens by the scanner of libpg_query, which is PostgreSQL's own. The
/// functions are pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::sql_classifier {

/// Returns a number that is at least the number of tokens of `text`. It does not depend on which
/// parts of the text are literals or comments: each word counts, and each other character that is
/// not white space.
[[nodiscard]] std::size_t token_count_bound(std::string_view text);

/// Returns the texts of the tokens of `statement`, without comments, as parts of `statement`;
/// nothing if the scanner reports an error. Needs about 100 bytes for each token. `statement` holds
/// no zero byte.
[[nodiscard]] std::optional<std::vector<std::string_view>>
scan_tokens(const std::string& statement);

}  // namespace gorsebeam::sql_classifier
