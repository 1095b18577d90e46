#include "stream_lifecycle.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::config_versions {

StreamLifecycle::StreamLifecycle(StreamSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), backoff_(seed) {}

void StreamLifecycle::start(TimePoint now, Actions& actions) {
  if (!settings_.addresses.empty())
    enter_connecting(now, actions);
}

void StreamLifecycle::update_settings(TimePoint now, StreamSettings settings, Actions& actions) {
  const bool addresses_changed = settings.addresses != settings_.addresses;
  settings_ = std::move(settings);
  if (!addresses_changed)
    return;
  if (state_ == State::Connecting || state_ == State::Streaming)
    actions.emplace_back(CloseStream{});
  enter_disabled();
  start(now, actions);
}

void StreamLifecycle::enter_disabled() {
  state_ = State::Disabled;
  deadline_ = kNever;
  next_address_index_ = 0;
  backoff_.reset();
}

void StreamLifecycle::enter_connecting(TimePoint now, Actions& actions) {
  address_ = settings_.addresses[next_address_index_ % settings_.addresses.size()];
  ++next_address_index_;
  state_ = State::Connecting;
  deadline_ = now + settings_.connect_timeout;
  actions.emplace_back(OpenStream{address_});
}

void StreamLifecycle::enter_streaming(TimePoint now) {
  state_ = State::Streaming;
  deadline_ = kNever;
  last_received_at_ = now;
  ping_sent_ = false;
}

void StreamLifecycle::enter_backing_off(TimePoint now) {
  state_ = State::BackingOff;
  deadline_ = now + backoff_.next_delay(settings_.initial_reconnect_backoff,
                                        settings_.max_reconnect_backoff);
}

bool StreamLifecycle::on_opened(TimePoint now) {
  if (state_ != State::Connecting)
    return false;
  enter_streaming(now);
  return true;
}

void StreamLifecycle::on_bytes_received(TimePoint now) {
  last_received_at_ = now;
  ping_sent_ = false;
}

void StreamLifecycle::on_lost(TimePoint now, const StreamError& error, Actions& actions) {
  if (state_ != State::Connecting && state_ != State::Streaming)
    return;
  actions.emplace_back(StreamLost{error.message});
  restoration_pending_ = true;
  enter_backing_off(now);
}

void StreamLifecycle::on_response_accepted(Actions& actions) {
  backoff_.reset();
  if (std::exchange(restoration_pending_, false))
    actions.emplace_back(StreamRestored{});
}

TimePoint StreamLifecycle::next_deadline() const {
  if (state_ != State::Streaming)
    return deadline_;
  const Duration allowed_silence =
      ping_sent_ ? 2 * settings_.keepalive_interval : settings_.keepalive_interval;
  return last_received_at_ + allowed_silence;
}

void StreamLifecycle::on_timer(TimePoint now, Actions& actions) {
  switch (state_) {
  case State::Disabled:
    return;
  case State::BackingOff:
    if (now >= deadline_)
      enter_connecting(now, actions);
    return;
  case State::Connecting:
    return check_connect_timeout(now, actions);
  case State::Streaming:
    return check_keepalive(now, actions);
  }
}

void StreamLifecycle::check_connect_timeout(TimePoint now, Actions& actions) {
  if (now < deadline_)
    return;
  actions.emplace_back(CloseStream{});
  on_lost(now,
          {StreamError::Code::ConnectTimeout, "the connection was not established within " +
                                                  std::to_string(settings_.connect_timeout / 1ms) +
                                                  " ms"},
          actions);
}

void StreamLifecycle::check_keepalive(TimePoint now, Actions& actions) {
  const Duration time_since_receipt = now - last_received_at_;
  if (!ping_sent_ && time_since_receipt >= settings_.keepalive_interval) {
    ping_sent_ = true;
    actions.emplace_back(SendPing{});
    return;
  }
  if (!ping_sent_ || time_since_receipt < 2 * settings_.keepalive_interval)
    return;
  actions.emplace_back(CloseStream{});
  on_lost(now,
          {StreamError::Code::KeepaliveTimeout,
           "the control service is silent: nothing received for " +
               std::to_string(time_since_receipt / 1ms) + " ms, and no answer to a ping"},
          actions);
}

}  // namespace gorsebeam::config_versions
