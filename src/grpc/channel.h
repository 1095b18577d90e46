// One gRPC call with a stream of messages both ways, as a client, over HTTP/2 without TLS on the house's loop. nghttp2
// keeps HTTP/2's state; here are the socket, the bounds and gRPC's own parts.
#pragma once

#include "message.h"
#include "net/stream.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

struct nghttp2_session;

namespace gorsebeam::grpc {

constexpr std::size_t kHeadersMost = 16 * 1024; // bytes of one block of headers, or trailers
constexpr int kControlFramesMost = 200;         // frames a second that are neither headers nor data
constexpr std::size_t kUnsentMost = 1 << 20;    // bytes of messages that the peer does not take

class Channel : net::Stream::Events {
public:
  class Events {
  public:
    virtual ~Events() = default;
    virtual void up() = 0;                         // the connection stands and the call is made
    virtual void heard() = 0;                      // anything came
    virtual void message(std::string_view m) = 0;  // a whole one
    virtual void down(const std::string& why) = 0; // once, from the loop; not after close()
  };
  explicit Channel(Events& events) : events_(events) {}
  ~Channel() override { close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool dial(const std::string& address, const std::string& path); // false: no such address
  void send(std::string_view message);
  void ping();
  void close();
  bool open() const { return stream_ != nullptr; }

private:
  friend struct Callbacks;
  void connected() override;
  void received() override;
  void flushed() override { pump(); }
  void ended(const std::string& why) override { fail(why); }
  void begin();
  void pump();
  void fail(const std::string& why);
  void doom(const std::string& why) {
    if (doomed_.empty()) doomed_ = why;
  }

  Events& events_;
  std::shared_ptr<net::Stream> stream_;
  nghttp2_session* session_ = nullptr;
  std::string authority_, path_;
  std::int32_t call_ = -1;
  Reader reader_;
  std::deque<std::string> unsent_;
  std::size_t unsent_at_ = 0, unsent_bytes_ = 0;
  std::string status_, grpc_status_, grpc_message_, content_type_; // of the answer
  std::size_t header_bytes_ = 0;
  int control_frames_ = 0;
  std::int64_t counted_since_ = 0;
  std::string doomed_; // found inside nghttp2, acted on outside
};

} // namespace gorsebeam::grpc
