/// Rewrites a client's command for an endpoint. Does no I/O and reads no clock.
#pragma once

#include "codec.h"
#include "command_parser.h"

#include "proxy/interfaces.h"

#include <string>

namespace gorsebeam::mongo {

class CommandRewriter {
public:
  /// Returns the payload of an OP_MSG that carries the command in `message`, which is a read or a
  /// write, to an endpoint that must finish it within `time_left`. It is the client's payload with
  /// these changes:
  ///  - The deadline, maxTimeMS, is replaced.
  ///  - The $readPreference of a read is replaced, as a replica serves only reads that permit
  ///    replicas.
  ///  - The checksum is removed, as it covers the header of the message, which is replaced.
  ///
  /// The parts point into `message` and into this object; the latter are valid until the next call.
  proxy::ByteSpans rewrite(const OpMsg& message, CommandKind kind, Duration time_left);

private:
  std::string buffer_;
};

}  // namespace gorsebeam::mongo
