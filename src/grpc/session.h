/// The client's side of one gRPC call with streams of messages in both directions. It converts
/// between messages and bytes of HTTP/2, and uses no socket and no clock. nghttp2 implements
/// HTTP/2; this module implements gRPC and the bounds on what a peer may send. Malformed input ends
/// the session and has no other effect.
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

/// Size of the largest block of headers or trailers, as RFC 9113, section 6.5.2, counts it.
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

/// Size of the messages that may wait to be sent; the session ends beyond it.
constexpr std::size_t kMaxUnsentBytes = 1 << 20;

/// The constructor submits the call. The owner passes bytes of the peer to `receive`, and sends the
/// bytes that `next_output` returns to the peer.
class Session {
public:
  Session(const std::string& authority, const std::string& path);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Processes bytes of the peer. Frames are counted by the second of `now`.
  void receive(std::string_view bytes, TimePoint now);

  /// Extracts the next complete message, if there is one. Call it after `receive` until it returns
  /// nothing.
  [[nodiscard]] std::optional<std::string> next_message();

  /// Returns the next bytes for the peer, valid until the next call; empty if there are none.
  [[nodiscard]] std::string_view next_output();

  void send_message(std::string_view message);
  void send_ping();

  /// Returns why the session has ended, or nothing while it goes on. Messages that were complete
  /// before are still valid.
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
  /// Size of the block of headers that is being received.
  std::size_t header_bytes_ = 0;
  FrameRateLimiter frame_rate_limiter_;
  /// The time of the current call of `receive`.
  TimePoint now_{};

  /// The first error, which may have been found while nghttp2 processed bytes.
  std::optional<SessionError> error_;
};

}  // namespace gorsebeam::grpc
