#include "frontend.h"

#include "codec.h"
#include "statement.h"

#include "frontend/session_hash.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace gorsebeam::postgres {
namespace {

using sql_classifier::Effect;
using wire::FramingError;

constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kMaxTokenTimeMs = 9'000'000'000'000ULL;
constexpr std::uint64_t kMaxGroup = 0xffffffffU;
constexpr std::size_t kMaxStartupSize = 10'000;
constexpr std::size_t kQueryHeaderSize = 5;                      // type and length
constexpr std::size_t kQueryFramingSize = kQueryHeaderSize + 1;  // and the zero byte at the end

constexpr std::string_view kAuthenticationOk("\0\0\0\0", 4);
constexpr std::string_view kBackendKeyData("\0\0\0\1\0\0\0\0", 8);
constexpr std::array kParameterStatuses{std::string_view("server_version\00015.0\0", 20),
                                        std::string_view("server_encoding\0UTF8\0", 21),
                                        std::string_view("client_encoding\0UTF8\0", 21),
                                        std::string_view("DateStyle\0ISO, MDY\0", 19),
                                        std::string_view("integer_datetimes\0on\0", 21),
                                        std::string_view("standard_conforming_strings\0on\0", 31)};

/// A key of up to 16 hexadecimal digits is the session's number; any other is hashed.
std::uint64_t session_of(std::string_view key) {
  std::uint64_t value = 0;
  bool is_hex = !key.empty() && key.size() <= 16;
  for (const char c : key) {
    is_hex = is_hex && g_ascii_isxdigit(c) != 0;
    value = value << 4 | static_cast<std::uint64_t>(std::max(0, g_ascii_xdigit_value(c)));
  }
  return is_hex ? value : frontend::hash_session_name(key);
}

/// The greeting after a startup message, without the ReadyForQuery at its end.
std::string encode_greeting() {
  std::string greeting = encode_message('R', kAuthenticationOk);
  for (const std::string_view status : kParameterStatuses)
    greeting += encode_message('S', status);
  greeting += encode_message('K', kBackendKeyData);
  return greeting;
}

bool is_write(const RequestClass& request_class) {
  return request_class.consistency == ConsistencyLevel::Write;
}

class PostgresConnection : public frontend::ClientConnection {
public:
  PostgresConnection(frontend::Frontend& frontend, net::SocketHandle socket,
                     proxy::ContractEnforcer& contracts,
                     const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier)
      : ClientConnection(frontend, std::move(socket)), contracts_(contracts),
        classifier_(classifier), ready_for_query_(encode_message('Z', "I")) {}

  proxy::Parts body(Duration left) override {
    // The statement stays in the input until it is answered; only the deadline is replaced.
    const std::string_view text = stream_->input().view().substr(kQueryHeaderSize, query_size_);
    remaining_ms_ = std::to_string(std::max<Duration::rep>(left / 1ms, 1));
    return {text.substr(0, deadline_offset_), remaining_ms_,
            text.substr(deadline_offset_ + deadline_size_)};
  }

  void respond(const proxy::Parts& value) override {
    proxy::Parts parts = value;
    parts.emplace_back(ready_for_query_);
    finish(parts);
  }

  void reject(Duration retry_after) override {
    const std::string wait_ms = retry_after > 0ms ? std::to_string(retry_after / 1ms) : "";
    finish({encode_error(Severity::Error, {kTooManyConnections, "refused: try again"}, wait_ms),
            ready_for_query_});
  }

  void fail() override {
    finish({encode_error(Severity::Error,
                         {kTransactionResolutionUnknown, "failed: the effect is not known"}),
            ready_for_query_});
  }

private:
  void finish(const proxy::Parts& parts) {
    stream_->write(parts);
    stream_->input().consume(query_size_ + kQueryFramingSize);
    finish_request();
  }

  void send_fatal_error(const char* sqlstate, const std::string& text) {
    stream_->write({encode_error(Severity::Fatal, {sqlstate, text})});
    close_when_written(frontend::CloseReason::ErrorSent);
  }

  void send_closing_error(const char* reason) override {
    send_fatal_error(is_over_limit() ? kTooManyConnections : kQueryCanceled, reason);
  }

  void reject_command(const Message& message, const SqlError& error) {
    stream_->write({encode_error(Severity::Error, error), ready_for_query_});
    stream_->input().consume(message.encoded.size());
  }

  void parse() override {
    if (!has_started_)
      return parse_startup();
    const wire::Framed<Message> message =
        read_message(stream_->input().view(), frontend_.limits().message_bytes);
    if (message)
      return handle_message(message.value());
    if (message.error() == FramingError::Malformed)
      send_fatal_error(kProtocolViolation, "a message is malformed or too long");
  }

  void handle_message(const Message& message) {
    if (skips_to_sync_ && message.type != 'S' && message.type != 'X')
      return stream_->input().consume(message.encoded.size());
    switch (message.type) {
    case 'Q':
      return handle_query(message);
    case 'X':  // Terminate; an answer may still be on its way, with bytes behind this message
      return close_when_written(frontend::CloseReason::ClientEnded);
    case 'S':  // Sync
      skips_to_sync_ = false;
      stream_->write({ready_for_query_});
      return stream_->input().consume(message.encoded.size());
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'F':
    case 'H':
      return reject_extended_protocol(message);
    default:
      return send_fatal_error(kProtocolViolation, "unknown message type");
    }
  }

  // The error is sent once; then all messages are skipped until the client sends Sync. A function
  // call stands outside the extended protocol and is answered alone.
  void reject_extended_protocol(const Message& message) {
    const bool is_function_call = message.type == 'F';
    skips_to_sync_ = !is_function_call;
    stream_->write(
        {encode_error(Severity::Error, {kFeatureNotSupported, "only simple queries are served"})});
    if (is_function_call)
      stream_->write({ready_for_query_});
    stream_->input().consume(message.encoded.size());
  }

  void parse_startup() {
    const wire::Framed<StartupMessage> startup =
        read_startup(stream_->input().view(), kMaxStartupSize);
    if (startup)
      return handle_startup(startup.value());
    if (startup.error() == FramingError::Malformed)
      send_fatal_error(kProtocolViolation, "the startup message is malformed");
  }

  void handle_startup(const StartupMessage& startup) {
    const std::uint32_t version = startup.code;
    if (version == kCancelRequest)
      return close_when_written(frontend::CloseReason::ClientEnded);
    if (version == kSslRequest || version == kGssEncryptionRequest) {
      stream_->write({"N"});
      return stream_->input().consume(startup.size);
    }
    if (version >> 16 != 3)
      return send_fatal_error(kFeatureNotSupported, "only version 3 of the protocol is served");
    if (is_over_limit())
      return send_fatal_error(kTooManyConnections, "too many connections");
    team_ = startup_parameter(startup.parameters, "user").value_or("");
    if (team_.empty())
      return send_fatal_error(kInvalidAuthorization, "the startup message names no user");
    if (!contracts_.has_team(team_))
      return send_fatal_error(kInvalidAuthorization, "no contract with the team '" + team_ + "'");
    has_started_ = true;
    const std::string greeting = encode_greeting();
    stream_->write({greeting, ready_for_query_});
    stream_->input().consume(startup.size);
  }

  void handle_query(const Message& message) {
    if (message.body.empty() || message.body.back() != '\0')
      return send_fatal_error(kProtocolViolation, "a query does not end in a zero byte");
    const std::string_view text = message.body.substr(0, message.body.size() - 1);
    if (text.find('\0') != std::string_view::npos)
      return send_fatal_error(kProtocolViolation, "a query holds a zero byte");
    if (is_blank(text)) {
      stream_->write({encode_message('I', ""), ready_for_query_});
      return stream_->input().consume(message.encoded.size());
    }
    if (const std::optional<SqlError> error = begin_statement(text, message.encoded.size()))
      reject_command(message, *error);
  }

  /// Begins a request for the statement in `text`, whose message has `message_size` bytes.
  std::optional<SqlError> begin_statement(std::string_view text, std::size_t message_size) {
    const Statement statement = read_statement(text);
    const auto request_class = contracts_.classes().find(std::string(statement.service_class));
    const auto deadline_ms = parse_whole_number(statement.deadline, kMaxDeadlineMs);
    const auto group = parse_whole_number(statement.group, kMaxGroup);
    if (statement.has_several)
      return SqlError{kSyntaxError, "a query holds one statement"};
    if (statement.id.empty())
      return SqlError{kSyntaxError, "the statement's comment holds no id"};
    if (request_class == contracts_.classes().end())
      return SqlError{kSyntaxError, "the statement's comment names no known class"};
    if (!deadline_ms || *deadline_ms == 0)
      return SqlError{kSyntaxError, "the statement's comment holds no time to wait"};
    if (!group)
      return SqlError{kSyntaxError, "the statement's comment names no cluster"};
    const RequestClass& settings = frontend_.broker().settings().classes[request_class->second];
    const sql_classifier::Verdict verdict = classify(statement, text);
    if (auto error = check_class(statement, verdict, settings))
      return error;
    Request request = make_request(statement, settings);
    request.class_index = request_class->second;
    request.deadline = earliest_arrival() + std::chrono::milliseconds(*deadline_ms);
    request.group = static_cast<GroupId>(*group);
    const auto decision = contracts_.admit(team_, net::now(), request);
    if (decision != proxy::ContractEnforcer::Decision::Admitted)
      return SqlError{kInsufficientPrivilege, proxy::describe(decision)};
    if (classifier_ && verdict.effect == Effect::Unknown)
      request.max_attempts = 1;  // it may not be idempotent
    query_size_ = text.size();
    deadline_offset_ = static_cast<std::size_t>(statement.deadline.data() - text.data());
    deadline_size_ = statement.deadline.size();
    if (!begin_request(std::move(request), message_size))
      return SqlError{kDuplicateObject, "a request with this id is open, or it is no fit id"};
    return std::nullopt;
  }

  [[nodiscard]] sql_classifier::Verdict classify(const Statement& statement,
                                                 std::string_view text) const {
    if (classifier_)
      return classifier_->classify(text);
    return {statement.is_select ? Effect::Read : Effect::Write, ""};
  }

  // The caller names the class. A write under a reading class would go to a replica, and would be
  // retried as if it changed nothing.
  [[nodiscard]] std::optional<SqlError> check_class(const Statement& statement,
                                                    const sql_classifier::Verdict& verdict,
                                                    const RequestClass& settings) const {
    if (classifier_ && verdict.effect != Effect::Read && !is_write(settings))
      return SqlError{kReadOnlyTransaction,
                      "the statement may write, and its class reads: " + verdict.reason};
    if (!classifier_ && statement.is_select == is_write(settings))
      return SqlError{kSyntaxError, "the statement does not fit its class"};
    if (settings.idempotency == Idempotency::IdempotencyKey && statement.idempotency.empty())
      return SqlError{kSyntaxError, "the class needs an idempotency key"};
    return std::nullopt;
  }

  static Request make_request(const Statement& statement, const RequestClass& settings) {
    Request request;
    request.id = std::string(statement.id);
    if (is_write(settings) || settings.consistency == ConsistencyLevel::Session)
      request.session = session_of(statement.key);
    if (const auto after_ms = parse_whole_number(statement.after, kMaxTokenTimeMs))
      request.session_token_age =
          std::max(Duration{}, net::now() - TimePoint(std::chrono::milliseconds(*after_ms)));
    request.is_client_retry = statement.retry == "1";
    return request;
  }

  proxy::ContractEnforcer& contracts_;
  const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier_;
  const std::string ready_for_query_;
  std::string team_;  ///< The user of the startup message.
  std::string remaining_ms_;
  bool has_started_ = false;
  bool skips_to_sync_ = false;
  std::size_t query_size_ = 0;       ///< Of the pending statement's text.
  std::size_t deadline_offset_ = 0;  ///< Of the deadline in that text.
  std::size_t deadline_size_ = 0;
};

}  // namespace

frontend::Frontend::ConnectionFactory
make_connection(proxy::ContractEnforcer& contracts,
                const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier) {
  return [&contracts, &classifier](frontend::Frontend& frontend, net::SocketHandle socket) {
    return std::make_unique<PostgresConnection>(frontend, std::move(socket), contracts, classifier);
  };
}

}  // namespace gorsebeam::postgres
