/// Frames messages in a stream of bytes: a flag for compression, a length of four bytes in network
/// order, and the message. Pure. Source: "gRPC over HTTP2", "Length-Prefixed-Message".
#pragma once

#include "common/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

/// Size of the largest message that is accepted.
constexpr std::size_t kMaxMessageBytes = 4 << 20;

/// Returns `message` with its prefix, uncompressed.
[[nodiscard]] std::string frame_message(std::string_view message);

/// Why a stream of frames cannot be parsed any further.
enum class FramingError { CompressedMessage, MessageTooLong };

/// One clause for the log.
[[nodiscard]] const char* framing_error_message(FramingError error);

/// Extracts messages from bytes that arrive in pieces of any size. The length in a prefix allocates
/// nothing: the reader buffers only bytes that have arrived, at most one message of
/// `kMaxMessageBytes` and one read beyond it.
class MessageReader {
public:
  /// Appends bytes of the stream.
  void feed(std::string_view bytes) { bytes_.append(bytes); }

  /// Extracts the next message; nothing if it has not arrived completely. An error is final: each
  /// later call returns it again.
  [[nodiscard]] common::Result<std::optional<std::string>, FramingError> next();

  /// The error that `next` has returned, or nothing.
  [[nodiscard]] const std::optional<FramingError>& error() const { return error_; }

  /// Returns whether no byte of the next message is buffered.
  [[nodiscard]] bool is_between_messages() const { return bytes_.empty(); }

private:
  FramingError fail(FramingError error);

  std::string bytes_;
  std::optional<FramingError> error_;
};

}  // namespace gorsebeam::grpc
