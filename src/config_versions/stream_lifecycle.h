/// Decides when to connect to the control service, when to ping it and when to close a connection.
/// It takes events with their time and returns actions; it does no I/O and reads no clock.
#pragma once

#include "actions.h"
#include "configuration.h"
#include "stream_backoff.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gorsebeam::config_versions {

struct StreamSettings {
  /// Addresses of the control service, which are tried in turn. Without any address, no connection
  /// is opened.
  std::vector<std::string> addresses;
  /// Upper bound of the first reconnection delay; the bound doubles with each failure.
  Duration initial_reconnect_backoff = 250ms;
  /// Maximum of the upper bound of a reconnection delay.
  Duration max_reconnect_backoff = 30s;
  /// Time within which a connection must be established; otherwise it counts as lost.
  Duration connect_timeout = 5s;
  /// Time without received bytes after which a ping is sent; after twice this time without received
  /// bytes the stream counts as lost.
  Duration keepalive_interval = 10s;
};

/// States why a stream was lost. `message` is written to the log.
struct StreamError {
  enum class Code {
    CannotConnect,
    ConnectTimeout,
    Disconnected,
    UnreadableMessage,
    KeepaliveTimeout
  };

  Code code = Code::Disconnected;
  std::string message;
};

/// The state machine of the stream to the control service. After each loss it tries to connect
/// again within `max_reconnect_backoff`.
class StreamLifecycle {
public:
  StreamLifecycle(StreamSettings settings, std::uint64_t seed);

  /// Connects, if there is an address.
  void start(TimePoint now, Actions& actions);

  /// Replaces the settings. If the addresses change, it closes the stream and connects again.
  void update_settings(TimePoint now, StreamSettings settings, Actions& actions);

  /// Reports that a connection is established. Returns true if the connection now carries the
  /// stream, false if no attempt to connect was in progress.
  [[nodiscard]] bool on_opened(TimePoint now);

  void on_bytes_received(TimePoint now);

  /// Reports that the stream or the attempt to connect has failed. Does nothing if there is
  /// neither.
  void on_lost(TimePoint now, const StreamError& error, Actions& actions);

  /// Reports that a response was accepted, which resets the bound of the reconnection delay.
  void on_response_accepted(Actions& actions);

  void on_timer(TimePoint now, Actions& actions);

  /// Returns the next time at which `on_timer` has an effect, or `kNever`.
  [[nodiscard]] TimePoint next_deadline() const;

  [[nodiscard]] bool is_streaming() const { return state_ == State::Streaming; }

  /// The address of the current or the last connection; empty before the first one.
  [[nodiscard]] const std::string& address() const { return address_; }

private:
  enum class State { Disabled, BackingOff, Connecting, Streaming };

  void enter_disabled();
  void enter_backing_off(TimePoint now);
  void enter_connecting(TimePoint now, Actions& actions);
  void enter_streaming(TimePoint now);
  void check_connect_timeout(TimePoint now, Actions& actions);
  void check_keepalive(TimePoint now, Actions& actions);

  StreamSettings settings_;
  StreamBackoff backoff_;
  State state_ = State::Disabled;
  std::string address_;
  std::size_t next_address_index_ = 0;
  /// In state BackingOff, the time of the next attempt to connect; in state Connecting, the time at
  /// which the attempt fails.
  TimePoint deadline_ = kNever;
  TimePoint last_received_at_{};
  bool ping_sent_ = false;
  /// Whether the stream was lost and no response has been accepted since.
  bool restoration_pending_ = false;
};

}  // namespace gorsebeam::config_versions
