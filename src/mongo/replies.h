/// Encodes the documents of the replies that the gateway itself sends to commands. Does no I/O and
/// reads no clock.
#pragma once

#include "error_code.h"

#include "gorsebeam/router.h"

#include <string>

namespace gorsebeam::mongo {

/// Encodes a reply that reports success and has no further fields.
std::string encode_ok_reply();

std::string encode_build_info_reply();

std::string encode_error_reply(const CommandError& error);

/// Encodes the reply to a rejected request: it did not run, and the client may send it again. The
/// client is asked to wait for `retry_after` first if that is above 0.
std::string encode_rejection_reply(Duration retry_after);

}  // namespace gorsebeam::mongo
