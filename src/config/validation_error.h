/// What is wrong with a message that an operator or a control service sends, and where in it.
#pragma once

#include <string>
#include <vector>

namespace gorsebeam::config {

/// One step of a path into a message.
struct FieldStep {
  std::string field;
  int index = -1;  ///< place in a repeated field; -1 in any other
};

/// Fields from the root of a message to the one that is meant.
using FieldPath = std::vector<FieldStep>;

struct ValidationError {
  FieldPath path;       ///< empty where the whole message is meant
  std::string message;  ///< what is wrong, and the remedy
  /// Something refers to what is absent and may still arrive.
  bool is_missing_reference = false;

  /// "team[2].budget.per_second: is ..."
  [[nodiscard]] std::string to_string() const;
};

}  // namespace gorsebeam::config
