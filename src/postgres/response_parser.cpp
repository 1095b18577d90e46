#include "response_parser.h"

#include "load_report.h"

#include "net/timer.h"
#include "wire/integers.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace gorsebeam::postgres {

using connection_pool::InputState;
using connection_pool::RequestKind;
using proxy::UpstreamResponse;
using wire::FramingError;
using wire::FramingResult;

namespace {

constexpr std::size_t kMaxMessageLength = 128 * 1024;  // a value in a row has at most 64 KiB
constexpr std::size_t kMessageHeaderSize = 5;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kRowHeaderSize = 6;  // number of columns, length of the first column
constexpr std::uint32_t kNullLength = 0xffffffffU;

/// Whether the number of columns, encoded in the first two bytes of `count`, is one.
bool is_one_column(std::string_view count) {
  return count[0] == 0 && count[1] == 1;
}

/// Whether the body of a DataRow holds exactly one column, which fills the body. The body has
/// `size` bytes, and begins with `header`.
bool is_single_column_row(std::string_view header, std::size_t size) {
  if (!is_one_column(header))
    return false;
  const std::uint32_t length = wire::read_u32_big_endian(header.data() + 2);
  const std::size_t value_size = length == kNullLength ? 0 : length;
  return size == kRowHeaderSize + value_size;
}

/// Whether the incomplete message in `in` cannot become a message of one of `types`, whatever
/// follows. Bytes that do not follow the protocol are thus rejected at once: otherwise the
/// connection would wait for as many bytes as their supposed length field announces.
bool cannot_become_message(std::string_view in, std::string_view types) {
  if (in.empty())
    return false;
  if (types.find(in[0]) == std::string_view::npos)
    return true;
  if (in[0] != 'D' || in.size() < kMessageHeaderSize + kRowHeaderSize)
    return false;
  const std::size_t body_size = wire::read_u32_big_endian(in.data() + 1) - kLengthSize;
  return !is_single_column_row(in.substr(kMessageHeaderSize), body_size);
}

/// Returns the value of a DataRow with one column, or nothing if the row has another number of
/// columns or the length of the value is wrong.
std::optional<std::string_view> read_single_column_row(std::string_view body) {
  if (body.size() < kRowHeaderSize || !is_single_column_row(body, body.size()))
    return std::nullopt;
  return body.substr(kRowHeaderSize);
}

/// Returns the status of an attempt that failed with `sqlstate`. `Misdirected` and `Rejected` mean
/// that the endpoint did not execute the statement.
AttemptStatus attempt_status_for(std::string_view sqlstate) {
  if (sqlstate == kReadOnlyTransaction || sqlstate == kSnapshotTooOld)
    return AttemptStatus::Misdirected;
  if (sqlstate == kTooManyConnections || sqlstate == kCannotConnectNow)
    return AttemptStatus::Rejected;
  return AttemptStatus::Error;
}

/// Collects the messages of the response to one simple query.
class ResponseParser {
public:
  explicit ResponseParser(RequestKind kind) : kind_(kind) {}

  /// Adds the next message. Returns false if it cannot belong to a response.
  bool add(const Message& message) {
    switch (message.type) {
    case 'T':
      add_row_description(message);
      return true;
    case 'D':
      add_row(message);
      return true;
    case 'C':
      command_complete_ = message.encoded;
      return true;
    case 'E':
      return add_error(message);
    case 'S':
      add_parameter_status(message);
      return true;
    case 'N':
      return true;
    case 'I':
      is_empty_query_ = true;
      return true;
    case 'Z':
      is_ready_ = true;
      return true;
    default:
      return false;
    }
  }

  /// Whether ReadyForQuery was added, which is the last message of a response.
  [[nodiscard]] bool is_ready() const { return is_ready_; }

  /// Returns the response in the messages that were added, which have `size` bytes together.
  /// Without ReadyForQuery a response is complete only if it has a result or an error and the
  /// connection ended after that, as it does after a fatal error.
  QueryResponse finish(InputState input, std::size_t size) {
    using Kind = QueryResponse::Kind;
    const bool has_result = !sqlstate_.empty() || !command_complete_.empty();
    if (!is_ready_ && (input == InputState::Open || !has_result))
      return {};
    QueryResponse parsed;
    parsed.size = size;
    parsed.is_ready_for_query = is_ready_;
    parsed.kind = kind_of_response();
    if (parsed.kind != Kind::Result)
      return parsed;
    if (sqlstate_.empty()) {
      response_.status = AttemptStatus::Ok;
      response_.body = {row_description_, row_, command_complete_};
    } else {
      response_.status = attempt_status_for(sqlstate_);
    }
    parsed.is_protocol_violation = sqlstate_ == kProtocolViolation;
    parsed.is_fatal = is_fatal_;
    parsed.response = std::move(response_);
    return parsed;
  }

private:
  [[nodiscard]] QueryResponse::Kind kind_of_response() const {
    using Kind = QueryResponse::Kind;
    if (!sqlstate_.empty())
      return is_empty_query_ ? Kind::Malformed : Kind::Result;
    const bool is_row = !row_description_.empty() && !row_.empty() && !command_complete_.empty();
    if (is_empty_query_)
      return row_description_.empty() && row_.empty() ? Kind::EmptyQuery : Kind::Malformed;
    return is_row && !has_invalid_rows_ ? Kind::Result : Kind::Malformed;
  }

  void add_row_description(const Message& message) {
    if (!row_description_.empty() || message.body.size() < 2 || !is_one_column(message.body))
      has_invalid_rows_ = true;
    row_description_ = message.encoded;
  }

  void add_row(const Message& message) {
    const std::optional<std::string_view> value = read_single_column_row(message.body);
    if (!row_.empty() || row_description_.empty() || !command_complete_.empty() || !value)
      has_invalid_rows_ = true;
    row_ = message.encoded;
    if (kind_ == RequestKind::HealthCheck && !has_invalid_rows_)
      add_load_report(*value);
  }

  /// Returns false if the error does not end with a zero byte, as the protocol requires. The
  /// SQLSTATE of such an error proves nothing.
  bool add_error(const Message& message) {
    if (message.body.empty() || message.body.back() != '\0')
      return false;
    sqlstate_ = error_field(message.body, 'C').value_or(kInternalError);
    is_fatal_ = error_field(message.body, 'S') == "FATAL";
    return true;
  }

  /// Ignores a malformed status; the response stays valid.
  void add_parameter_status(const Message& message) {
    const std::optional<ParameterStatus> status = read_parameter_status(message.body);
    if (!status)
      return;
    if (status->name == "part" && status->value == "master")
      response_.role = Role::Primary;
    if (status->name == "part" && status->value == "replica")
      response_.role = Role::Replica;
    if (status->name == "caught_up_to")
      response_.replication_position = parse_position(status->value, net::now());
    if (status->name == "gauges")
      add_load_report(status->value);
  }

  void add_load_report(std::string_view text) {
    if (const auto report = parse_load_report(text, net::now()))
      response_.load_report = *report;
  }

  const RequestKind kind_;
  UpstreamResponse response_;
  std::string_view row_description_;
  std::string_view row_;
  std::string_view command_complete_;
  std::string_view sqlstate_;  ///< The SQLSTATE of the last error; empty if there was none.
  bool is_fatal_ = false;      ///< The last error has the severity FATAL.
  bool is_empty_query_ = false;
  bool has_invalid_rows_ = false;
  bool is_ready_ = false;
};

}  // namespace

FramingResult<Message> read_expected_message(std::string_view in, std::string_view types) {
  FramingResult<Message> message = read_message(in, kMaxMessageLength);
  if (!message && message.error() == FramingError::Incomplete && cannot_become_message(in, types))
    return FramingError::Malformed;
  return message;
}

QueryResponse parse_query_response(std::string_view in, RequestKind kind, InputState input) {
  QueryResponse malformed;
  malformed.kind = QueryResponse::Kind::Malformed;
  ResponseParser parser(kind);
  std::size_t offset = 0;
  while (!parser.is_ready()) {
    const FramingResult<Message> message =
        read_expected_message(in.substr(offset), kResponseMessageTypes);
    if (!message && message.error() == FramingError::Incomplete)
      break;
    if (!message || !parser.add(message.value()))
      return malformed;
    offset += message.value().encoded.size();
  }
  return parser.finish(input, offset);
}

}  // namespace gorsebeam::postgres
