/// Parses the messages of MongoDB clients into commands, and commands into requests.
/// Does no I/O and reads no clock.
/// Source: MongoDB manual, chapter "Database Commands".
#pragma once

#include "codec.h"
#include "error_code.h"

#include "common/result.h"
#include "frontend/parsed_request.h"

#include <string_view>

namespace gorsebeam::mongo {

/// The kinds of commands that the gateway handles differently.
enum class CommandKind {
  Empty,         ///< A document without elements, which is rejected.
  Hello,         ///< The handshake, which the gateway answers itself.
  BuildInfo,     ///< buildInfo, which the gateway answers itself.
  Acknowledged,  ///< ping and endSessions, which the gateway answers itself with success.
  Read,          ///< A command that only reads, which is forwarded.
  Write,         ///< A command that writes, which is forwarded.
  Unsupported,   ///< A command of MongoDB that the gateway does not support, which is rejected.
  Unknown,       ///< Any other command, which is rejected.
};

/// One command of a client. The views point into the client's message.
struct Command {
  CommandKind kind = CommandKind::Unknown;
  std::string_view name;
  std::string_view document;
};

/// The reasons why the gateway closes a connection after a message.
enum class ProtocolError {
  MalformedFrame,     ///< The length of the message is out of bounds.
  UnsupportedOpcode,  ///< The message is neither OP_MSG nor OP_QUERY.
  MalformedMessage,   ///< The message is a malformed OP_MSG.
  MalformedQuery,     ///< The message is a malformed OP_QUERY.
  /// The message forbids a reply (moreToCome), but each request gets a final answer.
  ReplyForbidden,
};

/// Returns the error text for the client. It is not sent for `ReplyForbidden`.
const char* describe(ProtocolError error);

/// Reads the command that a message carries.
common::Result<Command, ProtocolError> parse_command(const Message& message);

/// Parses a `Read` or `Write` command into a request, or returns why the command is rejected. A
/// command of another kind is rejected as unsupported or unknown.
common::Result<frontend::ParsedRequest, CommandError>
parse_request(const Command& command, const frontend::RequestClasses& classes);

}  // namespace gorsebeam::mongo
