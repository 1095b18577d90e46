/// Rewrites a client's command for an endpoint. Pure.
#pragma once

#include "codec.h"
#include "command_parser.h"

#include "proxy/interfaces.h"

#include <string>

namespace gorsebeam::mongo {

class CommandRewriter {
public:
  /// The payload of an OP_MSG that carries the command in `message`, a read or a write, to an
  /// endpoint that is to finish within `time_left`. It is the client's payload except for
  ///  - the deadline, maxTimeMS, which is replaced;
  ///  - the $readPreference of a read, which is replaced, as replicas serve only reads that permit
  ///    them to;
  ///  - the checksum, which is removed, as it counts the header, and that is another one.
  ///
  /// The parts borrow from `message` and, until the next call, from this object.
  proxy::ByteSpans rewrite(const OpMsg& message, CommandKind kind, Duration time_left);

private:
  std::string buffer_;
};

}  // namespace gorsebeam::mongo
