/// One connection of the pool. It connects to its endpoint, writes one request at a time, and reads
/// the response.
///
/// Runs on the event loop's thread.
#pragma once

#include "connection_state_machine.h"
#include "idle_lifetime_estimator.h"
#include "net/stream.h"
#include "net/timer.h"
#include "pool_limits.h"
#include "proxy/request_broker.h"
#include "upstream_protocol.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace gorsebeam::connection_pool {

/// What a connection carries: one attempt, or one health check.
struct Assignment {
  std::optional<proxy::AttemptId> attempt;  ///< Empty for a health check.
  /// Borrowed; null for a health check and after `detach_call`.
  proxy::ClientCall* call = nullptr;
  TimePoint deadline{};  ///< The time by which the assignment ends.

  [[nodiscard]] RequestKind kind() const {
    return attempt ? RequestKind::ClientRequest : RequestKind::HealthCheck;
  }
};

/// A response that holds only a status.
[[nodiscard]] proxy::UpstreamResponse response_with(AttemptStatus status);

class PooledConnection : public net::Stream::Events {
public:
  /// What a connection needs of the pool. The pool owns its connections; `discard` keeps the
  /// connection alive until the running callback has returned.
  class Owner {
  public:
    virtual ~Owner() = default;
    [[nodiscard]] virtual const PoolLimits& limits() const = 0;
    /// Whether `endpoint` is known and reached at `address`.
    [[nodiscard]] virtual bool is_current_address(EndpointId endpoint,
                                                  const std::string& address) const = 0;
    /// Records the outcome of the first request on a connection that had been idle for `idle_time`.
    virtual void record_reuse(Duration idle_time, ReuseOutcome outcome) = 0;
    /// Reports the end of an assignment; called exactly once for each assignment.
    virtual void complete_assignment(EndpointId endpoint, const Assignment& assignment,
                                     const proxy::UpstreamResponse& response) = 0;
    /// Makes a connection available for another assignment.
    virtual void add_idle(PooledConnection& connection) = 0;
    /// Closes the connection and removes it from the pool. Ignored if that was done before.
    virtual void discard(PooledConnection& connection) = 0;
  };

  /// Starts to connect; `is_open` is false if that is not possible. Borrows `owner` and `broker`.
  PooledConnection(Owner& owner, proxy::RequestBroker& broker,
                   std::unique_ptr<UpstreamProtocol> protocol, EndpointId endpoint,
                   std::string address);

  [[nodiscard]] bool is_open() const { return stream_ && stream_->is_open(); }

  /// Whether the connection is open and has neither unread input nor the end of the endpoint's
  /// sending side. An idle connection that has either is not usable any more.
  [[nodiscard]] bool is_open_without_input() const;

  /// Whether a request or health check is written, as a whole or in part, and its response is
  /// awaited.
  [[nodiscard]] bool is_awaiting_response() const {
    return is_open() && state_.is_awaiting_response();
  }

  /// Handles the input that has arrived.
  void read_pending() { stream_->process_pending(); }

  [[nodiscard]] EndpointId endpoint() const { return endpoint_; }

  /// How long ago the connection last became idle; 0 if it never did.
  [[nodiscard]] Duration idle_time(TimePoint now) const;

  /// Gives an assignment to a connection that is idle or newly opened.
  void assign(const Assignment& assignment);

  /// Stops using the client call of the current assignment. A request that is not written yet is
  /// not written any more: the assignment ends as `NotSent`, and the connection is kept.
  void detach_call();

  /// Ends the current assignment with `status`, and closes the connection.
  void fail(AttemptStatus status);

  /// Closes the connection; no callback follows.
  void close();

private:
  /// What happens to the connection when its assignment ends.
  enum class Disposition {
    Keep,
    Close,
    Broken,  ///< Closed, because the endpoint or the network ended it.
  };

  void connected() override;
  void flushed() override;
  void received() override;
  void ended(const std::string& reason) override;

  void become_ready();
  void write_request();
  [[nodiscard]] bool is_authorized();
  void read_handshake();
  void read_response();
  /// Whether the pool's limits allow `input_size` bytes of an incomplete response to be kept.
  [[nodiscard]] bool can_buffer_response(std::size_t input_size) const;
  void await_more_of_response();
  void await_confirmation();
  /// Logs that the endpoint sent bytes that no request caused.
  void log_unsolicited_input() const;
  void handle_timer();
  /// Ends the current assignment, if there is one, with `response`, which takes `consumed_bytes` of
  /// the input.
  void end_assignment(const proxy::UpstreamResponse& response, Disposition disposition,
                      std::size_t consumed_bytes = 0);
  void record_reuse(Disposition disposition);
  void become_idle();

  Owner& owner_;
  proxy::RequestBroker& broker_;
  std::unique_ptr<UpstreamProtocol> protocol_;
  net::Timer timer_;  ///< Limits an assignment, the opening, or the idle time.
  const EndpointId endpoint_;
  const std::string address_;
  std::shared_ptr<net::Stream> stream_;
  ConnectionStateMachine state_;
  /// The current assignment, from `assign` until it ends. It is present in every state but Idle,
  /// unless it ended while the connection was still being opened.
  std::optional<Assignment> assignment_;
  std::optional<TimePoint> idle_since_;  ///< When the connection last became idle; empty if never.
  /// How long the connection was idle before the current request; 0 for its first request.
  Duration idle_time_before_request_{};
  /// Whether `UpstreamProtocol::confirmation_message` was written after the current request.
  bool has_requested_confirmation_ = false;
};

}  // namespace gorsebeam::connection_pool
