/// Reads the terms of a request from the comment of a command. Pure.
#pragma once

#include "bson.h"

#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// The terms of a request. The comment is a document with these fields, or a text
/// "id=...,c=...,k=...,cluster=...". A term that is absent is empty.
struct CommandComment {
  std::string id;               ///< "id"
  std::string service_class;    ///< "c"
  std::string idempotency_key;  ///< "k"
  std::string group;            ///< "cluster"
};

/// Reads the comment of the command in the document `command`.
CommandComment read_comment(std::string_view command);

}  // namespace gorsebeam::mongo
