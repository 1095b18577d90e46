/// The base class of client connections, from which each protocol's connection derives. It handles
/// one request at a time, bounds the buffers, and closes so that the client can read the last
/// response. All functions run on the event loop's thread.
#pragma once

#include "close_reason.h"

#include "net/stream.h"
#include "net/timer.h"
#include "proxy/request_broker.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::frontend {

class Frontend;

class ClientConnection : public net::Stream::Events, public proxy::ClientCall {
public:
  /// `frontend` owns the connection and outlives it.
  ClientConnection(Frontend& frontend, net::SocketHandle socket);
  ~ClientConnection() override = default;

  /// Whether no request is pending and no input or output is buffered.
  [[nodiscard]] bool is_idle() const;

  [[nodiscard]] bool may_have_disconnected() const override {
    return stream_->has_peer_closed() || stream_->may_miss_peer_close();
  }

  /// Whether the kernel holds unread input or the end of the client's sending side.
  [[nodiscard]] bool has_unread_input() const { return stream_->is_readable(); }

  /// Whether the sending side is closed and the connection waits until the client closes its side.
  [[nodiscard]] bool is_lingering() const { return state_ == State::Lingering; }

  /// The number of answered requests; 2 stands for two or more.
  [[nodiscard]] std::size_t answered_count() const { return answered_count_; }

  /// When the connection last made progress: it was accepted, a message was parsed, a request was
  /// answered, or buffered output was sent.
  [[nodiscard]] TimePoint last_progress_at() const { return last_progress_at_; }

  /// The buffered bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return stream_->buffered_bytes(); }

  /// Whether the connection has a request without an answer.
  [[nodiscard]] bool has_unanswered_request() const {
    return has_pending_request() || awaits_turn_;
  }

  /// Whether the client is owed an answer, or a part of one: closing the connection would lose it.
  [[nodiscard]] bool is_owed_answer() const {
    return has_unanswered_request() || !stream_->all_written();
  }

  /// Why the connection is to be rejected at `now`; empty if it is not overdue.
  [[nodiscard]] std::optional<RejectReason> overdue_reason(TimePoint now) const;

  /// Marks the connection as beyond the limit of connections: the protocol rejects it after the
  /// client's first message.
  void mark_over_limit() { is_over_limit_ = true; }

  /// Closes the connection; the error is sent if the kernel accepts it at once.
  void reject_and_close(RejectReason reason);

  /// Closes the sending side of a connection that is idle or whose client has disconnected; it then
  /// lingers.
  void close_idle(CloseReason reason);

  /// Closes the connection now and drops a pending request.
  void close(CloseReason reason);

  /// Continues `process_input` from a timer; an exception closes only this connection.
  void resume_processing();

protected:
  /// Consumes complete messages of the input until it needs more bytes or has begun a request. It
  /// is called again when there is more input or the request is complete.
  virtual void parse() = 0;

  /// Sends the error in the protocol's form and calls `close_when_written`.
  virtual void send_closing_error(RejectReason reason) = 0;

  /// The input that has not been consumed.
  [[nodiscard]] std::string_view input() const { return stream_->input().view(); }

  /// Drops the first `size` bytes of the input.
  void consume(std::size_t size) { stream_->input().consume(size); }

  /// Sends the spans, or buffers a copy of what the kernel does not accept.
  void send(const net::ByteSpans& spans) { stream_->write(spans); }

  /// The limit for the size of one message.
  [[nodiscard]] std::size_t max_message_bytes() const;

  [[nodiscard]] bool is_over_limit() const { return is_over_limit_; }

  /// The earliest time from which the message in the first `size` bytes of the input can have
  /// waited for its handling: its last byte had arrived, and the response before it was written.
  [[nodiscard]] TimePoint waiting_since(std::size_t size) const;

  /// Passes the request, which is in the first `size` bytes of the input, to the broker. Returns
  /// whether the broker accepts it. The request is rejected if the frontend is stopping. If the
  /// client has disconnected, the request is dropped with its connection.
  [[nodiscard]] proxy::BeginResult begin_request(Request request, std::size_t size);

  /// Returns whether the connection may do work now that takes milliseconds. Otherwise the message
  /// has to stay in the input, which is parsed again when it is the connection's turn.
  [[nodiscard]] bool try_expensive_work();

  /// Called when the response to the pending request has been written and its input consumed.
  void finish_request();

  /// Closes the connection once its output is sent. It then lingers: the sending side is closed,
  /// and input is dropped until the client closes its side.
  void close_when_written(CloseReason reason);

private:
  /// Each transition has one function:
  ///
  ///     AwaitingInput -> StartingRequest -> RequestInFlight   begin_request
  ///     StartingRequest -> AwaitingInput                      begin_request, if it is not accepted
  ///     StartingRequest, RequestInFlight -> AwaitingInput     finish_request
  ///     any state above -> Closing                            begin_closing
  ///     Closing -> Lingering                                  linger
  ///     any -> Closed                                         close
  enum class State {
    AwaitingInput,
    StartingRequest,  ///< A request is being passed to the broker, which may answer it at once.
    RequestInFlight,
    Closing,    ///< Input is ignored; the last output is being sent.
    Lingering,  ///< The sending side is closed.
    Closed,
  };

  void received() final;
  void flushed() final;
  void ended(const std::string& reason) final;
  void peer_closed() final;

  [[nodiscard]] bool has_pending_request() const;
  [[nodiscard]] bool is_closing() const;

  /// Whether more input is buffered than the limits allow in the present state.
  [[nodiscard]] bool exceeds_read_ahead() const;
  void limit_read_ahead();
  void process_input();

  /// Parses once. Returns whether there is more input that may be complete.
  [[nodiscard]] bool parse_next();

  void reject_request(const std::string& id);
  void begin_closing(CloseReason reason);
  void linger();

  Frontend& frontend_;
  std::shared_ptr<net::Stream> stream_;
  std::string request_id_;  ///< The id of the request in flight.
  std::string end_reason_;  ///< Why the stream ended; empty if the gateway ended it.
  /// The earliest time at which the last response can have been written completely.
  TimePoint responded_at_{};
  std::size_t request_size_ = 0;  ///< The size of the pending request in the input.
  State state_ = State::AwaitingInput;
  bool is_over_limit_ = false;
  bool awaits_turn_ = false;  ///< The next message is complete and waits for `try_expensive_work`.
  bool has_sent_message_ = false;  ///< Whether a message of the client was parsed.
  std::size_t answered_count_ = 0;
  TimePoint last_progress_at_{};
  net::Timer resume_timer_;
};

}  // namespace gorsebeam::frontend
