/// Decides from a SQL statement's text whether it only reads. Pure. libpg_query, PostgreSQL's own
/// grammar, parses the statement, and each node, function, operator and type of its tree is looked
/// up in lists of those that only read. What is in no list is not a read, so that the syntax of a
/// later grammar is not accepted without review.
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
  Unknown,  ///< To be handled as a write that is not idempotent.
};

struct Verdict {
  Effect effect = Effect::Unknown;
  std::string reason;  ///< Why it is not a read; empty for a read.
};

/// A longer statement is unknown.
constexpr std::size_t kMaxStatementBytes = 64 * 1024;

/// Levels of the syntax tree; a deeper one is unknown.
constexpr int kMaxTreeDepth = 400;

class SqlClassifier {
public:
  /// `read_functions` are the operator's own functions that only read, named as statements call
  /// them: "area_total" or "app.area_total".
  explicit SqlClassifier(std::set<std::string> read_functions = {})
      : read_functions_(std::move(read_functions)) {}

  [[nodiscard]] Verdict classify(std::string_view statement) const;

private:
  std::set<std::string> read_functions_;
};

}  // namespace gorsebeam::sql_classifier
