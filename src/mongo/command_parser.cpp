#include "command_parser.h"

#include "command_comment.h"

#include "frontend/session_hash.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>

namespace gorsebeam::mongo {
namespace {

using frontend::ParsedRequest;

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr unsigned long long kMaxGroup = 0xffffffffU;

constexpr std::array kReadCommands{"find", "count", "distinct"};
constexpr std::array kWriteCommands{"insert", "update", "delete", "findAndModify", "findandmodify"};
constexpr std::array kHelloCommands{"hello", "isMaster", "ismaster"};
constexpr std::array kBuildInfoCommands{"buildInfo", "buildinfo"};
constexpr std::array kAcknowledgedCommands{"ping", "endSessions"};
constexpr std::array kUnsupportedCommands{"aggregate", "getMore",           "killCursors",
                                          "saslStart", "commitTransaction", "abortTransaction"};

template <typename Names>
bool is_one_of(std::string_view name, const Names& names) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

CommandKind kind_of(std::string_view name) {
  if (is_one_of(name, kHelloCommands))
    return CommandKind::Hello;
  if (is_one_of(name, kBuildInfoCommands))
    return CommandKind::BuildInfo;
  if (is_one_of(name, kAcknowledgedCommands))
    return CommandKind::Acknowledged;
  if (is_one_of(name, kReadCommands))
    return CommandKind::Read;
  if (is_one_of(name, kWriteCommands))
    return CommandKind::Write;
  return is_one_of(name, kUnsupportedCommands) ? CommandKind::Unsupported : CommandKind::Unknown;
}

/// Returns the command in `document`. The name of the first element is the name of the command.
Command read_command(std::string_view document) {
  const std::optional<Element> first = Reader(document).next();
  if (!first)
    return {CommandKind::Empty, {}, document};
  return {kind_of(first->name), first->name, document};
}

CommandError parse_error(const char* text) {
  return {ErrorCode::FailedToParse, text};
}

/// Returns why a command of this kind is rejected, or nothing if it is forwarded.
std::optional<CommandError> check_kind(const Command& command) {
  const std::string name(command.name);
  if (command.kind == CommandKind::Unsupported)
    return CommandError{ErrorCode::CommandNotSupported, name + " is not served"};
  if (command.kind != CommandKind::Read && command.kind != CommandKind::Write)
    return CommandError{ErrorCode::CommandNotFound, "no such command: '" + name + "'"};
  return std::nullopt;
}

/// Returns the replica group with the number in `text`, or nothing if `text` is not the number of a
/// group.
std::optional<GroupId> parse_group(const std::string& text) {
  char* end = nullptr;
  const unsigned long long group = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || group > kMaxGroup)
    return std::nullopt;
  return static_cast<GroupId>(group);
}

/// Returns the document lsid, which names the session of a command, or nothing if there is none.
std::optional<std::string_view> find_session(std::string_view command) {
  const std::optional<Element> session = find(command, "lsid");
  if (!session || session->type != ElementType::Document)
    return std::nullopt;
  return session->value;
}

std::uint64_t hash_session(std::string_view session) {
  const std::optional<Element> id = find(session, "id");
  return frontend::hash_session_name(id ? id->value : session);
}

bool is_in_transaction(std::string_view command) {
  return find(command, "startTransaction") || find(command, "autocommit");
}

/// Whether MongoDB's drivers repeat a command as it is, with its comment. MongoDB identifies a
/// retryable write by its session and its number within the session.
bool is_retryable_write(std::string_view command) {
  return find_session(command) && find(command, "txnNumber");
}

/// Returns the key by which endpoints recognize repeats of a command: that in its comment, or that
/// of a retryable write. Empty if it has none.
std::string idempotency_key_of(std::string_view command, const CommandComment& comment) {
  if (!comment.idempotency_key.empty())
    return comment.idempotency_key;
  const std::optional<std::string_view> session = find_session(command);
  const std::optional<Element> number = find(command, "txnNumber");
  if (!session || !number)
    return "";
  return std::string(*session) + std::string(number->value);
}

/// Returns why a command with this idempotency key does not meet the requirements of its request
/// class, or nothing if it does.
std::optional<CommandError> check_class(const Command& command, const std::string& idempotency_key,
                                        const RequestClass& settings) {
  if (frontend::is_write(settings) != (command.kind == CommandKind::Write))
    return parse_error("the command does not fit its class");
  if (settings.idempotency == Idempotency::IdempotencyKey && idempotency_key.empty())
    return parse_error("the class needs a key: k in the comment, or lsid and txnNumber");
  if (settings.consistency == ConsistencyLevel::Session && !find_session(command.document))
    return parse_error("the class needs a session: lsid");
  return std::nullopt;
}

/// Returns how long the client waits: the time in maxTimeMS, or else the deadline of the class.
common::Result<Duration, CommandError> parse_time_limit(std::string_view command,
                                                        const RequestClass& settings) {
  const std::optional<Element> limit = find(command, "maxTimeMS");
  if (!limit)
    return settings.deadline;
  const std::optional<std::int64_t> limit_ms = to_integer(*limit);
  if (!limit_ms || *limit_ms < 0 || *limit_ms > kMaxDeadlineMs)
    return parse_error("maxTimeMS is out of range");
  if (*limit_ms == 0)  // to MongoDB, 0 means no limit
    return settings.deadline;
  return Duration(std::chrono::milliseconds(*limit_ms));
}

}  // namespace

const char* describe(ProtocolError error) {
  switch (error) {
  case ProtocolError::MalformedFrame:
    return "a message is malformed or too long";
  case ProtocolError::UnsupportedOpcode:
    return "only OP_MSG is served";
  case ProtocolError::MalformedMessage:
    return "a message is malformed";
  case ProtocolError::MalformedQuery:
    return "a query is malformed";
  case ProtocolError::ReplyForbidden:
    return "a message asks for no reply";
  }
  return "unknown error";
}

common::Result<Command, ProtocolError> parse_command(const Message& message) {
  if (message.opcode == Opcode::Query) {
    const std::optional<std::string_view> document = read_op_query(message.payload);
    if (!document)
      return ProtocolError::MalformedQuery;
    return read_command(*document);
  }
  if (message.opcode != Opcode::Msg)
    return ProtocolError::UnsupportedOpcode;
  const std::optional<OpMsg> op_msg = read_op_msg(message.payload);
  if (!op_msg)
    return ProtocolError::MalformedMessage;
  if ((op_msg->flags & kMoreToCome) != 0)
    return ProtocolError::ReplyForbidden;
  return read_command(op_msg->body);
}

common::Result<ParsedRequest, CommandError> parse_request(const Command& command,
                                                          const frontend::RequestClasses& classes) {
  if (const auto error = check_kind(command))
    return *error;
  if (is_in_transaction(command.document))
    return CommandError{ErrorCode::CommandNotSupported, "transactions are not served"};
  const CommandComment comment = read_comment(command.document);
  if (comment.id.empty())
    return parse_error("the command's comment holds no id");
  const std::optional<frontend::NamedClass> request_class = classes.find(comment.service_class);
  if (!request_class)
    return parse_error("the command's comment names no known class");
  const std::optional<GroupId> group = parse_group(comment.group);
  if (!group)
    return parse_error("the command's comment names no cluster");
  const RequestClass& settings = request_class->settings;
  std::string idempotency_key;
  if (settings.idempotency == Idempotency::IdempotencyKey)
    idempotency_key = idempotency_key_of(command.document, comment);
  if (const auto error = check_class(command, idempotency_key, settings))
    return *error;
  const auto time_limit = parse_time_limit(command.document, settings);
  if (!time_limit)
    return time_limit.error();
  ParsedRequest parsed;
  parsed.request.id = comment.id;
  parsed.request.class_index = request_class->index;
  parsed.request.group = *group;
  parsed.request.id_names_retries =
      command.kind == CommandKind::Read || is_retryable_write(command.document);
  parsed.request.idempotency_key = std::move(idempotency_key);
  const std::optional<std::string_view> session = find_session(command.document);
  if (session && frontend::belongs_to_session(settings))
    parsed.request.session = hash_session(*session);
  parsed.time_limit = time_limit.value();
  return parsed;
}

}  // namespace gorsebeam::mongo
