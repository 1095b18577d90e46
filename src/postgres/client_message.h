/// The messages of PostgreSQL clients after the startup message. Pure.
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

/// The text of a Query, which borrows from `message`, or the error that ends the connection.
common::Result<std::string_view, SqlError> read_query(const Message& message);

}  // namespace gorsebeam::postgres
