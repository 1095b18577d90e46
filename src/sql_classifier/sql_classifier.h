// What a statement of SQL does, as far as its text tells: nothing but reading, or not. Pure: text
// in, value out. The statement is parsed by libpg_query, PostgreSQL's own grammar, and its tree is
// walked against lists of what is known to read only. What stands on no list is not a read: nodes,
// functions, operators and types alike, so that what a later grammar brings is not let through
// unseen. Source of the lists: PostgreSQL's published documentation, version 15.
#pragma once

#include <set>
#include <string>
#include <string_view>

namespace gorsebeam::sql_classifier {

enum class Effect {
  Read,
  Write,
  Unknown,  // to be handled as a write that may not be repeated
};

struct Verdict {
  Effect effect = Effect::Unknown;
  std::string why;  // what made it no read; empty for a read
};

constexpr std::size_t kStatementMost = 64 * 1024;  // bytes; a longer one is unknown
constexpr int kDepthMost = 400;                    // of the tree; a deeper one is unknown

class SqlClassifier {
public:
  // `read_functions`: the operator's own functions that only read, as they are called: "area_total"
  // or "app.area_total".
  explicit SqlClassifier(std::set<std::string> read_functions = {})
      : read_functions_(std::move(read_functions)) {}

  Verdict classify(std::string_view statement) const;

private:
  std::set<std::string> read_functions_;
};

}  // namespace gorsebeam::sql_classifier
