/// A TCP connection with callbacks on GIO sockets and GLib's main loop; it never blocks.
#pragma once

#include "address.h"
#include "arrival_bound.h"
#include "byte_spans.h"
#include "handles.h"
#include "input_buffer.h"
#include "output_buffer.h"
#include "transient_error_backoff.h"

#include <cstddef>
#include <memory>
#include <string>

namespace gorsebeam::net {

/// Whether the end of the peer's sending side is reported while reading is paused.
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

    /// The kernel has accepted all buffered output.
    virtual void flushed() {}

    /// The connection was ended by the peer or by an error; not called after `close()`.
    virtual void ended(const std::string& reason) = 0;

    /// The peer closed its sending side while reading is paused with `PeerCloseWatch::On`.
    virtual void peer_closed() {}
  };

  /// Begins to connect to a numeric address. Returns null if the address is invalid or no socket
  /// can be opened. `events` must stay valid until `close()` or the destruction of the stream. A
  /// failure to connect is reported from the main loop, never from within this call.
  static std::shared_ptr<Stream> connect(const std::string& address, Events& events);

  /// Takes ownership of a connected socket. Its input cannot have arrived before
  /// `earliest_arrival`.
  static std::shared_ptr<Stream> adopt(SocketHandle socket, Events& events,
                                       TimePoint earliest_arrival);

  /// As above; input cannot have arrived before this call.
  static std::shared_ptr<Stream> adopt(SocketHandle socket, Events& events);
  ~Stream();

  InputBuffer& input() { return input_; }

  /// Sends the spans; buffers a copy of what the kernel does not accept now.
  void write(const ByteSpans& spans);

  /// No output is buffered.
  [[nodiscard]] bool all_written() const { return output_.all_sent(); }

  /// Unread input and the memory of the output, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return input_.size() + output_.size(); }

  /// Input stays in the kernel until reading is resumed.
  void pause_reading(PeerCloseWatch watch = PeerCloseWatch::Off);
  void resume_reading();

  /// Handles now what the main loop would handle in its next iterations: an established connection
  /// and input that has arrived. The callbacks run inside this call.
  void process_pending();

  /// Whether the kernel holds unread input or the end of the peer's sending side.
  [[nodiscard]] bool is_readable() const;

  /// Whether the peer closed its sending side, even if input before that is unread, or the
  /// connection failed.
  [[nodiscard]] bool has_peer_closed() const;

  /// Closes the connection at once; no callback follows.
  void close();

  /// Closes the sending side; input is still reported.
  void shut_down_sending();

  [[nodiscard]] bool is_open() const { return socket_ != nullptr; }

  /// The earliest time of `now()` at which the input of the last read can have arrived.
  [[nodiscard]] TimePoint earliest_input_arrival() const {
    return arrival_bound_.earliest_arrival();
  }

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

  /// Suspends both directions if the failed call may succeed soon; false if it may not.
  [[nodiscard]] bool back_off_after_transient_error(const GError& error);
  void resume_after_backoff();

  Events* events_;
  SocketHandle socket_;
  SourceHandle readable_source_;
  SourceHandle writable_source_;
  SourceHandle peer_close_source_;
  InputBuffer input_;
  OutputBuffer output_;
  InputArrivalBound arrival_bound_;
  TransientErrorBackoff backoff_;
  bool connecting_ = false;
  bool paused_ = false;
};

}  // namespace gorsebeam::net
