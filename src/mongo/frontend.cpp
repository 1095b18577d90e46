#include "frontend.h"

#include "codec.h"
#include "command_comment.h"
#include "error_code.h"

#include "frontend/session_hash.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <utility>

namespace gorsebeam::mongo {
namespace {

using wire::FramingError;

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr unsigned long long kMaxGroup = 0xffffffffU;

// The wire versions of servers 4.4 to 6.0: drivers then know retryable writes by the labels on
// errors.
constexpr std::int32_t kMinWireVersion = 0;
constexpr std::int32_t kMaxWireVersion = 17;
constexpr std::int32_t kMaxWriteBatchSize = 1000;
constexpr std::int32_t kLogicalSessionTimeoutMinutes = 30;

constexpr std::array kReadCommands{"find", "count", "distinct"};
constexpr std::array kWriteCommands{"insert", "update", "delete", "findAndModify", "findandmodify"};
constexpr std::array kHelloCommands{"hello", "isMaster", "ismaster"};
constexpr std::array kBuildInfoCommands{"buildInfo", "buildinfo"};
constexpr std::array kLocalCommands{"ping", "endSessions"};
constexpr std::array kUnsupportedCommands{"aggregate", "getMore",           "killCursors",
                                          "saslStart", "commitTransaction", "abortTransaction"};

template <typename Names>
bool is_one_of(std::string_view name, const Names& names) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::size_t total_size(const proxy::Parts& parts) {
  std::size_t size = 0;
  for (const std::string_view part : parts)
    size += part.size();
  return size;
}

bool is_directly_behind(std::string_view second, std::string_view first) {
  return first.data() + first.size() == second.data();
}

CommandError parse_error(const char* text) {
  return {ErrorCode::FailedToParse, text};
}

Writer error_reply(const CommandError& error) {
  return Writer()
      .append_double("ok", 0)
      .append_string("errmsg", error.text)
      .append_int32("code", static_cast<std::int32_t>(error.code))
      .append_string("codeName", name_of(error.code));
}

Writer over_limit_reply() {
  return error_reply({ErrorCode::IngressRequestRateLimitExceeded, "too many connections"});
}

/// The name under which a client introduces itself; nothing where it gives none.
std::optional<std::string> application_name(std::string_view hello) {
  const auto client = find(hello, "client");
  if (!client || client->type != ElementType::Document)
    return std::nullopt;
  const auto application = find(client->value, "application");
  if (!application || application->type != ElementType::Document)
    return std::nullopt;
  const auto name = find(application->value, "name");
  return name ? std::optional(scalar_text(*name)) : std::nullopt;
}

/// A group's number; nothing where the text is not one.
std::optional<GroupId> parse_group(const std::string& text) {
  char* end = nullptr;
  const unsigned long long group = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || group > kMaxGroup)
    return std::nullopt;
  return static_cast<GroupId>(group);
}

/// The document that names a command's session; nothing where there is none.
std::optional<Element> find_session(std::string_view command) {
  auto session = find(command, "lsid");
  if (session && session->type != ElementType::Document)
    session.reset();
  return session;
}

std::uint64_t session_of(const Element& session) {
  const auto id = find(session.value, "id");
  return frontend::hash_session_name(id ? id->value : session.value);
}

class MongoConnection : public frontend::ClientConnection {
public:
  MongoConnection(frontend::Frontend& frontend, net::SocketHandle socket,
                  proxy::ContractEnforcer& contracts)
      : ClientConnection(frontend, std::move(socket)), contracts_(contracts) {}

  // The message as the client sent it, except for three fields: the deadline, which is replaced; a
  // read's $readPreference, as replicas serve only reads that allow it; and a checksum, as the
  // header is another.
  proxy::Parts body(Duration left) override {
    const wire::Framed<Message> message =
        read_message(stream_->input().view(), frontend_.limits().message_bytes);
    const OpMsg op_msg = message ? read_op_msg(message.value().payload).value_or(OpMsg{}) : OpMsg{};
    const proxy::Parts kept = kept_elements(op_msg.body);
    Writer added;
    added.append_int64("maxTimeMS", std::max<Duration::rep>(left / 1ms, 1));
    if (is_read_)
      added.append_document("$readPreference",
                            Writer().append_string("mode", "primaryPreferred").finish());
    const std::string& added_elements = added.elements();
    const std::size_t size = kMinDocumentSize + total_size(kept) + added_elements.size();
    // Flags; then the kind and the length of the command; then the added elements and the end.
    rewritten_ =
        encode_u32(0) + '\0' + encode_u32(static_cast<std::uint32_t>(size)) + added_elements + '\0';
    const std::string_view rewritten = rewritten_;
    proxy::Parts parts{rewritten.substr(0, 4), op_msg.sections_before, rewritten.substr(4, 5)};
    parts.insert(parts.end(), kept.begin(), kept.end());
    parts.push_back(rewritten.substr(9));
    parts.push_back(op_msg.sections_after);
    return parts;
  }

  void respond(const proxy::Parts& value) override {
    const std::size_t size = 4 + total_size(value);
    const std::string head =
        encode_header(size, ++last_sent_id_, request_id_, Opcode::Msg) + encode_u32(0);
    proxy::Parts parts{head};
    parts.insert(parts.end(), value.begin(), value.end());
    stream_->write(parts);
    finish();
  }

  void reject(Duration retry_after) override {
    // Drivers send a write again on the first label, which is harmless; newer ones wait on the
    // second.
    const std::string labels = Writer()
                                   .append_string("0", "RetryableWriteError")
                                   .append_string("1", "SystemOverloadedError")
                                   .finish();
    Writer reply = error_reply({ErrorCode::IngressRequestRateLimitExceeded, "refused: try again"});
    reply.append_array("errorLabels", labels);
    if (retry_after > 0ms)
      reply.append_int64("retryAfterMS", retry_after / 1ms);
    send_reply(reply);
    finish();
  }

  void fail() override {
    send_reply(error_reply({ErrorCode::NetworkTimeout, "failed: the effect is not known"}));
    finish();
  }

private:
  void send_reply(const Writer& reply) {
    stream_->write({encode_op_msg(reply.finish(), ++last_sent_id_, request_id_)});
  }

  void finish() {
    stream_->input().consume(message_size_);
    finish_request();
  }

  void reject_command(const CommandError& error) {
    send_reply(error_reply(error));
    stream_->input().consume(message_size_);
  }

  void send_closing_error(const char* reason) override { send_malformed_error(reason); }

  void send_malformed_error(const std::string& text) {
    send_reply(error_reply({ErrorCode::InvalidBson, text}));
    close_when_written(frontend::CloseReason::ErrorSent);
  }

  /// The command's elements that are forwarded as they are; neighbours are joined to one part.
  [[nodiscard]] proxy::Parts kept_elements(std::string_view command) const {
    proxy::Parts kept;
    Reader reader(command);
    while (const std::optional<Element> element = reader.next()) {
      if (element->name == "maxTimeMS" || (is_read_ && element->name == "$readPreference"))
        continue;
      if (!kept.empty() && is_directly_behind(element->encoded, kept.back()))
        kept.back() = {kept.back().data(), kept.back().size() + element->encoded.size()};
      else
        kept.push_back(element->encoded);
    }
    return kept;
  }

  void parse() override {
    const wire::Framed<Message> message =
        read_message(stream_->input().view(), frontend_.limits().message_bytes);
    if (message)
      return handle_message(message.value());
    if (message.error() == FramingError::Malformed)
      send_malformed_error("a message is malformed or too long");
  }

  void handle_message(const Message& message) {
    request_id_ = message.request_id;
    message_size_ = message.size;
    if (message.opcode == Opcode::Query)
      return handle_query(message);
    if (message.opcode != Opcode::Msg)
      return send_malformed_error("only OP_MSG is served");
    const std::optional<OpMsg> op_msg = read_op_msg(message.payload);
    if (!op_msg)
      return send_malformed_error("a message is malformed");
    // A message that forbids an answer could not even be told that it failed, while each request
    // has a final answer.
    if ((op_msg->flags & kMoreToCome) != 0)
      return close_when_written(frontend::CloseReason::ErrorSent);
    handle_command(op_msg->body);
  }

  // Drivers greet with the old message and change to OP_MSG when the reply says that it is served.
  void handle_query(const Message& message) {
    const std::optional<std::string_view> body = read_op_query(message.payload);
    if (!body)
      return send_malformed_error("a query is malformed");
    const Element first = Reader(*body).next().value_or(Element{});
    const Writer reply = is_one_of(first.name, kHelloCommands)
                             ? greet(*body)
                             : error_reply({ErrorCode::UnsupportedOpQueryCommand,
                                            "only a greeting may be an OP_QUERY"});
    stream_->write({encode_op_reply(reply.finish(), ++last_sent_id_, request_id_)});
    stream_->input().consume(message_size_);
    if (is_over_limit())
      close_when_written(frontend::CloseReason::ErrorSent);
  }

  Writer greet(std::string_view hello) {
    if (is_over_limit())
      return over_limit_reply();
    if (auto name = application_name(hello))
      team_ = std::move(*name);
    const auto max_size = static_cast<std::int32_t>(frontend_.limits().message_bytes);
    Writer reply;
    reply.append_bool("helloOk", true)
        .append_bool("ismaster", true)
        .append_bool("isWritablePrimary", true);
    reply.append_string("msg",
                        "isdbgrid");  // a router: drivers leave the choice of the server to it
    reply.append_int32("maxBsonObjectSize", max_size);
    reply.append_int32("maxMessageSizeBytes", max_size);
    reply.append_int32("maxWriteBatchSize", kMaxWriteBatchSize);
    reply.append_date("localTime", net::now().time_since_epoch() / 1ms);
    reply.append_int32("logicalSessionTimeoutMinutes", kLogicalSessionTimeoutMinutes);
    reply.append_int32("connectionId", 1);
    reply.append_int32("minWireVersion", kMinWireVersion);
    reply.append_int32("maxWireVersion", kMaxWireVersion);
    reply.append_bool("readOnly", false);
    reply.append_double("ok", 1);
    return reply;
  }

  void handle_command(std::string_view command) {
    const std::optional<Element> element = Reader(command).next();
    if (!element)
      return reject_command(parse_error("the command is empty"));
    const Element& first = *element;
    if (is_one_of(first.name, kHelloCommands)) {
      send_reply(greet(command));
      stream_->input().consume(message_size_);
      if (is_over_limit())
        close_when_written(frontend::CloseReason::ErrorSent);
      return;
    }
    if (is_over_limit()) {
      send_reply(over_limit_reply());
      return close_when_written(frontend::CloseReason::ErrorSent);
    }
    if (is_one_of(first.name, kLocalCommands) || is_one_of(first.name, kBuildInfoCommands))
      return answer_locally(first.name);
    is_read_ = is_one_of(first.name, kReadCommands);
    if (!is_read_ && !is_one_of(first.name, kWriteCommands))
      return reject_command(unknown_command_error(std::string(first.name)));
    if (const std::optional<CommandError> error = begin_command(command))
      reject_command(*error);
  }

  void answer_locally(std::string_view command_name) {
    Writer reply;
    if (is_one_of(command_name, kBuildInfoCommands))
      reply.append_string("version", "6.0.0");
    send_reply(reply.append_double("ok", 1));
    stream_->input().consume(message_size_);
  }

  static CommandError unknown_command_error(const std::string& name) {
    if (is_one_of(name, kUnsupportedCommands))
      return {ErrorCode::CommandNotSupported, name + " is not served"};
    return {ErrorCode::CommandNotFound, "no such command: '" + name + "'"};
  }

  std::optional<CommandError> begin_command(std::string_view command) {
    const CommandComment comment = read_comment(command);
    const auto request_class = contracts_.classes().find(comment.service_class);
    const std::optional<GroupId> group = parse_group(comment.group);
    if (find(command, "startTransaction") || find(command, "autocommit"))
      return CommandError{ErrorCode::CommandNotSupported, "transactions are not served"};
    if (comment.id.empty())
      return parse_error("the command's comment holds no id");
    if (request_class == contracts_.classes().end())
      return parse_error("the command's comment names no known class");
    if (!group)
      return parse_error("the command's comment names no cluster");
    const RequestClass& settings = frontend_.broker().settings().classes[request_class->second];
    if (auto error = check_class(command, comment, settings))
      return error;
    Request request;
    request.id = comment.id;
    request.class_index = request_class->second;
    request.group = *group;
    const bool is_write = settings.consistency == ConsistencyLevel::Write;
    const auto session = find_session(command);
    if (session && (is_write || settings.consistency == ConsistencyLevel::Session))
      request.session = session_of(*session);
    return admit_and_begin(command, settings, std::move(request));
  }

  [[nodiscard]] std::optional<CommandError> check_class(std::string_view command,
                                                        const CommandComment& comment,
                                                        const RequestClass& settings) const {
    if (is_read_ == (settings.consistency == ConsistencyLevel::Write))
      return parse_error("the command does not fit its class");
    const auto session = find_session(command);
    // The protocol's own key of a retryable write is its session and its number in that session.
    const bool has_protocol_key = session && find(command, "txnNumber");
    if (settings.idempotency == Idempotency::IdempotencyKey && comment.idempotency.empty() &&
        !has_protocol_key)
      return parse_error("the class needs a key: k in the comment, or lsid and txnNumber");
    if (settings.consistency == ConsistencyLevel::Session && !session)
      return parse_error("the class needs a session: lsid");
    return std::nullopt;
  }

  std::optional<CommandError> admit_and_begin(std::string_view command,
                                              const RequestClass& settings, Request request) {
    const TimePoint now = net::now();
    Duration allowed = settings.deadline;
    if (const auto limit = find(command, "maxTimeMS")) {
      const auto limit_ms = to_integer(*limit);
      if (!limit_ms || *limit_ms < 0 || *limit_ms > kMaxDeadlineMs)
        return parse_error("maxTimeMS is out of range");
      if (*limit_ms > 0)  // 0 means no limit in the protocol
        allowed = std::chrono::milliseconds(*limit_ms);
    }
    request.deadline = earliest_arrival() + allowed;
    if (!contracts_.has_team(team_))
      return CommandError{ErrorCode::Unauthorized, "no contract with the team '" + team_ + "'"};
    const auto decision = contracts_.admit(team_, now, request);
    if (decision != proxy::ContractEnforcer::Decision::Admitted)
      return CommandError{ErrorCode::Unauthorized, proxy::describe(decision)};
    if (!begin_request(std::move(request), message_size_))
      return parse_error("a request with this id is open, or it is no fit id");
    return std::nullopt;
  }

  proxy::ContractEnforcer& contracts_;
  std::string team_;       ///< The application's name in the client's greeting.
  std::string rewritten_;  ///< The parts that `body` returns lead into it.
  std::uint32_t last_sent_id_ = 0;
  std::uint32_t request_id_ = 0;  ///< Of the message that is being handled.
  std::size_t message_size_ = 0;
  bool is_read_ = false;
};

}  // namespace

frontend::Frontend::ConnectionFactory make_connection(proxy::ContractEnforcer& contracts) {
  return [&contracts](frontend::Frontend& frontend, net::SocketHandle socket) {
    return std::make_unique<MongoConnection>(frontend, std::move(socket), contracts);
  };
}

}  // namespace gorsebeam::mongo
