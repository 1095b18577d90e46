#include "upstream_protocol.h"

#include "codec.h"
#include "load_report.h"

#include "wire/integers.h"

namespace gorsebeam::postgres {
namespace {

using connection_pool::ParseStep;
using proxy::UpstreamResponse;
using wire::Framing;

constexpr std::size_t kMaxMessageLength = 128 * 1024;  // a value holds at most 64 KiB
constexpr std::size_t kMessageHeaderSize = 5;
constexpr std::size_t kRowHeaderSize = 6;  // the number of columns, and the length of the first
constexpr std::uint32_t kNullLength = 0xffffffffU;
constexpr std::string_view kHandshakeTypes = "RSKZEN";
constexpr std::string_view kResponseTypes = "TDCESNZ";

/// Whether a count of columns, as two bytes, is one.
bool is_one_column(std::string_view count) {
  return count[0] == 0 && count[1] == 1;
}

/// Whether a DataRow's body of `size` bytes, which begins with `head`, is one column that fills it.
bool is_single_column_row(std::string_view head, std::size_t size) {
  if (!is_one_column(head))
    return false;
  const std::uint32_t length = wire::read_u32_big_endian(head.data() + 2);
  const std::size_t value_size = length == kNullLength ? 0 : length;
  return size == kRowHeaderSize + value_size;
}

/// Whether the incomplete message in `in` cannot become one of the given types. Noise is found in
/// this way at once, without waiting for the length that it seems to announce.
bool is_hopeless(std::string_view in, std::string_view types) {
  if (in.empty())
    return false;
  if (types.find(in[0]) == std::string_view::npos)
    return true;
  if (in[0] != 'D' || in.size() < kMessageHeaderSize + kRowHeaderSize)
    return false;
  const std::size_t body_size = wire::read_u32_big_endian(in.data() + 1) - 4;
  return !is_single_column_row(in.substr(kMessageHeaderSize), body_size);
}

/// The value of a DataRow of one column; nothing where it is not one column or its length is wrong.
std::optional<std::string_view> read_row(std::string_view body) {
  if (body.size() < kRowHeaderSize || !is_single_column_row(body, body.size()))
    return std::nullopt;
  return body.substr(kRowHeaderSize);
}

std::size_t offset_behind(const Message& message, std::string_view in) {
  return static_cast<std::size_t>(message.complete.data() + message.complete.size() - in.data());
}

AttemptStatus status_of(std::string_view sqlstate) {
  if (sqlstate == kReadOnlyTransaction || sqlstate == kSnapshotTooOld)
    return AttemptStatus::Misdirected;
  if (sqlstate == kTooManyConnections || sqlstate == kCannotConnectNow)
    return AttemptStatus::Rejected;
  return AttemptStatus::Error;
}

/// Collects the messages of one answer to a simple query.
class ResponseParser {
public:
  ResponseParser(bool is_health_check, UpstreamResponse& response)
      : is_health_check_(is_health_check), response_(response) {}

  /// Returns false where the message shows that this is no answer.
  bool add(const Message& message) {
    switch (message.type) {
    case 'T':
      add_description(message);
      return true;
    case 'D':
      add_row(message);
      return true;
    case 'C':
      command_complete_ = message.complete;
      return true;
    case 'E':
      return add_error(message);
    case 'S':
      add_status(message);
      return true;
    case 'N':
      return true;
    case 'Z':
      is_ready_ = true;
      return true;
    default:
      return false;
    }
  }

  [[nodiscard]] bool is_ready() const { return is_ready_; }

  /// An answer is complete without ReadyForQuery only where the connection ended after it, as a
  /// fatal error needs none.
  ParseStep finish(bool connection_ended) {
    const bool has_result = !sqlstate_.empty() || !command_complete_.empty();
    if (!is_ready_ && !(connection_ended && has_result))
      return ParseStep::More;
    if (!sqlstate_.empty()) {
      response_.status = status_of(sqlstate_);
      return ParseStep::Done;
    }
    if (has_invalid_rows_ || description_.empty() || row_.empty() || command_complete_.empty())
      return ParseStep::Broken;
    response_.status = AttemptStatus::Ok;
    response_.value = {description_, row_, command_complete_};
    return ParseStep::Done;
  }

private:
  void add_description(const Message& message) {
    if (!description_.empty() || message.body.size() < 2 || !is_one_column(message.body))
      has_invalid_rows_ = true;
    description_ = message.complete;
  }

  void add_row(const Message& message) {
    const std::optional<std::string_view> value = read_row(message.body);
    if (!row_.empty() || description_.empty() || !command_complete_.empty() || !value)
      has_invalid_rows_ = true;
    row_ = message.complete;
    if (is_health_check_ && !has_invalid_rows_)
      read_load_report(*value, response_.load_report);
  }

  bool add_error(const Message& message) {
    if (message.body.empty() || message.body.back() != '\0')
      return false;  // its code proves nothing
    sqlstate_ = error_field(message.body, 'C').value_or(kInternalError);
    return true;
  }

  // A malformed status is ignored, and the answer stands.
  void add_status(const Message& message) {
    const std::optional<ParameterStatus> status = read_parameter_status(message.body);
    if (!status)
      return;
    if (status->name == "part" && status->value == "master")
      response_.role = Role::Primary;
    if (status->name == "part" && status->value == "replica")
      response_.role = Role::Replica;
    if (status->name == "caught_up_to")
      response_.replication_position = parse_position(status->value);
    if (status->name == "gauges")
      read_load_report(status->value, response_.load_report);
  }

  const bool is_health_check_;
  UpstreamResponse& response_;
  std::string_view description_;
  std::string_view row_;
  std::string_view command_complete_;
  std::string_view sqlstate_;
  bool has_invalid_rows_ = false;
  bool is_ready_ = false;
};

class PostgresUpstream : public connection_pool::UpstreamProtocol {
public:
  std::string handshake_message() override {
    std::string body = wire::encode_u32_big_endian(kProtocolVersion3);
    for (const char* word : {"user", "gorsebeam", "database", "crm"})
      body.append(word).push_back('\0');
    body.push_back('\0');
    return wire::encode_u32_big_endian(static_cast<std::uint32_t>(body.size() + 4)) + body;
  }

  ParseStep parse_handshake(std::string_view in, std::size_t& consumed_bytes,
                            bool& is_rejected) override {
    Message message;
    for (std::string_view rest = in;; rest.remove_prefix(message.complete.size())) {
      const Framing framing = read_message(rest, kMaxMessageLength, message);
      if (framing == Framing::Incomplete && !is_hopeless(rest, kHandshakeTypes))
        return ParseStep::More;
      if (framing != Framing::Complete)
        return ParseStep::Broken;
      if (message.type == 'E') {
        is_rejected = error_field(message.body, 'C') == kTooManyConnections;
        return ParseStep::Broken;
      }
      if (message.type == 'R' && !is_authentication_ok(message.body))
        return ParseStep::Broken;
      if (message.type != 'Z')
        continue;
      consumed_bytes = offset_behind(message, in);
      return ParseStep::Done;
    }
  }

  proxy::Parts frame_request(const proxy::Parts& body) override {
    std::size_t length = 5;  // the length itself, and the zero byte at the end of the text
    for (const std::string_view part : body)
      length += part.size();
    header_ = 'Q' + wire::encode_u32_big_endian(static_cast<std::uint32_t>(length));
    proxy::Parts parts{header_};
    parts.insert(parts.end(), body.begin(), body.end());
    parts.emplace_back("\0", 1);
    return parts;
  }

  proxy::Parts health_check_message() override {
    header_ = encode_message('Q', std::string_view("SHOW gauges\0", 12));
    return {header_};
  }

  ParseStep parse_response(std::string_view in, bool ended, bool is_health_check,
                           UpstreamResponse& response, std::size_t& consumed_bytes) override {
    response = UpstreamResponse{};
    ResponseParser parser(is_health_check, response);
    Message message;
    std::string_view rest = in;
    while (!parser.is_ready()) {
      const Framing framing = read_message(rest, kMaxMessageLength, message);
      if (framing == Framing::Malformed)
        return ParseStep::Broken;
      if (framing == Framing::Incomplete && is_hopeless(rest, kResponseTypes))
        return ParseStep::Broken;
      if (framing == Framing::Incomplete)
        break;
      consumed_bytes = offset_behind(message, in);
      if (!parser.add(message))
        return ParseStep::Broken;
      rest.remove_prefix(message.complete.size());
    }
    return parser.finish(ended);
  }

private:
  static bool is_authentication_ok(std::string_view body) {
    return body.size() >= 4 && wire::read_u32_big_endian(body.data()) == 0;
  }

  std::string header_;  ///< The parts of the present request lead into it.
};

}  // namespace

std::unique_ptr<connection_pool::UpstreamProtocol> make_upstream_protocol() {
  return std::make_unique<PostgresUpstream>();
}

}  // namespace gorsebeam::postgres
