/// Parses the messages of MongoDB clients into commands, and commands into requests. Pure.
/// Source: MongoDB manual, chapter "Database Commands".
#pragma once

#include "codec.h"
#include "error_code.h"

#include "common/result.h"
#include "frontend/parsed_request.h"

#include <string_view>

namespace gorsebeam::mongo {

/// What the gateway does with a command.
enum class CommandKind {
  Empty,         ///< A document without elements: rejected.
  Hello,         ///< The handshake.
  BuildInfo,     ///< Answered by the gateway.
  Acknowledged,  ///< Answered by the gateway with success alone: ping, endSessions.
  Read,          ///< Forwarded.
  Write,         ///< Forwarded.
  Unsupported,   ///< Rejected: a command of MongoDB's that the gateway does not serve.
  Unknown,       ///< Rejected.
};

/// One command of a client. The views borrow from its message.
struct Command {
  CommandKind kind = CommandKind::Unknown;
  std::string_view name;
  std::string_view document;
};

/// Why a message ends its connection.
enum class ProtocolError {
  MalformedFrame,     ///< Its length is out of bounds.
  UnsupportedOpcode,  ///< It is neither OP_MSG nor OP_QUERY.
  MalformedMessage,
  MalformedQuery,
  ReplyForbidden,  ///< It asks for no reply, while each request gets a final one.
};

/// The text that the client gets; for `ReplyForbidden` it gets none.
const char* describe(ProtocolError error);

/// Reads the command that a message carries.
common::Result<Command, ProtocolError> parse_command(const Message& message);

/// Reads the request that a `Read` or `Write` command makes. A command of another kind is rejected
/// as unsupported or unknown.
common::Result<frontend::ParsedRequest, CommandError>
parse_request(const Command& command, const frontend::RequestClasses& classes);

}  // namespace gorsebeam::mongo
