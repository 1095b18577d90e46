#include "client_connection.h"

#include "codec.h"
#include "command_parser.h"
#include "command_rewriter.h"
#include "hello.h"
#include "replies.h"

#include "frontend/request_admission.h"
#include "net/timer.h"
#include "wire/parts.h"

#include <optional>
#include <string>
#include <utility>

namespace gorsebeam::mongo {
namespace {

using wire::FramingError;

CommandError too_many_connections_error() {
  return {ErrorCode::IngressRequestRateLimitExceeded, "too many connections"};
}

/// The connection of one MongoDB client. Moves bytes between the client's stream and the modules
/// that parse commands and encode replies, which do no I/O.
class MongoClientConnection : public frontend::ClientConnection {
public:
  MongoClientConnection(frontend::Frontend& frontend, net::SocketHandle socket,
                        proxy::ContractEnforcer& contracts)
      : ClientConnection(frontend, std::move(socket)),
        admission_(contracts, frontend.broker().settings()) {}

  // Reads the message from the input again, where it stays until its request is complete. The limit
  // under which it was accepted holds: a reload may have lowered the present one.
  proxy::ByteSpans body(Duration time_left) override {
    const wire::FramingResult<Message> message = read_message(input(), message_size_);
    const OpMsg op_msg = message ? read_op_msg(message.value().payload).value_or(OpMsg{}) : OpMsg{};
    return rewriter_.rewrite(op_msg, pending_command_kind_, time_left);
  }

  void respond(const proxy::ByteSpans& body) override {
    const std::string flags = encode_u32(0);
    const std::size_t payload_size = flags.size() + wire::total_size(body);
    const std::string header =
        encode_header(payload_size, ++last_sent_id_, message_id_, Opcode::Msg);
    proxy::ByteSpans parts{header, flags};
    parts.insert(parts.end(), body.begin(), body.end());
    send(parts);
    complete_request();
  }

  void reject(Duration retry_after) override {
    send_reply(encode_rejection_reply(retry_after));
    complete_request();
  }

  void fail() override {
    send_reply(encode_error_reply({ErrorCode::NetworkTimeout, "failed: the effect is not known"}));
    complete_request();
  }

private:
  void parse() override {
    const wire::FramingResult<Message> message = read_message(input(), max_message_bytes());
    if (message)
      handle_message(message.value());
    else if (message.error() == FramingError::Malformed)
      close_with_error(ProtocolError::MalformedFrame);
  }

  void handle_message(const Message& message) {
    message_id_ = message.request_id;
    message_size_ = message.size;
    const common::Result<Command, ProtocolError> command = parse_command(message);
    if (!command)
      close_with_error(command.error());
    else if (message.opcode == Opcode::Query)
      handle_query(command.value());
    else
      handle_command(command.value());
  }

  /// Replies to an OP_QUERY. Drivers send their first hello as OP_QUERY, and change to OP_MSG when
  /// the reply says that the server supports it.
  void handle_query(const Command& command) {
    const std::string document = command.kind == CommandKind::Hello
                                     ? hello_reply(command.document)
                                     : encode_error_reply({ErrorCode::UnsupportedOpQueryCommand,
                                                           "only a greeting may be an OP_QUERY"});
    send({encode_op_reply(document, ++last_sent_id_, message_id_)});
    consume_message();
    if (is_over_limit())
      close_when_written(frontend::CloseReason::ErrorSent);
  }

  void handle_command(const Command& command) {
    if (command.kind == CommandKind::Empty)
      return reply(encode_error_reply({ErrorCode::FailedToParse, "the command is empty"}));
    if (is_over_limit())
      return reject_over_limit(command);
    switch (command.kind) {
    case CommandKind::Hello:
      return reply(hello_reply(command.document));
    case CommandKind::BuildInfo:
      return reply(encode_build_info_reply());
    case CommandKind::Acknowledged:
      return reply(encode_ok_reply());
    default:
      if (const std::optional<CommandError> error = begin_command(command))
        reply(encode_error_reply(*error));
    }
  }

  void reject_over_limit(const Command& command) {
    send_reply(encode_error_reply(too_many_connections_error()));
    if (command.kind == CommandKind::Hello)
      consume_message();
    close_when_written(frontend::CloseReason::ErrorSent);
  }

  /// Returns the reply to a hello, and takes the client's team from its application name.
  std::string hello_reply(std::string_view hello) {
    if (is_over_limit())
      return encode_error_reply(too_many_connections_error());
    if (auto name = application_name(hello))
      admission_.set_team(std::move(*name));
    return encode_hello_reply(max_message_bytes(), net::now());
  }

  /// Begins a request for `command`, or returns why the command is rejected.
  std::optional<CommandError> begin_command(const Command& command) {
    auto parsed = parse_request(command, admission_.classes());
    if (!parsed)
      return parsed.error();
    if (const auto text = admission_.missing_contract())
      return CommandError{ErrorCode::Unauthorized, *text};
    const TimePoint now = net::now();
    // No command carries the position of its session's last commit, which any gateway may have
    // passed on. Ignored where the router knows what its sessions have written.
    parsed.value().request.session_token = position_at(now);
    auto request = admission_.admit(std::move(parsed.value()), waiting_since(message_size_), now);
    if (!request)
      return CommandError{ErrorCode::Unauthorized, proxy::describe(request.error())};
    pending_command_kind_ = command.kind;
    const proxy::BeginResult result = begin_request(std::move(request.value()), message_size_);
    if (result != proxy::BeginResult::Begun)
      return CommandError{ErrorCode::FailedToParse, proxy::describe(result)};
    return std::nullopt;
  }

  void send_reply(const std::string& document) {
    send({encode_op_msg(document, ++last_sent_id_, message_id_)});
  }

  void consume_message() { consume(message_size_); }

  /// Sends the reply to a message that began no request.
  void reply(const std::string& document) {
    send_reply(document);
    consume_message();
  }

  /// Ends the pending request after its response was written.
  void complete_request() {
    consume_message();
    finish_request();
  }

  void close_with_error(ProtocolError error) {
    if (error == ProtocolError::ReplyForbidden)
      close_when_written(frontend::CloseReason::ErrorSent);
    else
      close_with_error_text(describe(error));
  }

  void send_closing_error(frontend::RejectReason reason) override {
    close_with_error_text(frontend::text_of(reason));
  }

  void close_with_error_text(const char* text) {
    send_reply(encode_error_reply({ErrorCode::InvalidBson, text}));
    close_when_written(frontend::CloseReason::ErrorSent);
  }

  frontend::RequestAdmission admission_;
  CommandRewriter rewriter_;
  std::uint32_t last_sent_id_ = 0;
  std::uint32_t message_id_ = 0;  ///< The request id of the client's message being handled.
  std::size_t message_size_ = 0;  ///< The size in bytes of the client's message being handled.
  CommandKind pending_command_kind_ = CommandKind::Read;  ///< The kind of the pending command.
};

}  // namespace

frontend::Frontend::ConnectionFactory make_connection_factory(proxy::ContractEnforcer& contracts) {
  return [&contracts](frontend::Frontend& frontend, net::SocketHandle socket) {
    return std::make_unique<MongoClientConnection>(frontend, std::move(socket), contracts);
  };
}

}  // namespace gorsebeam::mongo
