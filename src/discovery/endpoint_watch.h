/// Follows discovery's endpoint list by an HTTP/1.1 watch, which it opens again whenever the watch
/// ends or falls silent.
#pragma once

#include "endpoint_list.h"
#include "json_object_splitter.h"
#include "reconnect_backoff.h"
#include "revision_filter.h"

#include "net/stream.h"
#include "net/timer.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace gorsebeam::discovery {

/// Passes each list that arrives to the broker, which it borrows. Runs on the main loop's thread;
/// owns its connection and its timers, so nothing is called after it is destroyed or stopped.
class EndpointWatch : public net::Stream::Events, public proxy::EndpointListSource {
public:
  /// Passes `known`, the list as it was last held, to the broker at once. `address` is
  /// "127.0.0.4:8080".
  EndpointWatch(proxy::RequestBroker& broker, std::string address, EndpointListDocument known,
                ReconnectBackoff reconnect_backoff);

  /// Opens the watch. Call once; it reopens itself until `stop`.
  void start();

  /// Closes the watch and opens none again.
  void stop();

  /// Reads what discovery has written by now. A change counts as notified once it is written, and
  /// not once the main loop comes to it.
  void read_pending() override;

  /// Watches discovery at another address; does nothing if it is the same. What the old one has
  /// written is read before. The endpoints that the broker holds stay in use meanwhile.
  void change_address(const std::string& address);

private:
  static constexpr TimePoint kNotReconnecting = TimePoint::max();

  /// What of the HTTP response is read next.
  enum class ResponseState { Head, PlainBody, ChunkedBody };

  void connected() override;
  void received() override;
  void ended(const std::string& why) override;

  /// Ends a watch that was silent for too long.
  void check_silence();
  void read_response();
  /// Returns whether the whole head was read; false also if it was refused.
  [[nodiscard]] bool read_head();
  /// Moves one chunk into the body. Returns whether there was a whole one, and it was not the last.
  [[nodiscard]] bool read_chunk();
  /// Applies all whole lists of the body.
  void apply_lists();
  void apply(EndpointListDocument list);
  /// Closes the watch and opens it again after a backoff.
  void schedule_reconnect(const std::string& reason, WatchEnd end = WatchEnd::Closed);

  proxy::RequestBroker& broker_;
  std::string address_;
  std::int64_t revision_;  // the next watch asks for what is later; 0: for the whole list
  std::shared_ptr<net::Stream> stream_;
  net::Timer silence_timer_;
  net::Timer reconnect_timer_;
  TimePoint reconnect_at_ = kNotReconnecting;
  ReconnectBackoff reconnect_backoff_;
  RevisionFilter revision_filter_;
  JsonObjectSplitter body_;
  ResponseState response_state_ = ResponseState::Head;
  ListOrder next_list_ = ListOrder::FirstOfWatch;
  TimePoint last_progress_at_{};  // when it was opened or last received something
  bool is_reading_ = false;       // `received` is on the stack
};

}  // namespace gorsebeam::discovery
