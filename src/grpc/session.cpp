#include "session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace gorsebeam::grpc {
namespace {

using Code = SessionError::Code;

constexpr std::uint32_t kReceiveWindowBytes = 1 << 20;
constexpr std::size_t kMaxLoggedValueBytes = 300;  // of a peer's header value
constexpr std::size_t kHeaderOverheadBytes = 32;   // RFC 9113, section 6.5.2

struct CallbacksDelete {
  void operator()(nghttp2_session_callbacks* callbacks) const {
    nghttp2_session_callbacks_del(callbacks);
  }
};

using CallbacksHandle = std::unique_ptr<nghttp2_session_callbacks, CallbacksDelete>;

std::uint8_t* bytes_of(const char* text) {
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text));
}

nghttp2_nv make_header(const char* name, const std::string& value) {
  return {bytes_of(name), bytes_of(value.data()), std::strlen(name), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

// The callbacks of nghttp2, which run while it processes bytes: they only record, and the session
// acts when nghttp2 has returned.
struct SessionCallbacks {
  static Session& session_of(void* user_data) { return *static_cast<Session*>(user_data); }

  static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                       size_t name_size, const std::uint8_t* value, size_t value_size, std::uint8_t,
                       void* user_data) {
    Session& session = session_of(user_data);
    session.header_bytes_ += name_size + value_size + kHeaderOverheadBytes;
    if (session.header_bytes_ > kMaxHeaderBytes) {
      session.fail(Code::HeadersTooLarge, "its headers are over 16 KiB");
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    if (frame->hd.stream_id != session.call_)
      return 0;
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string text(reinterpret_cast<const char*>(value),
                           std::min(value_size, kMaxLoggedValueBytes));
    if (key == ":status")
      session.status_ = text;
    if (key == "grpc-status")
      session.grpc_status_ = text;
    if (key == "grpc-message")
      session.grpc_message_ = text;
    if (key == "content-type")
      session.content_type_ = text;
    return 0;
  }

  static int on_begin_frame(nghttp2_session*, const nghttp2_frame_hd* header, void* user_data) {
    Session& session = session_of(user_data);
    if (header->type == NGHTTP2_DATA && header->length > 0) {
      ++session.data_frames_;
      return 0;
    }
    if (session.now_ - session.second_started_at_ >= 1s) {
      session.second_started_at_ = session.now_;
      session.control_frames_ = 0;
      session.previous_data_frames_ = std::exchange(session.data_frames_, 0);
    }
    ++session.control_frames_;
    const int data_frames = session.data_frames_ + session.previous_data_frames_;
    if (session.control_frames_ <=
        kMaxControlFramesPerSecond + kControlFramesPerDataFrame * data_frames)
      return 0;
    session.fail(Code::FrameFlood, "it floods with frames that carry nothing");
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Session& session = session_of(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY)
      session.fail(Code::GoAway, "it goes away");
    if (frame->hd.type != NGHTTP2_HEADERS || frame->hd.stream_id != session.call_)
      return 0;
    session.header_bytes_ = 0;
    if (!session.status_.empty() && session.status_ != "200")
      session.fail(Code::HttpStatus, "it answers with HTTP status " + session.status_);
    if (session.content_type_.compare(0, 16, "application/grpc") != 0)
      session.fail(Code::NotGrpc, "its answer is not gRPC");
    return 0;
  }

  static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
                     size_t size, void* user_data) {
    Session& session = session_of(user_data);
    if (stream == session.call_)
      session.reader_.feed({reinterpret_cast<const char*>(bytes), size});
    return 0;
  }

  static int on_stream_closed(nghttp2_session*, std::int32_t stream, std::uint32_t error_code,
                              void* user_data) {
    Session& session = session_of(user_data);
    if (stream != session.call_)
      return 0;
    std::string message;
    if (session.grpc_status_.empty())
      message = "it ended the call, " + std::string(nghttp2_http2_strerror(error_code));
    else
      message = "it ended the call with status " + session.grpc_status_;
    if (!session.grpc_status_.empty() && !session.grpc_message_.empty())
      message += ": " + session.grpc_message_;
    session.fail(Code::CallEnded, message);
    return 0;
  }

  // Copies what is unsent into a DATA frame of at most `size` bytes.
  static ssize_t read_body(nghttp2_session*, std::int32_t, std::uint8_t* buffer, size_t size,
                           std::uint32_t*, nghttp2_data_source*, void* user_data) {
    Session& session = session_of(user_data);
    std::size_t done = 0;
    while (done < size && !session.unsent_.empty()) {
      const std::string& first = session.unsent_.front();
      const std::size_t part = std::min(size - done, first.size() - session.unsent_offset_);
      std::copy_n(first.data() + session.unsent_offset_, part, buffer + done);
      done += part;
      session.unsent_offset_ += part;
      session.unsent_bytes_ -= part;
      if (session.unsent_offset_ == first.size()) {
        session.unsent_.pop_front();
        session.unsent_offset_ = 0;
      }
    }
    if (done == 0)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(done);
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
  // nghttp2's own bound on unsent acknowledgements, 1000, is above the bound on control frames.
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
  call_ = nghttp2_submit_request(session_.get(), nullptr, headers.data(), headers.size(), &body,
                                 nullptr);
}

// The first error is the cause; later ones follow from it.
void Session::fail(SessionError::Code code, const std::string& message) {
  if (!error_)
    error_ = SessionError{code, message};
}

void Session::receive(std::string_view bytes, TimePoint now) {
  if (error_)
    return;
  now_ = now;
  const ssize_t used = nghttp2_session_mem_recv(
      session_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (used < 0)
    fail(Code::ProtocolViolation, nghttp2_strerror(static_cast<int>(used)));
}

bool Session::next_message(std::string& message) {
  return reader_.next(message) == MessageReader::Status::Complete;
}

std::string_view Session::next_output() {
  const std::uint8_t* bytes = nullptr;
  const ssize_t size = nghttp2_session_mem_send(session_.get(), &bytes);
  if (size <= 0)
    return {};
  return {reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size)};
}

void Session::send_message(std::string_view message) {
  unsent_.push_back(frame_message(message));
  unsent_bytes_ += unsent_.back().size();
  ++data_frames_;
  if (unsent_bytes_ > kMaxUnsentBytes)
    fail(Code::SendBufferFull, "it does not take what it is told");
  nghttp2_session_resume_data(session_.get(), call_);
}

void Session::send_ping() {
  nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
}

std::optional<SessionError> Session::error() const {
  if (reader_.error())
    return SessionError{Code::MalformedMessage, framing_error_message(*reader_.error())};
  if (error_ && !reader_.is_between_messages())
    return SessionError{error_->code, error_->message + ", in the midst of a message"};
  if (error_)
    return error_;
  // nghttp2 answers a violation of HTTP/2 by a GOAWAY of its own, and wants nothing more.
  if (!nghttp2_session_want_read(session_.get()) && !nghttp2_session_want_write(session_.get()))
    return SessionError{Code::ProtocolViolation, "it broke the rules of HTTP/2"};
  return std::nullopt;
}

}  // namespace gorsebeam::grpc
