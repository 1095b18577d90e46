/// Reads the fields of a request that clients put into the comment of a command. Does no I/O and
/// reads no clock.
#pragma once

#include "bson.h"

#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// The request fields in a comment. The comment is a document with these fields, or a text of the
/// form "id=...,c=...,k=...,cluster=...". A field that is absent is empty.
struct CommandComment {
  std::string id;               ///< Field "id".
  std::string service_class;    ///< Field "c": the name of the request class.
  std::string idempotency_key;  ///< Field "k".
  std::string group;            ///< Field "cluster": the number of the replica group.
};

/// Reads the comment of a command. `command` is the command's document.
CommandComment read_comment(std::string_view command);

}  // namespace gorsebeam::mongo
