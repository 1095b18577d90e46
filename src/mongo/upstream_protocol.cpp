#include "upstream_protocol.h"

#include "codec.h"

namespace gorsebeam::mongo {
namespace {

using connection_pool::ParseStep;
using proxy::UpstreamResponse;

using wire::Framing;

constexpr std::size_t kMaxMessageSize = 1 << 20;
constexpr std::int64_t kMaxUnixSeconds = 9'000'000'000;

bool is_ok(std::string_view document) {
  const auto ok = find(document, "ok");
  return ok && to_bool(*ok).value_or(false);
}

std::int32_t code_of(std::string_view document) {
  const auto code = find(document, "code");
  return code ? static_cast<std::int32_t>(to_integer(*code).value_or(0)) : 0;
}

/// The endpoint did not apply the command where the status is `Misdirected` (no primary, or too far
/// behind) or `Rejected`.
AttemptStatus status_of(std::int32_t code) {
  switch (code) {
  case kNotWritablePrimary:
  case kNotPrimaryNoSecondaryOk:
  case kNotPrimaryOrSecondary:
  case kSnapshotUnavailable:
    return AttemptStatus::Misdirected;
  case kRateLimitExceeded:
    return AttemptStatus::Rejected;
  default:
    return AttemptStatus::Error;
  }
}

bool is_set(std::string_view document, const char* name) {
  const auto element = find(document, name);
  return element && to_bool(*element).value_or(false);
}

/// The time of the last write that a hello reply reports; nothing where it reports none.
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

/// Reads the reply to a health check.
void read_hello(std::string_view document, UpstreamResponse& response) {
  const bool is_primary = is_set(document, "isWritablePrimary") || is_set(document, "ismaster");
  const bool is_replica = is_set(document, "secondary");
  if (!is_ok(document) || (!is_primary && !is_replica)) {
    response.status = AttemptStatus::Error;
    return;
  }
  response.status = AttemptStatus::Ok;
  response.load_report.is_primary = is_primary;
  if (const auto position = last_write_date(document))
    response.load_report.replication_position = position;
}

// The seconds of operationTime are Unix time. The endpoint has applied all writes up to them; a
// write's commit lies somewhere within that second, so a read that must see it needs the next one.
// Otherwise a demoted primary could pass as more current than it is, and a session could read from
// before its own write.
void read_position(std::string_view document, UpstreamResponse& response) {
  const auto element = find(document, "operationTime");
  const auto seconds = element ? to_timestamp_seconds(*element) : std::nullopt;
  if (!seconds || *seconds <= 0 || *seconds > kMaxUnixSeconds)
    return;
  response.replication_position = ReplicationPosition(std::chrono::seconds(*seconds));
  response.commit_position = ReplicationPosition(std::chrono::seconds(*seconds + 1));
}

class MongoUpstream : public connection_pool::UpstreamProtocol {
public:
  std::string handshake_message() override {
    const std::string client =
        Writer()
            .append_document("application", Writer().append_string("name", "gorsebeam").finish())
            .append_document(
                "driver",
                Writer().append_string("name", "gorsebeam").append_string("version", "1").finish())
            .append_document("os", Writer().append_string("type", "Linux").finish())
            .finish();
    return encode_op_msg(Writer()
                             .append_int32("hello", 1)
                             .append_string("$db", "admin")
                             .append_document("client", client)
                             .finish(),
                         ++last_sent_id_, 0);
  }

  ParseStep parse_handshake(std::string_view in, std::size_t& consumed_bytes,
                            bool& is_rejected) override {
    Reply reply;
    const ParseStep step = read_reply(in, reply);
    if (step != ParseStep::Done)
      return step;
    consumed_bytes = reply.size;
    if (is_ok(reply.document))
      return ParseStep::Done;
    is_rejected = code_of(reply.document) == kRateLimitExceeded;
    return ParseStep::Broken;
  }

  proxy::Parts frame_request(const proxy::Parts& body) override {
    std::size_t size = 0;
    for (const std::string_view part : body)
      size += part.size();
    header_ = encode_header(size, ++last_sent_id_, 0, kOpMsg);
    proxy::Parts parts{header_};
    parts.insert(parts.end(), body.begin(), body.end());
    return parts;
  }

  proxy::Parts health_check_message() override {
    header_ =
        encode_op_msg(Writer().append_int32("hello", 1).append_string("$db", "admin").finish(),
                      ++last_sent_id_, 0);
    return {header_};
  }

  ParseStep parse_response(std::string_view in, bool, bool is_health_check,
                           UpstreamResponse& response, std::size_t& consumed_bytes) override {
    response = UpstreamResponse{};
    Reply reply;
    const ParseStep step = read_reply(in, reply);
    if (step != ParseStep::Done)
      return step;
    consumed_bytes = reply.size;
    if (is_health_check) {
      read_hello(reply.document, response);
      return ParseStep::Done;
    }
    read_position(reply.document, response);
    if (is_ok(reply.document)) {
      response.status = AttemptStatus::Ok;
      response.value = {reply.sections};
      return ParseStep::Done;
    }
    const std::int32_t code = code_of(reply.document);
    response.status = status_of(code);
    if (code == kNotWritablePrimary)
      response.role = Role::Replica;
    if (response.status == AttemptStatus::Error)
      response.value = {reply.sections};
    return ParseStep::Done;
  }

private:
  /// The views lead into the received bytes.
  struct Reply {
    std::string_view document;
    std::string_view sections;  ///< Without a checksum, as the header is written anew.
    std::size_t size = 0;       ///< Of the whole message.
  };

  /// Reads a reply to our last message.
  ParseStep read_reply(std::string_view in, Reply& reply) const {
    Message message;
    switch (read_message(in, kMaxMessageSize, message)) {
    case Framing::Incomplete:
      return ParseStep::More;
    case Framing::Malformed:
      return ParseStep::Broken;
    case Framing::Complete:
      break;
    }
    if (message.operation != kOpMsg || message.response_to != last_sent_id_)
      return ParseStep::Broken;
    const std::optional<OpMsg> op_msg = read_op_msg(message.payload);
    if (!op_msg)
      return ParseStep::Broken;
    if ((op_msg->flags & kMoreToCome) != 0)
      return ParseStep::Broken;  // replies without a request, which were not asked for
    reply.document = op_msg->body;
    reply.sections = op_msg->sections;
    reply.size = message.size;
    return ParseStep::Done;
  }

  std::uint32_t last_sent_id_ = 0;
  std::string header_;  ///< The parts of the present request lead into it.
};

}  // namespace

std::unique_ptr<connection_pool::UpstreamProtocol> make_upstream_protocol() {
  return std::make_unique<MongoUpstream>();
}

}  // namespace gorsebeam::mongo
