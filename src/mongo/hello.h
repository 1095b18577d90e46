/// The handshake of a MongoDB client: the command hello and its reply. Pure.
/// Source: MongoDB manual, "hello"; MongoDB Handshake specification.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// The application name with which a client presents itself; nothing if it gives none.
std::optional<std::string> application_name(std::string_view hello);

/// The document of a successful reply. `max_message_size` is in bytes and bounds documents too.
std::string encode_hello_reply(std::size_t max_message_size, TimePoint now);

}  // namespace gorsebeam::mongo
