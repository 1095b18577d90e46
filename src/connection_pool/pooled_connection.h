/// One connection of the pool: opens it, sends one request at a time on it, reads the response.
///
/// Runs on the main loop's thread.
#pragma once

#include "net/stream.h"
#include "net/timer.h"
#include "pool_limits.h"
#include "proxy/request_broker.h"
#include "upstream_protocol.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace gorsebeam::connection_pool {

/// What a connection is used for: an attempt, or a health check.
struct Assignment {
  proxy::AttemptId attempt = 0;       ///< 0: none.
  proxy::ClientCall* call = nullptr;  ///< Borrowed; null for a health check and once detached.
  TimePoint deadline{};               ///< The use ends by then.
  bool is_health_check = false;
};

/// A response that holds only a status.
[[nodiscard]] proxy::UpstreamResponse response_with(AttemptStatus status);

class PooledConnection : public net::Stream::Events {
public:
  /// The pool, as its connections see it. It owns them; `discard` keeps the connection alive until
  /// the running callback has returned.
  class Owner {
  public:
    virtual ~Owner() = default;
    [[nodiscard]] virtual const PoolLimits& limits() const = 0;
    /// Whether `endpoint` is known and reached at `address`.
    [[nodiscard]] virtual bool is_current_address(EndpointId endpoint,
                                                  const std::string& address) const = 0;
    /// A use of a connection that had been idle for `idle_time` ended; `broke` without a response.
    virtual void record_idle_use(Duration idle_time, bool broke) = 0;
    /// The one end of a use.
    virtual void release(EndpointId endpoint, const Assignment& assignment,
                         const proxy::UpstreamResponse& response) = 0;
    /// The connection is ready for another use.
    virtual void add_idle(PooledConnection& connection) = 0;
    /// Closes the connection and forgets it. Ignored if that was done before.
    virtual void discard(PooledConnection& connection) = 0;
  };

  /// Starts to connect; `is_open` is false if that is not possible. Borrows `owner` and `broker`.
  PooledConnection(Owner& owner, proxy::RequestBroker& broker,
                   std::unique_ptr<UpstreamProtocol> protocol, EndpointId endpoint,
                   std::string address);

  [[nodiscard]] bool is_open() const { return stream_ && stream_->open(); }

  /// Open, and nothing arrived since its last use: bytes or an end mean that the endpoint gave the
  /// connection up.
  [[nodiscard]] bool is_idle_and_silent() const;

  /// A request or health check is written, as a whole or in part, and its response is awaited.
  [[nodiscard]] bool is_awaiting_response() const {
    return is_open() && (state_ == State::Writing || state_ == State::AwaitingResponse);
  }

  /// Handles what has arrived by now.
  void read_pending() { stream_->process_pending(); }

  [[nodiscard]] EndpointId endpoint() const { return endpoint_; }

  /// When it was last added to the idle connections; 0: never.
  [[nodiscard]] TimePoint idle_since() const { return idle_since_; }

  /// Starts a use, of a connection that is idle or still being opened and has none.
  void assign(const Assignment& assignment);

  /// Gives back the call of the use in hand. What is not written yet will not be written.
  void detach_call();

  /// Ends the use in hand with `status`, and the connection with it.
  void fail(AttemptStatus status);

  /// Closes the connection; no callback follows.
  void close();

private:
  enum class State { Connecting, AwaitingHandshake, Idle, Writing, AwaitingResponse };

  /// What becomes of the connection when its use ends.
  enum class Disposition {
    Keep,
    Close,
    Broken,  ///< Closed, because the endpoint or the network ended it.
  };

  void connected() override;
  void flushed() override;
  void received() override;
  void ended(const std::string& why) override;

  void become_ready();
  void write_request();
  [[nodiscard]] bool is_authorized();
  void read_handshake();
  void read_response();
  void handle_timer();
  void release(const proxy::UpstreamResponse& response, Disposition disposition,
               std::size_t used = 0);
  void become_idle();

  Owner& owner_;
  proxy::RequestBroker& broker_;
  std::unique_ptr<UpstreamProtocol> protocol_;
  net::Timer timer_;
  const EndpointId endpoint_;
  const std::string address_;
  std::shared_ptr<net::Stream> stream_;
  State state_ = State::Connecting;
  Assignment assignment_;
  bool in_use_ = false;
  bool response_started_ = false;  // some bytes of the response have arrived
  TimePoint idle_since_{};
  Duration idle_time_{};  // before the use in hand; 0: a new connection
};

}  // namespace gorsebeam::connection_pool
