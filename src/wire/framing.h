/// What the bytes received so far hold of a length-prefixed message.
#pragma once

namespace gorsebeam::wire {

enum class Framing {
  Incomplete,  ///< More bytes are needed.
  Complete,
  Malformed,  ///< The length is out of bounds.
};

}  // namespace gorsebeam::wire
