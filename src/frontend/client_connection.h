/// One client's connection: one request at a time, bounded buffers and an orderly end. A protocol's
/// connection derives from it. All functions run on the main loop's thread.
#pragma once

#include "net/stream.h"
#include "net/timer.h"
#include "proxy/request_broker.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace gorsebeam::frontend {

class Frontend;

/// Why the gateway ends a client connection, as the log names it.
enum class CloseReason {
  PeerClosed,   ///< The client closed or reset it.
  ClientEnded,  ///< The client asked for the end in its protocol.
  ErrorSent,    ///< It broke the protocol, was overdue or was rejected, and was told so.
  Idle,         ///< It rested for long while there were many.
  Evicted,      ///< It rested, and a new connection needed its place.
  Shutdown,     ///< The gateway stops.
  Overdue,      ///< As ErrorSent, but the error could not be sent at once.
  Exception,    ///< A defect in the gateway.
};

class ClientConnection : public net::Stream::Events, public proxy::ClientCall {
public:
  /// `frontend` owns the connection and outlives it.
  ClientConnection(Frontend& frontend, net::SocketHandle socket);
  ~ClientConnection() override = default;

  /// No request is pending, and nothing received or written is buffered.
  [[nodiscard]] bool is_idle() const;

  [[nodiscard]] bool has_client_left() const override { return stream_->has_peer_closed(); }

  /// Whether bytes or the client's end wait in the kernel.
  [[nodiscard]] bool has_unread() const { return stream_->readable(); }

  /// The sending side is closed, and the connection waits for the client to hang up.
  [[nodiscard]] bool is_lingering() const { return state_ == State::Lingering; }

  /// Answered requests; 2 stands for two or more.
  [[nodiscard]] std::size_t answered_count() const { return answered_count_; }

  /// The earliest time at which the message that is parsed now can have arrived.
  [[nodiscard]] TimePoint earliest_arrival() const;

  /// When it last made progress: was accepted, sent a message, was answered or received an answer.
  [[nodiscard]] TimePoint last_progress_at() const { return last_progress_at_; }

  /// Buffered bytes that closing it would free; none while a request is pending.
  [[nodiscard]] std::size_t reclaimable_bytes() const {
    return is_busy_ ? 0 : stream_->buffered_bytes();
  }

  /// Why it is to be closed: nothing sent, an incomplete message, an answer not received. Null
  /// where it is not overdue.
  [[nodiscard]] const char* overdue_reason(TimePoint now) const;

  /// Closes it; the reason is sent in the protocol's form if it can be sent at once.
  void reject_and_close(const char* reason);

  /// Closes the sending side of an idle connection, which then lingers.
  void close_idle(CloseReason reason);

  /// Closes it now and drops a pending request.
  void close(CloseReason reason);

protected:
  /// Consumes what it can of the input, until it needs more bytes or has begun a request. Called
  /// again after that.
  virtual void parse() = 0;

  /// Sends an error in the protocol's form and begins to close: for a connection that broke the
  /// protocol or is overdue.
  virtual void send_closing_error(const char* reason) = 0;

  /// Accepted beyond the limit: to be rejected in the protocol's form after the client's greeting.
  [[nodiscard]] bool is_over_limit() const { return is_over_limit_; }

  /// Passes the request, which is in the first `size` bytes of the input, to the broker. Returns
  /// false if a request of this id is pending already. The request is rejected once the frontend
  /// stops; it is dropped with its connection if the client has disconnected.
  [[nodiscard]] bool begin_request(Request request, std::size_t size);

  /// Called when the answer to the pending request has been written and its input consumed.
  void finish_request();

  /// Closes the connection after what is written. It then lingers: the sending side is closed, and
  /// what the client still sends is read and dropped until it hangs up.
  void close_when_written(CloseReason reason);

  Frontend& frontend_;
  std::shared_ptr<net::Stream> stream_;

private:
  friend class Frontend;

  enum class State {
    Open,
    Closing,    ///< Input is ignored; the last bytes are being written.
    Lingering,  ///< The sending side is closed.
  };

  void received() final;
  void flushed() final;
  void ended(const std::string& reason) final;

  void peer_closed() final { handle_client_disconnect(); }

  void process_input();
  void process_input_guarded();
  void begin_closing(CloseReason reason);
  void linger();
  void handle_client_disconnect();

  std::string request_id_;
  std::string end_reason_;  ///< As the socket reported it; empty: it did not.
  std::optional<TimePoint>
      input_arrival_;  ///< Of the bytes that are being handled; empty: they were read before.
  std::size_t request_size_ = 0;
  State state_ = State::Open;
  bool is_busy_ = false;        ///< A request is pending.
  bool is_processing_ = false;  ///< `process_input` is on the stack.
  bool is_starting_ = false;    ///< The request is being passed to the broker.
  bool is_over_limit_ = false;
  bool has_sent_message_ = false;  ///< Something that the client sent was parsed.
  std::size_t answered_count_ = 0;
  TimePoint last_progress_at_{};
  net::Timer resume_timer_;
};

}  // namespace gorsebeam::frontend
