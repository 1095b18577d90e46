/// Decides from the text of a SQL statement whether the statement only reads. The functions are
/// pure. libpg_query, which contains PostgreSQL's own grammar, parses the statement. Each node,
/// function, operator and type of the syntax tree is looked up in lists of those that only read. A
/// name in no list means that the statement is not classified as a read, so the syntax of a later
/// grammar is not accepted without review.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace gorsebeam::sql_classifier {

enum class Effect {
  Read,
  Write,
  Unknown,  ///< The statement may write; the caller handles it as a write that is not idempotent.
};

struct Classification {
  Effect effect = Effect::Unknown;
  std::string reason;  ///< Why the statement is not a read; empty for a read.
};

/// A statement with more bytes is not parsed; its effect is unknown.
constexpr std::size_t kMaxStatementBytes = 64 * 1024;

/// The effect of a statement whose syntax tree has more levels is unknown.
constexpr int kMaxTreeDepth = 400;

/// A statement with more tokens is not parsed, whatever memory there is; it would delay other
/// clients.
constexpr std::size_t kMaxStatementTokens = 4096;

/// The memory that parsing needs at most for each token of a statement, in bytes.
constexpr std::size_t kMaxParseBytesPerToken = 1024;

/// Classifying a statement with more words and signs takes so long that other clients must not wait
/// for several of them.
constexpr std::size_t kMaxCheapTokens = 128;

/// Whether classifying the statement can take milliseconds.
[[nodiscard]] bool is_expensive(std::string_view statement);

class SqlClassifier {
public:
  /// `read_functions` are the operators' own functions that only read, by the names that statements
  /// use: "area_total" or "app.area_total". A statement with more than `max_tokens` tokens is not
  /// parsed.
  explicit SqlClassifier(std::set<std::string> read_functions = {},
                         std::size_t max_tokens = kMaxStatementTokens)
      : read_functions_(std::move(read_functions)), max_tokens_(max_tokens) {}

  [[nodiscard]] Classification classify(std::string_view statement) const;

private:
  std::set<std::string> read_functions_;
  std::size_t max_tokens_;
};

}  // namespace gorsebeam::sql_classifier
