/// Handles the handshake of a MongoDB client: the command hello and its reply.
/// Does no I/O and reads no clock.
/// Source: MongoDB manual, "hello"; MongoDB Handshake specification.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// Returns the application name in a client's hello, or nothing if the hello has none. `hello` is
/// the command's document.
std::optional<std::string> application_name(std::string_view hello);

/// Encodes the document of a successful reply. `max_message_size` is the limit in bytes that the
/// reply states for messages and for single documents.
std::string encode_hello_reply(std::size_t max_message_size, TimePoint now);

}  // namespace gorsebeam::mongo
