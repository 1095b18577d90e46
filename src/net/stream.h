/// A TCP connection with callbacks on GIO sockets and GLib's main loop; it never blocks.
#pragma once

#include "address.h"
#include "handles.h"
#include "input_buffer.h"
#include "timer.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::net {

/// Pieces of one message, written one after the other without being joined first.
using ByteSpans = std::vector<std::string_view>;

/// Whether the peer's end of the connection is reported while reading is paused.
enum class PeerCloseWatch { Off, On };

class Stream : public std::enable_shared_from_this<Stream> {
public:
  /// Called from the main loop. An exception ends the connection and nothing else.
  class Events {
  public:
    virtual ~Events() = default;

    virtual void connected() {}

    /// Bytes were added to `input()`.
    virtual void received() = 0;

    /// The kernel has accepted all that was written.
    virtual void flushed() {}

    /// The connection was ended by the peer or by an error; not called after `close()`.
    virtual void ended(const std::string& reason) = 0;

    /// The peer closed its sending side while reading is paused with `PeerCloseWatch::On`.
    virtual void peer_closed() {}
  };

  /// Begins to connect to a numeric address; null where the address is invalid or no socket can be
  /// opened. `events` outlives the stream or its `close()`. A failure to connect is reported from
  /// the main loop, never from within this call.
  static std::shared_ptr<Stream> connect(const std::string& address, Events& events);

  /// Takes over a connected socket, whose first bytes came after `arrival` at the earliest.
  static std::shared_ptr<Stream> adopt(SocketHandle socket, Events& events, TimePoint arrival);

  /// As above, with bytes that come from now on.
  static std::shared_ptr<Stream> adopt(SocketHandle socket, Events& events);
  ~Stream();

  InputBuffer& input() { return input_; }

  /// Sends the parts, or keeps a copy of what the kernel does not accept now.
  void write(const ByteSpans& parts);

  [[nodiscard]] bool all_written() const { return unsent_size() == 0; }

  [[nodiscard]] std::size_t unsent_size() const { return output_.size() - written_; }

  /// Bytes in the buffers of this stream.
  [[nodiscard]] std::size_t buffered_bytes() const { return input_.size() + output_.size(); }

  void pause_reading(PeerCloseWatch watch = PeerCloseWatch::Off);
  void resume_reading();

  /// Handles now what the main loop would handle in its next turns: an established connection, and
  /// what has arrived. The callbacks run inside this call.
  void process_pending();

  /// Whether bytes or the peer's end wait unread in the kernel.
  [[nodiscard]] bool readable() const;

  /// Whether the peer closed its sending side, also behind unread bytes, or the connection broke.
  [[nodiscard]] bool has_peer_closed() const;

  /// Closes the connection at once; no callback follows.
  void close();

  /// Closes the sending side; received bytes are reported as before.
  void shut_down_sending();

  [[nodiscard]] bool open() const { return socket_ != nullptr; }

  /// The earliest time of `now()` at which what was read last can have arrived.
  [[nodiscard]] TimePoint input_arrival() const { return earliest_arrival_; }

private:
  Stream(SocketHandle socket, Events& events);
  static gboolean on_readable(GSocket*, GIOCondition, gpointer self);
  static gboolean on_peer_closed(GSocket*, GIOCondition, gpointer self);
  static gboolean on_writable(GSocket*, GIOCondition, gpointer self);

  /// Runs `step`; an exception in it ends this connection.
  template <typename Step>
  void run_guarded(Step&& step);
  void watch_readable();
  void watch_writable();
  void finish_connecting();
  void read_some();
  void write_some();
  void fail(const std::string& reason);

  /// Whether a failed call may succeed soon. If so both directions rest for a moment; not for ever,
  /// as an error without a name may also be the connection's end.
  [[nodiscard]] bool back_off_after_transient_error(const GError& error);
  void end_backoff();

  /// Copies all but the first `sent` bytes of `parts` to the output buffer.
  void buffer_unsent(const ByteSpans& parts, std::size_t sent);
  void release_output();

  Events* events_;
  SocketHandle socket_;
  SourceHandle readable_source_;
  SourceHandle writable_source_;
  SourceHandle peer_close_source_;
  InputBuffer input_;
  std::string output_;
  std::size_t written_ = 0;  ///< Bytes of `output_` that the kernel has accepted.
  void record_arrival();

  std::uint64_t last_input_iteration_ =
      0;  ///< The last turn in which there was something to be read.
  TimePoint earliest_arrival_{};
  Timer backoff_timer_;
  int transient_errors_ = 0;  ///< In a row.
  bool connecting_ = false;
  bool paused_ = false;
};

}  // namespace gorsebeam::net
