// A TCP connection as an object with callbacks, on GIO sockets and GLib's main loop; never blocks.
#pragma once

#include "handles.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::net {

using Parts = std::vector<std::string_view>;

// "127.0.0.4:6432"; no names are looked up. Nothing where the text is no numeric address and port.
AddressHandle parse_address(const std::string& text, unsigned least_port = 1);

// Bytes that all buffers of all connections hold now. What bounds memory bounds this, not only each
// message.
std::size_t buffered();

// Received bytes, parsed in place: views stay good until the next consume, or the next read.
class Input {
public:
  Input() = default;
  Input(const Input&) = delete;
  Input& operator=(const Input&) = delete;

  ~Input() { release(); }

  std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }

  std::size_t size() const { return end_ - begin_; }

  void consume(std::size_t count);
  char* room(std::size_t least);

  std::size_t room_size() const { return bytes_.size() - end_; }

  void filled(std::size_t count) { end_ += count; }

  void release();  // all of it, with its memory

private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

class Stream : public std::enable_shared_from_this<Stream> {
public:
  class Events {
  public:
    virtual ~Events() = default;

    virtual void connected() {}

    virtual void received() = 0;  // bytes were added to input()

    virtual void flushed() {}  // all that was written has gone to the kernel

    virtual void ended(const std::string& why) = 0;  // by the peer or by an error, not by close()

    virtual void left() {}  // the peer's end, while reading is paused and it is heeded
  };

  static std::shared_ptr<Stream> connect(const std::string& address,
                                         Events& events);  // null: no such address
  static std::shared_ptr<Stream> adopt(SocketHandle socket, Events& events);
  ~Stream();

  Input& input() { return input_; }

  void write(const Parts& parts);

  bool all_written() const { return output_.size() == written_; }

  std::size_t pending() const { return output_.size() - written_; }

  std::size_t held() const { return input_.size() + output_.size(); }

  // `heed_end`: the peer's end is told by left() all the same, with what was not read before it.
  void pause_reading(bool pause, bool heed_end = false);
  bool readable() const;  // something has come that was not read: bytes, or the end
  bool peer_left()
      const;     // its end has come, or the connection broke; also behind bytes that were not read
  void close();  // no callback follows
  void shut();   // ends the sending side; what still comes is told as before

  bool open() const { return socket_ != nullptr; }

private:
  Stream(SocketHandle socket, Events& events);
  static gboolean on_in(GSocket*, GIOCondition, gpointer self);
  static gboolean on_end(GSocket*, GIOCondition, gpointer self);
  static gboolean on_out(GSocket*, GIOCondition, gpointer self);
  template <typename F>
  void guarded(F&& step);
  void watch_in();
  void watch_out();
  void read_some();
  void write_some();
  void fail(const std::string& why);
  void keep_rest(const Parts& parts,
                 std::size_t done);  // what the kernel did not take waits in output_

  Events* events_;
  SocketHandle socket_;
  SourceHandle in_, out_, end_;  // end_: while reading is paused and the end is heeded
  Input input_;
  std::string output_;
  std::size_t written_ = 0;
  bool connecting_ = false, paused_ = false;
};

}  // namespace gorsebeam::net
