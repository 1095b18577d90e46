// One gRPC call with a stream of messages both ways, as a client: bytes of HTTP/2 in and out, no
// socket and no clock. nghttp2 keeps HTTP/2's state; here are the bounds and gRPC's own parts.
// Source: RFC 9113 and the published description of gRPC over HTTP/2. What a peer sends ends the
// session at worst.
#pragma once

#include "message.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace gorsebeam::grpc {

constexpr std::size_t kHeadersMost = 16 * 1024;  // bytes of one block of headers, or trailers
// Frames a second that carry nothing, beside those that honest data brings: a window update for the
// call and one for the connection, a ping of the server's that measures the way, and its
// acknowledgement.
constexpr int kControlFramesMost = 200;
constexpr int kControlFramesPerData = 4;
constexpr std::size_t kUnsentMost = 1 << 20;  // bytes of messages that the peer does not take

class Session {
public:
  Session(const std::string& authority, const std::string& path);  // the call is made at once
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void feed(std::string_view bytes,
            std::int64_t now);  // `now` in ns, to count floods by the second
  // The next whole message, if there is one; after feed, until there is none.
  bool next(std::string& message);
  std::string_view
  output();  // what goes to the peer next; empty: nothing. Good until the next call
  void send(std::string_view message);
  void ping();
  // Why the session is over; empty: it goes on. Messages that came whole before count.
  std::string fault() const;

private:
  friend struct Callbacks;

  void doom(const std::string& why) {
    if (doomed_.empty())
      doomed_ = why;
  }

  nghttp2_session* session_ = nullptr;
  std::int32_t call_ = -1;
  Reader reader_;
  std::deque<std::string> unsent_;
  std::size_t unsent_at_ = 0, unsent_bytes_ = 0;
  std::string status_, grpc_status_, grpc_message_, content_type_;  // of the answer
  std::size_t header_bytes_ = 0;
  int control_frames_ = 0, data_frames_ = 0;  // this second
  int data_before_ = 0;                       // the second before, as what it brings may come late
  std::int64_t now_ = 0, counted_since_ = 0;
  std::string doomed_;  // found inside nghttp2
};

}  // namespace gorsebeam::grpc
