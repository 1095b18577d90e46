/// Classifies and reads the messages that PostgreSQL clients send after the startup message.
/// Does no I/O and reads no clock.
/// Source: PostgreSQL 15 documentation, section "Message Formats".
#pragma once

#include "codec.h"

#include "common/result.h"

#include <string_view>

namespace gorsebeam::postgres {

enum class MessageKind {
  Query,
  Terminate,
  Sync,
  ExtendedQuery,  ///< A message of the extended query protocol other than Sync.
  FunctionCall,
  Unknown,
};

MessageKind kind_of(const Message& message);

/// Returns the text of a Query, which points into `message`, or the error that ends the connection.
common::Result<std::string_view, SqlError> read_query(const Message& message);

}  // namespace gorsebeam::postgres
