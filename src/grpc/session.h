/// The client side of one bidirectional streaming gRPC call. It converts between messages and bytes
/// of HTTP/2, and uses no socket and no clock. nghttp2 implements HTTP/2; this module implements
/// gRPC and limits what a peer may send. Malformed input ends the session and has no other effect.
///
/// Sources: RFC 9113 (HTTP/2); "gRPC over HTTP2" of the gRPC documentation.
#pragma once

#include "frame_rate_limiter.h"
#include "message_framing.h"
#include "response_headers.h"
#include "send_buffer.h"
#include "session_error.h"

#include "gorsebeam/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace gorsebeam::grpc {

/// Size of the largest block of headers or trailers, counted as in RFC 9113, section 6.5.2.
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

/// Largest total size of the messages that wait to be sent; the session ends if it is exceeded.
constexpr std::size_t kMaxUnsentBytes = 1 << 20;

/// The session submits the call when it is constructed. The owner passes the bytes that the peer
/// sent to `receive`, and sends the bytes that `next_output` returns to the peer.
class Session {
public:
  Session(const std::string& authority, const std::string& path);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Processes bytes that the peer sent. `now` is the time for the limit on control frames.
  void receive(std::string_view bytes, TimePoint now);

  /// Extracts and returns the next complete message, or nothing if there is none. Call it after
  /// `receive` until it returns nothing.
  [[nodiscard]] std::optional<std::string> next_message();

  /// Returns the next bytes to send to the peer, or an empty view if there are none. The bytes are
  /// valid until the next call of a function of the session.
  [[nodiscard]] std::string_view next_output();

  void send_message(std::string_view message);
  void send_ping();

  /// Returns why the session has ended, or nothing if it has not. Messages that were complete
  /// before the error are still valid.
  [[nodiscard]] std::optional<SessionError> error() const;

private:
  friend struct SessionCallbacks;

  struct SessionDelete {
    void operator()(nghttp2_session* session) const;
  };

  void submit_settings();
  void submit_call(const std::string& authority, const std::string& path);
  /// Records the first error, which is the cause of later ones.
  void fail(SessionError error);

  std::unique_ptr<nghttp2_session, SessionDelete> session_;
  /// The HTTP/2 stream of the call.
  std::int32_t call_stream_id_ = -1;
  MessageReader message_reader_;
  SendBuffer send_buffer_;
  ResponseHeaders response_headers_;
  /// The size of the block of headers that is being received.
  std::size_t header_bytes_ = 0;
  FrameRateLimiter frame_rate_limiter_;
  /// The time that was passed to the last call of `receive`.
  TimePoint now_{};

  /// The first error, which may have been found while nghttp2 processed bytes.
  std::optional<SessionError> error_;
};

}  // namespace gorsebeam::grpc
