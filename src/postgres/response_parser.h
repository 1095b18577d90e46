/// Reads the messages of an endpoint's handshake reply and of its responses to simple queries.
/// Does no I/O; reads the clock only to date load reports.
/// Source: PostgreSQL 15 documentation, chapter "Frontend/Backend Protocol" (version 3.0).
#pragma once

#include "codec.h"

#include "connection_pool/upstream_protocol.h"

#include <cstddef>
#include <string_view>

namespace gorsebeam::postgres {

/// The types of the messages that an endpoint may send in each of its states.
constexpr std::string_view kHandshakeMessageTypes = "RSKZEN";
constexpr std::string_view kResponseMessageTypes = "TDCESNIZ";

/// Reads the message at the beginning of `in`. A complete message is returned whatever its type is.
/// An incomplete one is malformed if it cannot become a message of one of `types`.
wire::FramingResult<Message> read_expected_message(std::string_view in, std::string_view types);

/// The result of parsing the response to one simple query.
struct QueryResponse {
  enum class Kind {
    Incomplete,
    Result,      ///< A row, or an error.
    EmptyQuery,  ///< The response to a query without a statement.
    Malformed,
  };

  Kind kind = Kind::Incomplete;
  std::size_t size = 0;  ///< In bytes; 0 unless the response is complete.
  proxy::UpstreamResponse response;
  /// Whether it is the error with which an endpoint rejects a message that it does not accept.
  bool is_protocol_violation = false;
  /// Whether it ends with ReadyForQuery, and not with the end of the connection.
  bool is_ready_for_query = false;
  /// Whether it is an error after which an endpoint closes the connection.
  bool is_fatal = false;
};

/// Parses the response to one simple query at the beginning of `in`.
QueryResponse parse_query_response(std::string_view in, connection_pool::RequestKind kind,
                                   connection_pool::InputState input);

}  // namespace gorsebeam::postgres
