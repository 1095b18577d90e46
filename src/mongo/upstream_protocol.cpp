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

/// `Misdirected` (no primary, or too far behind) and `Rejected` mean that the endpoint did not
/// apply the command.
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

/// The time of the last write that a hello reply reports; nothing if it reports none.
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

/// Interprets the reply to a health check.
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

/// The Unix time in a reply's operationTime; nothing if it is absent or out of range.
std::optional<std::int64_t> operation_time_seconds(std::string_view document) {
  const auto element = find(document, "operationTime");
  const auto seconds = element ? to_timestamp_seconds(*element) : std::nullopt;
  if (!seconds || *seconds <= 0 || *seconds > kMaxUnixSeconds)
    return std::nullopt;
  return seconds;
}

/// Interprets the reply to a client's command. `sections` are those of the reply.
UpstreamResponse interpret_command_reply(std::string_view document, std::string_view sections) {
  UpstreamResponse response;
  // The endpoint has applied all writes up to the second in operationTime; the commit of a write
  // lies somewhere within that second, so a read that must see it requires the next one. Otherwise
  // a demoted primary could pass as more current than it is, and a session could read a state from
  // before its own write.
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

/// The document that names the gateway to an endpoint.
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

  ParsedResponse parse_response(std::string_view in, RequestKind kind, InputState) override {
    using Status = ParsedResponse::Status;
    const wire::FramingResult<Reply> framed = read_reply(in);
    if (!framed) {
      const bool is_incomplete = framed.error() == FramingError::Incomplete;
      return {is_incomplete ? Status::Incomplete : Status::Malformed, 0, {}};
    }
    const Reply& reply = framed.value();
    if (kind == RequestKind::HealthCheck)
      return {Status::Complete, reply.size, interpret_hello_reply(reply.document)};
    return {Status::Complete, reply.size, interpret_command_reply(reply.document, reply.sections)};
  }

private:
  /// The views borrow from the received bytes.
  struct Reply {
    std::string_view document;
    std::string_view sections;  ///< Without a checksum: the client gets them under a new header.
    std::size_t size = 0;       ///< Of the whole message.
  };

  /// Reads a reply to the last message that was sent.
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
      return FramingError::Malformed;  // announces replies to no request
    return Reply{op_msg->body, op_msg->sections, message.size};
  }

  std::uint32_t last_sent_id_ = 0;
  std::string header_;  ///< The last message's parts borrow from it.
};

}  // namespace

std::unique_ptr<connection_pool::UpstreamProtocol> make_upstream_protocol() {
  return std::make_unique<MongoUpstreamProtocol>();
}

}  // namespace gorsebeam::mongo
