/// The result of parsing a length-prefixed message at the beginning of the received bytes.
#pragma once

#include "common/result.h"

namespace gorsebeam::wire {

/// Why no message could be parsed.
enum class FramingError {
  Incomplete,  ///< The message has not been received completely.
  Malformed,   ///< The length prefix is out of bounds, or the bytes are not the expected message.
};

template <typename Message>
using FramingResult = common::Result<Message, FramingError>;

}  // namespace gorsebeam::wire
