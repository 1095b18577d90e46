/// Finds the response to a connection's last request among the bytes that an endpoint sends.
///
/// PostgreSQL's messages do not name the request that they answer. An endpoint that sends a
/// response twice can write the second copy after the gateway has written the next request, whose
/// response the copy would then be taken for. A response with the same bytes as the connection's
/// previous one is therefore confirmed: the gateway sends an empty query, which the endpoint
/// answers in order, and the response is the last one before the answer to that. Other responses
/// need no confirmation. A response that the end of the connection cuts before ReadyForQuery may be
/// the beginning of a copy; on a connection that had a response before, only a fatal error counts
/// without ReadyForQuery.
///
/// Does no I/O. Holds one hash for the previous response.
#pragma once

#include "response_parser.h"

#include "connection_pool/upstream_protocol.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

class ResponseMatcher {
public:
  /// Parses what arrived since the last request of `kind` was written; see
  /// `connection_pool::UpstreamProtocol::parse_response`.
  connection_pool::ParsedResponse parse(std::string_view in, connection_pool::RequestKind kind,
                                        connection_pool::InputState input);

private:
  enum class Phase {
    AwaitingResponse,
    AwaitingConfirmation,  ///< The responses that arrive end with that to an empty query.
  };

  /// Whether `response`, behind which the connection ended, may be the beginning of a copy of the
  /// previous response.
  [[nodiscard]] bool may_be_cut_copy(const QueryResponse& response) const;
  /// Whether a response whose bytes have the hash `hash` may be a copy of the previous response.
  [[nodiscard]] bool may_be_surplus(std::uint64_t hash) const;
  connection_pool::ParsedResponse parse_confirmed(std::string_view in,
                                                  connection_pool::RequestKind kind,
                                                  connection_pool::InputState input);
  /// Records `response`, whose bytes have the hash `hash`, as the one to the last request.
  connection_pool::ParsedResponse complete(QueryResponse response, std::uint64_t hash);

  Phase phase_ = Phase::AwaitingResponse;
  /// The hash (XXH3, 64 bits) of the previous response's bytes; empty before the first response.
  std::optional<std::uint64_t> previous_hash_;
};

}  // namespace gorsebeam::postgres
