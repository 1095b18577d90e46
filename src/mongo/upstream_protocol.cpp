#include "upstream_protocol.h"

#include "codec.h"
#include "error_code.h"

#include "wire/parts.h"

#include <optional>

namespace gorsebeam::mongo {
namespace {

using connection_pool::HandshakeResult;
using connection_pool::InputState;
using connection_pool::ParsedResponse;
using connection_pool::RequestKind;
using proxy::UpstreamResponse;
using wire::FramingError;

constexpr std::size_t kMaxMessageSize = 1 << 20;
constexpr std::int64_t kMaxUnixSeconds = 9'000'000'000;

bool has_true_field(std::string_view document, const char* name) {
  const auto element = find(document, name);
  return element && to_bool(*element).value_or(false);
}

bool is_ok(std::string_view document) {
  return has_true_field(document, "ok");
}

ErrorCode error_code_of(std::string_view document) {
  const auto code = find(document, "code");
  return static_cast<ErrorCode>(code ? to_integer(*code).value_or(0) : 0);
}

/// Returns the status of an attempt that failed with `code`. `Misdirected` and `Rejected` mean that
/// the endpoint did not apply the command; with `Misdirected` it is not the primary or is too far
/// behind.
AttemptStatus attempt_status_for(ErrorCode code) {
  switch (code) {
  case ErrorCode::NotWritablePrimary:
  case ErrorCode::NotPrimaryNoSecondaryOk:
  case ErrorCode::NotPrimaryOrSecondary:
  case ErrorCode::SnapshotUnavailable:
    return AttemptStatus::Misdirected;
  case ErrorCode::IngressRequestRateLimitExceeded:
    return AttemptStatus::Rejected;
  default:
    return AttemptStatus::Error;
  }
}

/// Returns the time of the last write that a hello reply reports, or nothing if it is absent or out
/// of range.
std::optional<ReplicationPosition> last_write_date(std::string_view hello) {
  const auto last_write = find(hello, "lastWrite");
  if (!last_write || last_write->type != ElementType::Document)
    return std::nullopt;
  const auto element = find(last_write->value, "lastWriteDate");
  const std::optional<std::int64_t> unix_ms = element ? to_date(*element) : std::nullopt;
  if (!unix_ms || *unix_ms <= 0 || *unix_ms >= kMaxUnixSeconds * 1000)
    return std::nullopt;
  return ReplicationPosition(std::chrono::milliseconds(*unix_ms));
}

/// Interprets the hello reply with which an endpoint answers a health check.
UpstreamResponse interpret_hello_reply(std::string_view document) {
  UpstreamResponse response;
  const bool is_primary =
      has_true_field(document, "isWritablePrimary") || has_true_field(document, "ismaster");
  const bool is_replica = has_true_field(document, "secondary");
  if (!is_ok(document) || (!is_primary && !is_replica)) {
    response.status = AttemptStatus::Error;
    return response;
  }
  response.status = AttemptStatus::Ok;
  response.load_report.is_primary = is_primary;
  response.load_report.replication_position = last_write_date(document);
  return response;
}

/// Returns the Unix time in the operationTime of a reply, or nothing if it is absent or out of
/// range.
std::optional<std::int64_t> operation_time_seconds(std::string_view document) {
  const auto element = find(document, "operationTime");
  const auto seconds = element ? to_timestamp_seconds(*element) : std::nullopt;
  if (!seconds || *seconds <= 0 || *seconds > kMaxUnixSeconds)
    return std::nullopt;
  return seconds;
}

/// Interprets the reply to a client's command. `document` is the body of the reply, and `sections`
/// are all of its sections.
UpstreamResponse interpret_command_reply(std::string_view document, std::string_view sections) {
  UpstreamResponse response;
  // The endpoint has applied all writes up to the start of the second in operationTime. The commit
  // of a write lies somewhere within that second, so a read that must see the write requires an
  // endpoint that has reached the next second. Otherwise a demoted primary could be taken for more
  // current than it is, and a session could read a state from before its own write.
  if (const auto seconds = operation_time_seconds(document)) {
    response.replication_position = ReplicationPosition(std::chrono::seconds(*seconds));
    response.commit_position = ReplicationPosition(std::chrono::seconds(*seconds + 1));
  }
  if (is_ok(document)) {
    response.status = AttemptStatus::Ok;
    response.body = {sections};
    return response;
  }
  const ErrorCode code = error_code_of(document);
  response.status = attempt_status_for(code);
  if (code == ErrorCode::NotWritablePrimary)
    response.role = Role::Replica;
  if (response.status == AttemptStatus::Error)
    response.body = {sections};
  return response;
}

/// Returns the document with which the gateway identifies itself to an endpoint.
std::string client_metadata() {
  const std::string application = Writer().append_string("name", "gorsebeam").finish();
  const std::string driver =
      Writer().append_string("name", "gorsebeam").append_string("version", "1").finish();
  const std::string os = Writer().append_string("type", "Linux").finish();
  return Writer()
      .append_document("application", application)
      .append_document("driver", driver)
      .append_document("os", os)
      .finish();
}

class MongoUpstreamProtocol : public connection_pool::UpstreamProtocol {
public:
  std::string handshake_message() override {
    Writer hello;
    hello.append_int32("hello", 1).append_string("$db", "admin");
    hello.append_document("client", client_metadata());
    return encode_op_msg(hello.finish(), ++last_sent_id_, 0);
  }

  HandshakeResult parse_handshake(std::string_view in) override {
    using Status = HandshakeResult::Status;
    const wire::FramingResult<Reply> reply = read_reply(in);
    if (!reply)
      return {reply.error() == FramingError::Incomplete ? Status::Incomplete : Status::Failed};
    const std::string_view document = reply.value().document;
    if (is_ok(document))
      return {Status::Complete, reply.value().size};
    const bool is_rejected = error_code_of(document) == ErrorCode::IngressRequestRateLimitExceeded;
    return {is_rejected ? Status::Rejected : Status::Failed};
  }

  proxy::ByteSpans frame_request(const proxy::ByteSpans& body) override {
    header_ = encode_header(wire::total_size(body), ++last_sent_id_, 0, Opcode::Msg);
    proxy::ByteSpans parts{header_};
    parts.insert(parts.end(), body.begin(), body.end());
    return parts;
  }

  proxy::ByteSpans health_check_message() override {
    Writer hello;
    hello.append_int32("hello", 1).append_string("$db", "admin");
    header_ = encode_op_msg(hello.finish(), ++last_sent_id_, 0);
    return {header_};
  }

  // Replies name the request that they answer, so none is ever unconfirmed.
  proxy::ByteSpans confirmation_message() override { return {}; }

  ParsedResponse parse_response(std::string_view in, RequestKind kind, InputState) override {
    using Status = ParsedResponse::Status;
    const wire::FramingResult<Reply> framed = read_reply(in);
    if (!framed) {
      const bool is_incomplete = framed.error() == FramingError::Incomplete;
      return ParsedResponse::with_status(is_incomplete ? Status::Incomplete : Status::Malformed);
    }
    const Reply& reply = framed.value();
    ParsedResponse parsed = ParsedResponse::with_status(Status::Complete);
    parsed.consumed_bytes = reply.size;
    parsed.response = kind == RequestKind::HealthCheck
                          ? interpret_hello_reply(reply.document)
                          : interpret_command_reply(reply.document, reply.sections);
    return parsed;
  }

private:
  /// A reply of the endpoint. The views point into the received bytes.
  struct Reply {
    std::string_view document;
    /// All sections without the checksum, which covers the header: the client gets another header.
    std::string_view sections;
    std::size_t size = 0;  ///< The size of the whole message in bytes.
  };

  /// Reads the reply to the last message that was sent. A reply to any other message is malformed.
  [[nodiscard]] wire::FramingResult<Reply> read_reply(std::string_view in) const {
    const wire::FramingResult<Message> framed = read_message(in, kMaxMessageSize);
    if (!framed)
      return framed.error();
    const Message& message = framed.value();
    if (message.opcode != Opcode::Msg || message.response_to != last_sent_id_)
      return FramingError::Malformed;
    const std::optional<OpMsg> op_msg = read_op_msg(message.payload);
    if (!op_msg)
      return FramingError::Malformed;
    if ((op_msg->flags & kMoreToCome) != 0)
      return FramingError::Malformed;  // the flag announces further replies without a request
    return Reply{op_msg->body, op_msg->sections, message.size};
  }

  std::uint32_t last_sent_id_ = 0;
  std::string header_;  ///< The parts of the last message that was sent point into it.
};

}  // namespace

std::unique_ptr<connection_pool::UpstreamProtocol> make_upstream_protocol() {
  return std::make_unique<MongoUpstreamProtocol>();
}

}  // namespace gorsebeam::mongo
