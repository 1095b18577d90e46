/// One gRPC call with a stream of messages both ways, as a client, without socket or clock: bytes
/// of HTTP/2 in and out. nghttp2 keeps HTTP/2's state; the bounds and gRPC's own parts are here.
/// Whatever a peer sends, the worst result is the end of the session.
/// Sources: RFC 9113 (HTTP/2); "gRPC over HTTP2" of the gRPC documentation.
#pragma once

#include "gorsebeam/time.h"
#include "message_framing.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace gorsebeam::grpc {

/// Bytes of one block of headers or trailers, counted as by RFC 9113, section 6.5.2.
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

/// Frames without data in one second, beside those that data brings with it.
constexpr int kMaxControlFramesPerSecond = 200;

/// Control frames that each data frame permits: a WINDOW_UPDATE for the stream and one for the
/// connection, a PING of a server that measures the path, and its acknowledgement.
constexpr int kControlFramesPerDataFrame = 4;

/// Bytes of messages that the peer has not taken yet.
constexpr std::size_t kMaxUnsentBytes = 1 << 20;

/// States why a session has ended; `message` is one clause for the log.
struct SessionError {
  enum class Code {
    HeadersTooLarge,
    FrameFlood,
    GoAway,
    HttpStatus,
    NotGrpc,
    CallEnded,
    SendBufferFull,
    MalformedMessage,
    /// The peer violated HTTP/2.
    ProtocolViolation,
  };

  Code code = Code::ProtocolViolation;
  std::string message;
};

/// The session submits its call when it is constructed. The owner moves bytes: what arrives to
/// `receive`, what `next_output` returns to the peer.
class Session {
public:
  Session(const std::string& authority, const std::string& path);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Processes bytes of the peer. `now` is in nanoseconds; it counts floods by the second.
  void receive(std::string_view bytes, TimePoint now);

  /// Extracts the next whole message into `message`; returns false if there is none. Call it after
  /// `receive` until then.
  [[nodiscard]] bool next_message(std::string& message);

  /// Returns the next bytes for the peer, valid until the next call; empty: nothing.
  [[nodiscard]] std::string_view next_output();

  void send_message(std::string_view message);
  void send_ping();

  /// Returns why the session has ended, or nothing while it goes on. Messages that arrived whole
  /// before are still valid.
  [[nodiscard]] std::optional<SessionError> error() const;

private:
  friend struct SessionCallbacks;

  struct SessionDelete {
    void operator()(nghttp2_session* session) const;
  };

  void submit_settings();
  void submit_call(const std::string& authority, const std::string& path);
  void fail(SessionError::Code code, const std::string& message);

  std::unique_ptr<nghttp2_session, SessionDelete> session_;
  /// The HTTP/2 stream of the call.
  std::int32_t call_ = -1;
  MessageReader reader_;

  std::deque<std::string> unsent_;
  /// Bytes of the first unsent message that have been sent.
  std::size_t unsent_offset_ = 0;
  std::size_t unsent_bytes_ = 0;

  std::string status_;
  std::string grpc_status_;
  std::string grpc_message_;
  std::string content_type_;
  std::size_t header_bytes_ = 0;

  /// Frames of the present second.
  int control_frames_ = 0;
  int data_frames_ = 0;
  /// Data frames of the second before, as the control frames that they bring may come late.
  int previous_data_frames_ = 0;
  TimePoint now_{};
  TimePoint second_started_at_{};

  /// The first error found while nghttp2 processed bytes.
  std::optional<SessionError> error_;
};

}  // namespace gorsebeam::grpc
