/// Frames messages in a stream of bytes: a flag for compression, a length of four bytes in network
/// order, and the message. Pure. Source: "gRPC over HTTP2", "Length-Prefixed-Message".
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

/// Bytes of the largest message that is read.
constexpr std::size_t kMaxMessageBytes = 4 << 20;

/// Returns `message` with its prefix, uncompressed.
[[nodiscard]] std::string frame_message(std::string_view message);

/// Why a stream of frames cannot be read any further.
enum class FramingError { CompressedMessage, MessageTooLong };

/// One clause for the log.
[[nodiscard]] const char* framing_error_message(FramingError error);

/// Extracts messages from bytes that arrive in any pieces. A claimed length allocates nothing: it
/// holds what has arrived, at most one message of `kMaxMessageBytes` and one read beyond it.
class MessageReader {
public:
  enum class Status {
    /// No whole message has arrived yet.
    Incomplete,
    /// A message was extracted.
    Complete,
    /// The stream is of no further use; `error()` says why.
    Malformed,
  };

  void feed(std::string_view bytes) { bytes_.append(bytes); }

  /// Extracts the next message into `message`, which is changed only if the result is Complete.
  [[nodiscard]] Status next(std::string& message);

  /// Set once `next` has returned Malformed.
  [[nodiscard]] const std::optional<FramingError>& error() const { return error_; }

  /// Returns whether no message has begun.
  [[nodiscard]] bool is_between_messages() const { return bytes_.empty(); }

private:
  Status fail(FramingError error);

  std::string bytes_;
  std::optional<FramingError> error_;
};

}  // namespace gorsebeam::grpc
