#include "session.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <cstring>
#include <utility>

namespace gorsebeam::grpc {
namespace {

using Code = SessionError::Code;

constexpr std::uint32_t kReceiveWindowBytes = 1 << 20;
constexpr std::size_t kHeaderOverheadBytes = 32;  // RFC 9113, section 6.5.2

struct CallbacksDelete {
  void operator()(nghttp2_session_callbacks* callbacks) const {
    nghttp2_session_callbacks_del(callbacks);
  }
};

using CallbacksHandle = std::unique_ptr<nghttp2_session_callbacks, CallbacksDelete>;

std::uint8_t* bytes_of(const char* text) {
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text));
}

std::string_view view_of(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

nghttp2_nv make_header(const char* name, const std::string& value) {
  return {bytes_of(name), bytes_of(value.data()), std::strlen(name), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

// The callbacks that nghttp2 calls while it processes bytes. They only record data and errors; the
// owner of the session reads the messages and the error after nghttp2 has returned.
struct SessionCallbacks {
  static Session& session_of(void* user_data) { return *static_cast<Session*>(user_data); }

  static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                       size_t name_size, const std::uint8_t* value, size_t value_size, std::uint8_t,
                       void* user_data) {
    Session& session = session_of(user_data);
    session.header_bytes_ += name_size + value_size + kHeaderOverheadBytes;
    if (session.header_bytes_ > kMaxHeaderBytes) {
      session.fail({Code::HeadersTooLarge, "the response headers are over 16 KiB"});
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    if (frame->hd.stream_id == session.call_stream_id_)
      session.response_headers_.add(view_of(name, name_size), view_of(value, value_size));
    return 0;
  }

  static int on_begin_frame(nghttp2_session*, const nghttp2_frame_hd* header, void* user_data) {
    Session& session = session_of(user_data);
    if (header->type == NGHTTP2_DATA && header->length > 0) {
      session.frame_rate_limiter_.count_data_frame();
      return 0;
    }
    const auto limit_status = session.frame_rate_limiter_.count_control_frame(session.now_);
    if (limit_status == FrameRateLimiter::LimitStatus::WithinLimit)
      return 0;
    session.fail({Code::TooManyControlFrames,
                  "the peer floods the connection with frames that carry no data: more than " +
                      std::to_string(kBaseControlFramesPerSecond) + " in one second and " +
                      std::to_string(kControlFramesPerDataFrame) + " for each data frame"});
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Session& session = session_of(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY)
      session.fail({Code::GoAway, std::string("the peer sent GOAWAY with HTTP/2 error code ") +
                                      nghttp2_http2_strerror(frame->goaway.error_code)});
    if (frame->hd.type != NGHTTP2_HEADERS || frame->hd.stream_id != session.call_stream_id_)
      return 0;
    session.header_bytes_ = 0;
    if (auto error = session.response_headers_.validate())
      session.fail(std::move(*error));
    return 0;
  }

  static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
                     size_t size, void* user_data) {
    Session& session = session_of(user_data);
    if (stream == session.call_stream_id_)
      session.message_reader_.feed(view_of(bytes, size));
    return 0;
  }

  static int on_stream_closed(nghttp2_session*, std::int32_t stream, std::uint32_t error_code,
                              void* user_data) {
    Session& session = session_of(user_data);
    if (stream == session.call_stream_id_)
      session.fail(session.response_headers_.call_ended_error(nghttp2_http2_strerror(error_code)));
    return 0;
  }

  // Copies unsent bytes into a DATA frame of at most `size` bytes.
  static ssize_t read_body(nghttp2_session*, std::int32_t, std::uint8_t* buffer, size_t size,
                           std::uint32_t*, nghttp2_data_source*, void* user_data) {
    const std::size_t copied = session_of(user_data).send_buffer_.read(buffer, size);
    if (copied == 0)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(copied);
  }

  static CallbacksHandle make() {
    nghttp2_session_callbacks* raw = nullptr;
    nghttp2_session_callbacks_new(&raw);
    CallbacksHandle callbacks(raw);
    nghttp2_session_callbacks_set_on_header_callback(raw, &on_header);
    nghttp2_session_callbacks_set_on_begin_frame_callback(raw, &on_begin_frame);
    nghttp2_session_callbacks_set_on_frame_recv_callback(raw, &on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw, &on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(raw, &on_stream_closed);
    return callbacks;
  }
};

void Session::SessionDelete::operator()(nghttp2_session* session) const {
  nghttp2_session_del(session);
}

Session::Session(const std::string& authority, const std::string& path) {
  const CallbacksHandle callbacks = SessionCallbacks::make();
  nghttp2_session* session = nullptr;
  // nghttp2's limit on unsent acknowledgements keeps its default of 1000, which is above the number
  // of control frames that a peer may send in one second without data frames.
  nghttp2_session_client_new(&session, callbacks.get(), this);
  session_.reset(session);
  submit_settings();
  submit_call(authority, path);
}

Session::~Session() = default;

void Session::submit_settings() {
  const std::array<nghttp2_settings_entry, 3> settings = {
      {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kReceiveWindowBytes},
       {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes}}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session_.get(), NGHTTP2_FLAG_NONE, 0,
                                        static_cast<std::int32_t>(kReceiveWindowBytes));
}

void Session::submit_call(const std::string& authority, const std::string& path) {
  const std::string method = "POST";
  const std::string scheme = "http";
  const std::string content_type = "application/grpc";
  const std::string trailers = "trailers";
  const std::string user_agent = "gorsebeam";
  const std::array<nghttp2_nv, 7> headers = {make_header(":method", method),
                                             make_header(":scheme", scheme),
                                             make_header(":path", path),
                                             make_header(":authority", authority),
                                             make_header("content-type", content_type),
                                             make_header("te", trailers),
                                             make_header("user-agent", user_agent)};
  nghttp2_data_provider body{};
  body.read_callback = &SessionCallbacks::read_body;
  call_stream_id_ = nghttp2_submit_request(session_.get(), nullptr, headers.data(), headers.size(),
                                           &body, nullptr);
}

void Session::fail(SessionError error) {
  if (!error_)
    error_ = std::move(error);
}

void Session::receive(std::string_view bytes, TimePoint now) {
  if (error_)
    return;
  now_ = now;
  const ssize_t used = nghttp2_session_mem_recv(
      session_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (used < 0)
    fail({Code::ProtocolViolation,
          std::string("the received bytes cannot be processed as HTTP/2: ") +
              nghttp2_strerror(static_cast<int>(used))});
}

std::optional<std::string> Session::next_message() {
  auto message = message_reader_.next();
  return message ? std::move(message.value()) : std::nullopt;  // `error` reports a framing error
}

std::string_view Session::next_output() {
  const std::uint8_t* bytes = nullptr;
  const ssize_t size = nghttp2_session_mem_send(session_.get(), &bytes);
  if (size <= 0)
    return {};
  return {reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size)};
}

void Session::send_message(std::string_view message) {
  send_buffer_.append(message);
  frame_rate_limiter_.count_data_frame();
  if (send_buffer_.size() > kMaxUnsentBytes)
    fail({Code::SendBufferFull, "the peer does not read: " + std::to_string(send_buffer_.size()) +
                                    " bytes wait to be sent, and the limit is " +
                                    std::to_string(kMaxUnsentBytes)});
  nghttp2_session_resume_data(session_.get(), call_stream_id_);
}

void Session::send_ping() {
  nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
}

std::optional<SessionError> Session::error() const {
  if (message_reader_.error())
    return SessionError{Code::MalformedMessage, framing_error_message(*message_reader_.error())};
  if (error_ && !message_reader_.is_between_messages())
    return SessionError{error_->code, error_->message + ", in the middle of a message"};
  if (error_)
    return error_;
  // After a violation of HTTP/2 by the peer, nghttp2 sends a GOAWAY frame, and then wants neither
  // to read nor to write.
  if (!nghttp2_session_want_read(session_.get()) && !nghttp2_session_want_write(session_.get()))
    return SessionError{Code::ProtocolViolation, "the peer violated the HTTP/2 protocol"};
  return std::nullopt;
}

}  // namespace gorsebeam::grpc
