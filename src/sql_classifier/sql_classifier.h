/// Decides from the text of a SQL statement whether it only reads. Pure. libpg_query, which
/// contains PostgreSQL's own grammar, parses the statement; each node, function, operator and type
/// of the syntax tree is looked up in lists of those that only read. A name in no list makes the
/// statement other than a read, so that the syntax of a later grammar is not accepted without
/// review.
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
  Unknown,  ///< The caller handles it as a write that is not idempotent.
};

struct Classification {
  Effect effect = Effect::Unknown;
  std::string reason;  ///< Why it is not a read; empty for a read.
};

/// The effect of a longer statement is unknown.
constexpr std::size_t kMaxStatementBytes = 64 * 1024;

/// The effect of a statement whose syntax tree has more levels is unknown.
constexpr int kMaxTreeDepth = 400;

class SqlClassifier {
public:
  /// `read_functions` are functions of the operators that only read, named as statements call them:
  /// "area_total" or "app.area_total".
  explicit SqlClassifier(std::set<std::string> read_functions = {})
      : read_functions_(std::move(read_functions)) {}

  [[nodiscard]] Classification classify(std::string_view statement) const;

private:
  std::set<std::string> read_functions_;
};

}  // namespace gorsebeam::sql_classifier
