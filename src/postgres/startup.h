/// The handshake of a PostgreSQL client: its startup message and the reply. Pure.
/// Source: PostgreSQL 15 documentation, section "Start-up" of "Message Flow".
#pragma once

#include "codec.h"

#include <string>
#include <string_view>

namespace gorsebeam::postgres {

/// What a startup message asks for.
enum class StartupKind {
  Session,
  Encryption,          ///< SSL or GSS encryption; another startup message follows the reply.
  Cancel,              ///< To cancel the query of another connection.
  UnsupportedVersion,  ///< A session in another version of the protocol.
};

struct Startup {
  StartupKind kind = StartupKind::Session;
  std::string_view user;  ///< Of a session; empty if it names none. Borrows from the message.
};

Startup parse_startup(const StartupMessage& message);

/// The reply that accepts a session, without the ReadyForQuery at its end.
std::string encode_startup_reply();

}  // namespace gorsebeam::postgres
