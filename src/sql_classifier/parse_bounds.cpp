#include "parse_bounds.h"

#include "token_scanner.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <vector>

namespace gorsebeam::sql_classifier {
namespace {

// A token needs much less memory to be scanned than to be parsed.
constexpr std::size_t kScannedTokensPerParsedToken = 4;

constexpr std::string_view kUpdate = "update";
constexpr std::array<std::string_view, 4> kWritingKeywords{"insert", kUpdate, "delete", "merge"};

/// Whether `first` and `second` differ at most in the case of ASCII letters.
bool is_same_letter(char first, char second) {
  return g_ascii_tolower(first) == g_ascii_tolower(second);
}

/// Whether `text` is `keyword`, in any case of its letters.
bool is_keyword(std::string_view text, std::string_view keyword) {
  return std::equal(text.begin(), text.end(), keyword.begin(), keyword.end(), is_same_letter);
}

/// Whether `text` holds `keyword`, in any case of its letters, as a word or as part of one.
bool contains_letters(std::string_view text, std::string_view keyword) {
  return std::search(text.begin(), text.end(), keyword.begin(), keyword.end(), is_same_letter) !=
         text.end();
}

/// Whether the tokens can be those of an assignment of one value to several columns. The keyword
/// UPDATE is part of each statement with such an assignment, and the list of columns ends in ")".
bool can_assign_to_column_list(const std::vector<std::string_view>& tokens) {
  const bool has_update = std::any_of(tokens.begin(), tokens.end(), [](std::string_view token) {
    return is_keyword(token, kUpdate);
  });
  constexpr std::array<std::string_view, 2> kListEnd{")", "="};
  return has_update && std::search(tokens.begin(), tokens.end(), kListEnd.begin(),
                                   kListEnd.end()) != tokens.end();
}

}  // namespace

std::optional<std::string> find_parse_obstacle(const std::string& statement,
                                               std::size_t max_tokens) {
  const std::string too_many = "it holds more than " + std::to_string(max_tokens) + " tokens";
  const std::size_t bound = token_count_bound(statement);
  if (bound > kScannedTokensPerParsedToken * max_tokens)
    return too_many;
  if (bound <= max_tokens && !contains_letters(statement, kUpdate))
    return std::nullopt;
  const std::optional<std::vector<std::string_view>> tokens = scan_tokens(statement);
  if (!tokens)
    return "it cannot be split into tokens";
  if (tokens->size() > max_tokens)
    return too_many;
  if (can_assign_to_column_list(*tokens))
    return "it may assign to a list of columns";
  return std::nullopt;
}

bool begins_with_write(std::string_view statement) {
  constexpr std::string_view kSpaces = " \t\n\r\f\v";
  statement.remove_prefix(std::min(statement.find_first_not_of(kSpaces), statement.size()));
  const std::string_view word = statement.substr(0, statement.find_first_of(kSpaces));
  return std::any_of(kWritingKeywords.begin(), kWritingKeywords.end(),
                     [word](std::string_view keyword) {
                       return is_keyword(word, keyword);
                     });
}

}  // namespace gorsebeam::sql_classifier
