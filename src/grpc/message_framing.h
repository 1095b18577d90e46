/// Frames messages in a stream of bytes. A frame is a compression flag of one byte, the length of
/// the message in four bytes in network byte order, and the message. The code does no I/O. Source:
/// "gRPC over HTTP2", "Length-Prefixed-Message".
#pragma once

#include "common/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

/// Size of the largest message that the reader accepts.
constexpr std::size_t kMaxMessageBytes = 4 << 20;

/// Returns the frame of `message`, uncompressed.
[[nodiscard]] std::string frame_message(std::string_view message);

/// The reason why a stream of frames cannot be parsed any further.
enum class FramingError { CompressedMessage, MessageTooLong };

/// Returns a clause for the log that describes the error.
[[nodiscard]] const char* framing_error_message(FramingError error);

/// Extracts messages from bytes that arrive in pieces of any size. The reader allocates no memory
/// for the length that a prefix announces: it buffers only bytes that have arrived, at most one
/// message of `kMaxMessageBytes` and the bytes of one read beyond it.
class MessageReader {
public:
  /// Appends the next bytes of the stream.
  void feed(std::string_view bytes) { bytes_.append(bytes); }

  /// Extracts and returns the next message, or nothing if it has not arrived completely. An error
  /// is final: each later call returns it again.
  [[nodiscard]] common::Result<std::optional<std::string>, FramingError> next();

  /// Returns the error that `next` has returned, or nothing if it has returned none.
  [[nodiscard]] const std::optional<FramingError>& error() const { return error_; }

  /// Returns whether no byte of a further message is buffered.
  [[nodiscard]] bool is_between_messages() const { return bytes_.empty(); }

private:
  FramingError fail(FramingError error);

  std::string bytes_;
  std::optional<FramingError> error_;
};

}  // namespace gorsebeam::grpc
