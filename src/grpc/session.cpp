#include "session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace gorsebeam::grpc {
namespace {
constexpr std::int64_t kSecond = 1'000'000'000;
constexpr std::uint32_t kWindow = 1 << 20;  // bytes the peer may have on the way
constexpr std::size_t kWordsMost = 300;     // of a peer's own words in our log

nghttp2_nv header(const char* name, const std::string& value) {
  const auto bytes = [](const char* text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text));
  };
  return {bytes(name), bytes(value.data()), std::strlen(name), value.size(), NGHTTP2_NV_FLAG_NONE};
}
}  // namespace

// nghttp2 calls these in the midst of its work; they note, and the session acts when it has
// returned.
struct Callbacks {
  static Session& of(void* self) { return *static_cast<Session*>(self); }

  static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                    size_t name_size, const std::uint8_t* value, size_t value_size, std::uint8_t,
                    void* self) {
    Session& c = of(self);
    c.header_bytes_ += name_size + value_size + 32;
    if (c.header_bytes_ > kHeadersMost) {
      c.doom("its headers are over 16 KiB");
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    if (frame->hd.stream_id != c.call_)
      return 0;
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string text(reinterpret_cast<const char*>(value), std::min(value_size, kWordsMost));
    if (key == ":status")
      c.status_ = text;
    if (key == "grpc-status")
      c.grpc_status_ = text;
    if (key == "grpc-message")
      c.grpc_message_ = text;
    if (key == "content-type")
      c.content_type_ = text;
    return 0;
  }

  static int frame_begun(nghttp2_session*, const nghttp2_frame_hd* head, void* self) {
    Session& c = of(self);
    if (head->type == NGHTTP2_DATA && head->length > 0)
      return ++c.data_frames_, 0;
    if (c.now_ - c.counted_since_ >= kSecond) {
      c.counted_since_ = c.now_, c.control_frames_ = 0;
      c.data_before_ = std::exchange(c.data_frames_, 0);
    }
    if (++c.control_frames_ <=
        kControlFramesMost + kControlFramesPerData * (c.data_frames_ + c.data_before_))
      return 0;
    c.doom("it floods with frames that carry nothing");
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int frame(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    Session& c = of(self);
    if (frame->hd.type == NGHTTP2_GOAWAY)
      c.doom("it goes away");
    if (frame->hd.type != NGHTTP2_HEADERS || frame->hd.stream_id != c.call_)
      return 0;
    c.header_bytes_ = 0;
    if (!c.status_.empty() && c.status_ != "200")
      c.doom("it answers with HTTP status " + c.status_);
    if (c.content_type_.compare(0, 16, "application/grpc") != 0)
      c.doom("its answer is not gRPC");
    return 0;
  }

  static int data(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
                  size_t size, void* self) {
    Session& c = of(self);
    if (stream == c.call_)
      c.reader_.feed({reinterpret_cast<const char*>(bytes), size});
    return 0;
  }

  static int closed(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* self) {
    Session& c = of(self);
    if (stream != c.call_)
      return 0;
    if (!c.grpc_status_.empty())
      c.doom("it ended the call with status " + c.grpc_status_ +
             (c.grpc_message_.empty() ? "" : ": " + c.grpc_message_));
    else
      c.doom("it ended the call, " + std::string(nghttp2_http2_strerror(code)));
    return 0;
  }

  static ssize_t body(nghttp2_session*, std::int32_t, std::uint8_t* room, size_t size,
                      std::uint32_t*, nghttp2_data_source*, void* self) {
    Session& c = of(self);
    std::size_t done = 0;
    while (done < size && !c.unsent_.empty()) {
      const std::string& first = c.unsent_.front();
      const std::size_t part = std::min(size - done, first.size() - c.unsent_at_);
      std::memcpy(room + done, first.data() + c.unsent_at_, part);
      done += part, c.unsent_at_ += part, c.unsent_bytes_ -= part;
      if (c.unsent_at_ == first.size())
        c.unsent_.pop_front(), c.unsent_at_ = 0;
    }
    if (done == 0)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(done);
  }
};

Session::Session(const std::string& authority, const std::string& path) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::header);
  nghttp2_session_callbacks_set_on_begin_frame_callback(callbacks, &Callbacks::frame_begun);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::data);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::closed);
  nghttp2_session_client_new(&session_, callbacks,
                             this);  // its own bound on acks, 1000, stands behind ours
  nghttp2_session_callbacks_del(callbacks);

  const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
                                             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindow},
                                             {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kHeadersMost}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, 3);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        static_cast<std::int32_t>(kWindow));
  const std::string post = "POST", http = "http", type = "application/grpc", trailers = "trailers",
                    agent = "gorsebeam";
  const nghttp2_nv headers[] = {header(":method", post),      header(":scheme", http),
                                header(":path", path),        header(":authority", authority),
                                header("content-type", type), header("te", trailers),
                                header("user-agent", agent)};
  nghttp2_data_provider body{};
  body.read_callback = &Callbacks::body;
  call_ = nghttp2_submit_request(session_, nullptr, headers, 7, &body, nullptr);
}

Session::~Session() {
  nghttp2_session_del(session_);
}

void Session::feed(std::string_view bytes, std::int64_t now) {
  if (!doomed_.empty())
    return;
  now_ = now;
  const ssize_t used = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (used < 0)
    doom(nghttp2_strerror(static_cast<int>(used)));
}

bool Session::next(std::string& message) {
  return reader_.next(message) == Reader::Step::Whole;
}

std::string_view Session::output() {
  const std::uint8_t* bytes = nullptr;
  const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
  if (size <= 0)
    return {};
  return {reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size)};
}

void Session::send(std::string_view message) {
  unsent_.push_back(framed(message));
  unsent_bytes_ += unsent_.back().size();
  ++data_frames_;
  if (unsent_bytes_ > kUnsentMost)
    doom("it does not take what it is told");
  nghttp2_session_resume_data(session_, call_);
}

void Session::ping() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

std::string Session::fault() const {
  if (*reader_.why())
    return reader_.why();
  if (!doomed_.empty())
    return doomed_ + (reader_.between() ? "" : ", in the midst of a message");
  // nghttp2 answers what breaks HTTP/2 by a GOAWAY of its own, and wants nothing more.
  if (!nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_))
    return "it broke the rules of HTTP/2";
  return "";
}

}  // namespace gorsebeam::grpc
