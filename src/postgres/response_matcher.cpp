#include "response_matcher.h"

#include <xxhash.h>

#include <utility>

namespace gorsebeam::postgres {

using connection_pool::InputState;
using connection_pool::ParsedResponse;
using connection_pool::RequestKind;
using Kind = QueryResponse::Kind;
using Status = ParsedResponse::Status;

namespace {

std::uint64_t hash_of(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

ParsedResponse ResponseMatcher::parse(std::string_view in, RequestKind kind, InputState input) {
  if (phase_ == Phase::AwaitingConfirmation)
    return parse_confirmed(in, kind, input);
  QueryResponse response = parse_query_response(in, kind, input);
  switch (response.kind) {
  case Kind::Incomplete:
    return ParsedResponse::with_status(Status::Incomplete);
  case Kind::EmptyQuery:
  case Kind::Malformed:
    return ParsedResponse::with_status(Status::Malformed);
  case Kind::Result:
    break;
  }
  if (may_be_cut_copy(response))
    return ParsedResponse::with_status(Status::Incomplete);
  const std::uint64_t hash = hash_of(in.substr(0, response.size));
  if (!may_be_surplus(hash))
    return complete(std::move(response), hash);
  if (input == InputState::Ended)  // it can no longer be confirmed
    return ParsedResponse::with_status(Status::Incomplete);
  phase_ = Phase::AwaitingConfirmation;
  return parse_confirmed(in, kind, input);
}

// An endpoint closes the connection after a fatal error, so that no copy of one follows it.
bool ResponseMatcher::may_be_cut_copy(const QueryResponse& response) const {
  return !response.is_ready_for_query && !response.is_fatal && previous_hash_.has_value();
}

bool ResponseMatcher::may_be_surplus(std::uint64_t hash) const {
  return hash == previous_hash_;
}

// Without the answer to the empty query it is not known whether more responses follow. An endpoint
// that does not accept empty queries rejects it as a violation of the protocol, which confirms
// nothing; no such error belongs to a request that a client sent.
ParsedResponse ResponseMatcher::parse_confirmed(std::string_view in, RequestKind kind,
                                                InputState input) {
  QueryResponse last;
  std::string_view last_encoded;
  std::size_t responses = 0;
  std::size_t offset = 0;
  while (offset < in.size()) {
    QueryResponse response = parse_query_response(in.substr(offset), kind, input);
    const std::string_view encoded = in.substr(offset, response.size);
    offset += response.size;
    switch (response.kind) {
    case Kind::Incomplete:
      return ParsedResponse::with_status(Status::Incomplete);
    case Kind::Malformed:
      return ParsedResponse::with_status(Status::Malformed);
    case Kind::EmptyQuery: {
      ParsedResponse parsed = complete(std::move(last), hash_of(last_encoded));
      parsed.consumed_bytes = offset;
      parsed.surplus_responses = responses - 1;
      return parsed;
    }
    case Kind::Result:
      if (response.is_protocol_violation)
        return ParsedResponse::with_status(Status::Malformed);
      last = std::move(response);
      last_encoded = encoded;
      ++responses;
      break;
    }
  }
  const bool can_be_confirmed = input == InputState::Open;
  return ParsedResponse::with_status(can_be_confirmed ? Status::Unconfirmed : Status::Incomplete);
}

ParsedResponse ResponseMatcher::complete(QueryResponse response, std::uint64_t hash) {
  phase_ = Phase::AwaitingResponse;
  previous_hash_ = hash;
  ParsedResponse parsed = ParsedResponse::with_status(Status::Complete);
  parsed.consumed_bytes = response.size;
  parsed.response = std::move(response.response);
  return parsed;
}

}  // namespace gorsebeam::postgres
