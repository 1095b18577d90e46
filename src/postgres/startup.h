/// Handles the handshake of a PostgreSQL client: its startup message and the reply. Does no I/O and
/// reads no clock.
/// Source: PostgreSQL 15 documentation, section "Start-up" of "Message Flow".
#pragma once

#include "codec.h"

#include <string>
#include <string_view>

namespace gorsebeam::postgres {

/// What a startup message requests.
enum class StartupKind {
  Session,
  Encryption,          ///< SSL or GSS encryption. Another startup message follows the reply.
  Cancel,              ///< The cancellation of a query of another connection.
  UnsupportedVersion,  ///< A session in an unsupported version of the protocol.
};

struct Startup {
  StartupKind kind = StartupKind::Session;
  /// The user name of a session; empty if the message has none. Points into the message.
  std::string_view user;
};

Startup parse_startup(const StartupMessage& message);

/// Encodes the reply that accepts a session, without the ReadyForQuery that must follow it.
std::string encode_startup_reply();

}  // namespace gorsebeam::postgres
