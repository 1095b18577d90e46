/// The result of reading a length-prefixed message from the bytes received so far.
#pragma once

#include "common/result.h"

namespace gorsebeam::wire {

/// Why there is no message.
enum class FramingError {
  Incomplete,  ///< More bytes are needed.
  Malformed,   ///< The length is out of bounds.
};

template <typename Message>
using FramingResult = common::Result<Message, FramingError>;

}  // namespace gorsebeam::wire
