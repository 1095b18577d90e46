/// An error in a protobuf message of an operator or a control service, with its place in the
/// message.
#pragma once

#include <string>
#include <vector>

namespace gorsebeam::config {

/// One step of a path into a message.
struct FieldStep {
  std::string field;
  int index = -1;  ///< The index in a repeated field; -1 for a singular field.
};

/// The fields from the root of a message down to one of its fields.
using FieldPath = std::vector<FieldStep>;

struct ValidationError {
  FieldPath path;       ///< The invalid field; empty if the error concerns the whole message.
  std::string message;  ///< What is wrong and how to correct it.
  /// The message refers to something that is absent but may still arrive in another resource.
  bool is_missing_reference = false;

  /// The path and the message, e.g. "team[2].budget.per_second: is out of range; give ...".
  [[nodiscard]] std::string to_string() const;
};

}  // namespace gorsebeam::config
