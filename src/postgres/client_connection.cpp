#include "client_connection.h"

#include "client_message.h"
#include "codec.h"
#include "startup.h"
#include "statement.h"
#include "statement_request.h"
#include "statement_rewriter.h"

#include "frontend/request_admission.h"
#include "net/timer.h"

#include <optional>
#include <string>
#include <utility>

namespace gorsebeam::postgres {
namespace {

using wire::FramingError;

constexpr std::size_t kMaxStartupSize = 10'000;
constexpr std::size_t kQueryHeaderSize = 5;                      // type byte and length field
constexpr std::size_t kQueryFramingSize = kQueryHeaderSize + 1;  // header and final zero byte
constexpr std::string_view kReadyForQuery("Z\0\0\0\5I", 6);

/// The connection of one PostgreSQL client. Moves bytes between the client's stream and the modules
/// that parse messages and encode replies, which do no I/O.
class PostgresClientConnection : public frontend::ClientConnection {
public:
  PostgresClientConnection(frontend::Frontend& frontend, net::SocketHandle socket,
                           proxy::ContractEnforcer& contracts,
                           const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier)
      : ClientConnection(frontend, std::move(socket)),
        admission_(contracts, frontend.broker().settings()), classifier_(classifier) {}

  // Reads the statement from the input again, where it stays until its request is complete.
  proxy::ByteSpans body(Duration time_left) override {
    const std::string_view text = input().substr(kQueryHeaderSize, statement_size_);
    return rewriter_.rewrite(text, deadline_, time_left);
  }

  void respond(const proxy::ByteSpans& body) override {
    proxy::ByteSpans parts = body;
    parts.emplace_back(kReadyForQuery);
    complete_request(parts);
  }

  void reject(Duration retry_after) override {
    const std::string wait_ms = retry_after > 0ms ? std::to_string(retry_after / 1ms) : "";
    const SqlError error{kTooManyConnections, "refused: try again"};
    complete_request({encode_error(Severity::Error, error, wait_ms), kReadyForQuery});
  }

  void fail() override {
    const SqlError error{kTransactionResolutionUnknown, "failed: the effect is not known"};
    complete_request({encode_error(Severity::Error, error), kReadyForQuery});
  }

private:
  enum class Phase {
    AwaitingStartup,
    Serving,
    SkippingToSync,  ///< Messages are skipped up to Sync, after an error in an extended query.
  };

  void parse() override {
    if (phase_ == Phase::AwaitingStartup)
      return parse_startup_message();
    const wire::FramingResult<Message> message = read_message(input(), max_message_bytes());
    if (message)
      handle_message(message.value());
    else if (message.error() == FramingError::Malformed)
      close_with_error({kProtocolViolation, "a message is malformed or too long"});
  }

  void parse_startup_message() {
    const wire::FramingResult<StartupMessage> message = read_startup(input(), kMaxStartupSize);
    if (message)
      handle_startup(message.value());
    else if (message.error() == FramingError::Malformed)
      close_with_error({kProtocolViolation, "the startup message is malformed"});
  }

  void handle_startup(const StartupMessage& message) {
    const Startup startup = parse_startup(message);
    switch (startup.kind) {
    case StartupKind::Cancel:
      return close_when_written(frontend::CloseReason::ClientEnded);
    case StartupKind::Encryption:
      send({"N"});
      return consume(message.size);
    case StartupKind::UnsupportedVersion:
      return close_with_error({kFeatureNotSupported, "only version 3 of the protocol is served"});
    case StartupKind::Session:
      if (const std::optional<SqlError> error = begin_session(startup.user))
        return close_with_error(*error);
      send({encode_startup_reply(), kReadyForQuery});
      return consume(message.size);
    }
  }

  /// Begins the session of a client with the user name `user`, or returns why it is rejected.
  std::optional<SqlError> begin_session(std::string_view user) {
    if (is_over_limit())
      return SqlError{kTooManyConnections, "too many connections"};
    if (user.empty())
      return SqlError{kInvalidAuthorization, "the startup message names no user"};
    admission_.set_team(std::string(user));
    if (const auto text = admission_.missing_contract())
      return SqlError{kInvalidAuthorization, *text};
    phase_ = Phase::Serving;
    return std::nullopt;
  }

  void handle_message(const Message& message) {
    const MessageKind kind = kind_of(message);
    const bool ends_skipping = kind == MessageKind::Sync || kind == MessageKind::Terminate;
    if (phase_ == Phase::SkippingToSync && !ends_skipping)
      return discard_message(message);
    switch (kind) {
    case MessageKind::Query:
      return handle_query(message);
    case MessageKind::Terminate:  // earlier responses may still have to be written
      return close_when_written(frontend::CloseReason::ClientEnded);
    case MessageKind::Sync:
      phase_ = Phase::Serving;
      return reply(message, {kReadyForQuery});
    case MessageKind::ExtendedQuery:
      // The error is sent once. All later messages are skipped until the client sends Sync.
      phase_ = Phase::SkippingToSync;
      return reply(message, {encode_error(Severity::Error, simple_queries_only_error())});
    case MessageKind::FunctionCall:
      return reject_message(message, simple_queries_only_error());
    case MessageKind::Unknown:
      return close_with_error({kProtocolViolation, "unknown message type"});
    }
  }

  static SqlError simple_queries_only_error() {
    return {kFeatureNotSupported, "only simple queries are served"};
  }

  void handle_query(const Message& message) {
    const common::Result<std::string_view, SqlError> text = read_query(message);
    if (!text)
      return close_with_error(text.error());
    if (is_blank(text.value()))
      return reply(message, {encode_message('I', ""), kReadyForQuery});
    if (classifier_ && sql_classifier::is_expensive(text.value()) && !try_expensive_work())
      return;
    if (const auto error = begin_statement(text.value(), message.encoded.size()))
      reject_message(message, *error);
  }

  /// Begins a request for the statement in `text`, or returns why the statement is rejected.
  std::optional<SqlError> begin_statement(std::string_view text, std::size_t message_size) {
    auto parsed = parse_request(text, admission_.classes(), classifier_.get());
    if (!parsed)
      return parsed.error();
    StatementRequest& statement = parsed.value();
    auto request =
        admission_.admit(std::move(statement.parsed), waiting_since(message_size), net::now());
    if (!request)
      return SqlError{kInsufficientPrivilege, proxy::describe(request.error())};
    statement_size_ = text.size();
    deadline_ = statement.deadline;
    const proxy::BeginResult result = begin_request(std::move(request.value()), message_size);
    if (result != proxy::BeginResult::Begun)
      return SqlError{kDuplicateObject, proxy::describe(result)};
    return std::nullopt;
  }

  void discard_message(const Message& message) { consume(message.encoded.size()); }

  /// Sends the reply to a message that began no request.
  void reply(const Message& message, const proxy::ByteSpans& parts) {
    send(parts);
    discard_message(message);
  }

  void reject_message(const Message& message, const SqlError& error) {
    reply(message, {encode_error(Severity::Error, error), kReadyForQuery});
  }

  /// Sends the response to the pending request and ends the request.
  void complete_request(const proxy::ByteSpans& parts) {
    send(parts);
    consume(statement_size_ + kQueryFramingSize);
    finish_request();
  }

  void close_with_error(const SqlError& error) {
    send({encode_error(Severity::Fatal, error)});
    close_when_written(frontend::CloseReason::ErrorSent);
  }

  void send_closing_error(frontend::RejectReason reason) override {
    const char* code = is_over_limit() ? kTooManyConnections : kQueryCanceled;
    close_with_error({code, frontend::text_of(reason)});
  }

  frontend::RequestAdmission admission_;
  /// Null if statements are not classified. A reload can replace the classifier.
  const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier_;
  StatementRewriter rewriter_;
  Phase phase_ = Phase::AwaitingStartup;
  std::size_t statement_size_ = 0;  ///< The size in bytes of the pending statement's text.
  DeadlineField deadline_;          ///< The place of the deadline in the pending statement's text.
};

}  // namespace

frontend::Frontend::ConnectionFactory
make_connection_factory(proxy::ContractEnforcer& contracts,
                        const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier) {
  return [&contracts, &classifier](frontend::Frontend& frontend, net::SocketHandle socket) {
    return std::make_unique<PostgresClientConnection>(frontend, std::move(socket), contracts,
                                                      classifier);
  };
}

}  // namespace gorsebeam::postgres
