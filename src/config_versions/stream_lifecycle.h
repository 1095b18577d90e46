/// Decides when to connect to the control service, when to ping it and when to give a connection
/// up. Pure: events with their time in, actions out.
#pragma once

#include "actions.h"
#include "configuration.h"
#include "stream_backoff.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gorsebeam::config_versions {

/// A deadline that never comes.
constexpr Nanos kNever = INT64_MAX;

/// All durations are in nanoseconds.
struct StreamSettings {
  /// Addresses of the control service, tried in turn; none: no connection is ever opened.
  std::vector<std::string> addresses;
  /// Bound of the first reconnection delay; it doubles with each failure.
  Nanos reconnect_first = 250'000'000;
  /// Largest bound of a reconnection delay.
  Nanos reconnect_max = 30'000'000'000;
  /// Time after which a connection that is not established counts as lost.
  Nanos connect_timeout = 5'000'000'000;
  /// Silence after which a ping is sent, and after twice which the stream counts as lost.
  Nanos silence = 10'000'000'000;
};

/// States why a stream was lost; `message` goes to the log.
struct StreamError {
  enum class Code { CannotConnect, ConnectTimeout, Disconnected, UnreadableMessage, SilentPeer };

  Code code = Code::Disconnected;
  std::string message;
};

/// The state machine of one stream to the control service. After a loss there is always another
/// attempt, within `reconnect_max`.
class StreamLifecycle {
public:
  StreamLifecycle(StreamSettings settings, std::uint64_t seed);

  /// Connects, if there is an address.
  void start(Nanos now, Actions& actions);

  /// Takes over the settings. A change of addresses ends the stream and connects anew.
  void update_settings(Nanos now, StreamSettings settings, Actions& actions);

  /// Returns whether an attempt was under way and has become the stream.
  [[nodiscard]] bool on_opened(Nanos now);

  void on_bytes_received(Nanos now);

  /// Does nothing unless there is a stream or an attempt.
  void on_lost(Nanos now, const StreamError& error, Actions& actions);

  /// Reports that a response was accepted: the next reconnection is immediate.
  void on_response_accepted(Actions& actions);

  void on_timer(Nanos now, Actions& actions);

  /// The next time at which `on_timer` has an effect, or `kNever`.
  [[nodiscard]] Nanos next_deadline() const;

  [[nodiscard]] bool is_streaming() const { return state_ == State::Streaming; }

  /// The address of the current or the last connection; empty before the first one.
  [[nodiscard]] const std::string& address() const { return address_; }

private:
  enum class State { Disabled, BackingOff, Connecting, Streaming };

  void enter_disabled();
  void enter_backing_off(Nanos now);
  void enter_connecting(Nanos now, Actions& actions);
  void enter_streaming(Nanos now);
  void check_connect_timeout(Nanos now, Actions& actions);
  void check_silence(Nanos now, Actions& actions);

  StreamSettings settings_;
  StreamBackoff backoff_;
  State state_ = State::Disabled;
  std::string address_;
  std::size_t next_address_ = 0;
  /// BackingOff: the next attempt. Connecting: when the attempt is given up.
  Nanos deadline_ = kNever;
  Nanos last_received_at_ = 0;
  bool ping_sent_ = false;
  /// The stream was lost, and no response has been accepted since.
  bool restoration_pending_ = false;
};

}  // namespace gorsebeam::config_versions
