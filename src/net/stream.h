/// A non-blocking TCP connection that reports its events by callbacks, on GIO sockets and GLib's
/// main loop.
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

/// Whether `Stream::Events::peer_closed` is called while reading is paused.
enum class PeerCloseWatch { Off, On };

class Stream : public std::enable_shared_from_this<Stream> {
public:
  /// The callbacks of a stream, which the event loop calls. An exception that leaves a callback
  /// ends this connection only.
  class Events {
  public:
    virtual ~Events() = default;

    /// The connection was established; not called for an adopted socket.
    virtual void connected() {}

    /// Bytes were added to `input()`.
    virtual void received() = 0;

    /// The kernel has accepted all buffered output.
    virtual void flushed() {}

    /// The peer or an error ended the connection. Not called after `close()`.
    virtual void ended(const std::string& reason) = 0;

    /// The peer closed its sending side while reading is paused with `PeerCloseWatch::On`.
    virtual void peer_closed() {}
  };

  /// Begins to connect to a numeric address. Returns null if the address is invalid or no socket
  /// can be opened. `events` must stay valid until `close()` or the destruction of the stream. A
  /// failure to connect is reported later from the event loop, never from within this call.
  static std::shared_ptr<Stream> connect(const std::string& address, Events& events);

  /// Takes ownership of a connected socket. Its input cannot have arrived before
  /// `earliest_arrival`.
  static std::shared_ptr<Stream> adopt(SocketHandle socket, Events& events,
                                       TimePoint earliest_arrival);

  /// Takes ownership of a connected socket, whose input cannot have arrived before this call.
  static std::shared_ptr<Stream> adopt(SocketHandle socket, Events& events);
  ~Stream();

  InputBuffer& input() { return input_; }

  /// Sends the spans, and buffers a copy of the bytes that the kernel does not accept now.
  void write(const ByteSpans& spans);

  /// Whether the kernel has accepted all output.
  [[nodiscard]] bool all_written() const { return output_.all_sent(); }

  /// The size of the unread input and of the output buffer together, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return input_.size() + output_.size(); }

  /// Stops reading: input stays in the kernel until `resume_reading`.
  void pause_reading(PeerCloseWatch watch = PeerCloseWatch::Off);
  void resume_reading();

  /// Handles at once the events that the event loop would handle in its next iterations: that the
  /// connection is established, and input that has arrived. A read that fails with a transient
  /// error is tried again, a few times. The callbacks run inside this call.
  void process_pending();

  /// Whether the kernel holds unread input or the end of the peer's sending side.
  [[nodiscard]] bool is_readable() const;

  /// Whether the peer closed its sending side, even if input before that is unread, or the
  /// connection failed.
  [[nodiscard]] bool has_peer_closed() const;

  /// Whether a close by the peer may go unnoticed: reading is paused, and the kernel holds so much
  /// unread input that it may accept no more. The close is then behind what the peer cannot send.
  [[nodiscard]] bool may_miss_peer_close() const;

  /// Closes the connection at once; no callback follows.
  void close();

  /// Closes the sending side of the connection; input is still read and reported.
  void shut_down_sending();

  [[nodiscard]] bool is_open() const { return socket_ != nullptr; }

  /// The earliest time, on the clock of `now()`, at which the kernel could have accepted the output
  /// that it accepted last from the event loop.
  [[nodiscard]] TimePoint earliest_flush() const { return writable_bound_.earliest(); }

private:
  Stream(SocketHandle socket, Events& events);
  static gboolean on_readable(GSocket*, GIOCondition, gpointer self);
  static gboolean on_peer_closed(GSocket*, GIOCondition, gpointer self);
  static gboolean on_writable(GSocket*, GIOCondition, gpointer self);

  /// Runs `step`, and closes this connection if `step` throws.
  template <typename Step>
  void run_guarded(Step&& step);
  void watch_readable();
  void watch_writable();
  void finish_connecting();
  void read_some();
  void write_some();
  void fail(const std::string& reason);

  /// Suspends reading and writing if the call that failed with `error` may succeed soon. Returns
  /// false if it may not.
  [[nodiscard]] bool back_off_after_transient_error(const GError& error);
  void resume_after_backoff();

  /// Ends a backoff, if there is one, so that reading and writing go on at once.
  void end_backoff();

  Events* events_;
  SocketHandle socket_;
  SourceHandle readable_source_;
  SourceHandle writable_source_;
  SourceHandle peer_close_source_;
  InputBuffer input_;
  OutputBuffer output_;
  ReadinessBound readable_bound_;
  ReadinessBound writable_bound_;
  TransientErrorBackoff backoff_;
  bool connecting_ = false;
  bool paused_ = false;
};

}  // namespace gorsebeam::net
