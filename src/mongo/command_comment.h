/// Reads the terms of a request from a command's comment. Pure.
#pragma once

#include "bson.h"

#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// The text of a string or the decimal digits of a number; empty for any other type.
std::string scalar_text(const Element& element);

/// The comment is a document, or a text "id=...,c=...,k=...,cluster=...".
struct CommandComment {
  std::string id;             ///< "id"
  std::string service_class;  ///< "c"
  std::string idempotency;    ///< "k"
  std::string group;          ///< "cluster"
};

CommandComment read_comment(std::string_view command);

}  // namespace gorsebeam::mongo
