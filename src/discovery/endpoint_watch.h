/// Follows discovery's endpoint list by an HTTP/1.1 watch, which it reopens whenever the watch ends
/// or is silent for too long.
#pragma once

#include "endpoint_list.h"
#include "http_response_parser.h"
#include "json_object_splitter.h"
#include "reconnect_backoff.h"
#include "revision_filter.h"

#include "net/stream.h"
#include "net/timer.h"

#include <cstdint>
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

  /// Reads what discovery has written by now. The gateway counts as notified of a change once
  /// discovery has written it, even if the main loop has not read it yet.
  void read_pending() override;

  /// Watches discovery at another address; does nothing if it is the same. What discovery has
  /// written at the old address is read first. The endpoints that the broker holds stay in use
  /// meanwhile.
  void change_address(const std::string& address);

private:
  void connected() override;
  void received() override;
  void ended(const std::string& reason) override;

  /// Ends a watch that was silent for too long.
  void check_silence();
  void read_response();
  /// Applies all complete lists of the body.
  void apply_lists();
  void apply(EndpointListDocument list);
  /// Closes the watch and opens it again after a backoff.
  void schedule_reconnect(const std::string& reason, WatchEnd end = WatchEnd::Closed);

  proxy::RequestBroker& broker_;
  std::string address_;
  std::int64_t revision_;  ///< The next watch requests later changes; 0: the whole list.
  std::shared_ptr<net::Stream> stream_;
  net::Timer silence_timer_;
  net::Timer reconnect_timer_;
  ReconnectBackoff reconnect_backoff_;
  RevisionFilter revision_filter_;
  JsonObjectSplitter body_;
  HttpResponseParser response_{JsonObjectSplitter::kMaxObjectSize};
  ListOrder next_list_ = ListOrder::FirstOfWatch;
  TimePoint last_progress_at_{};  ///< When it was opened or last received bytes.
  bool is_reading_ = false;       ///< `received` is on the stack.
};

}  // namespace gorsebeam::discovery
