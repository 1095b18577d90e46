/// Follows discovery's endpoint list by a watch: an HTTP/1.1 request whose response stays open and
/// delivers each change. The watch is reopened whenever it ends or is silent for too long.
#pragma once

#include "endpoint_list.h"
#include "http_response_parser.h"
#include "json_object_splitter.h"
#include "reconnect_backoff.h"
#include "revision_filter.h"

#include "net/stream.h"
#include "net/timer.h"
#include "proxy/request_broker.h"

#include <cstdint>
#include <memory>
#include <string>

namespace gorsebeam::discovery {

/// Passes each endpoint list that arrives to the broker, which must outlive the watch. Runs on the
/// event loop's thread. The watch owns its connection and its timers, so it makes no calls after it
/// was destroyed or stopped.
class EndpointWatch : public net::Stream::Events, public proxy::EndpointListSource {
public:
  /// Passes `initial_list`, which is used until discovery sends its first list, to the broker at
  /// once. `address` is the numeric address of discovery, such as "127.0.0.4:8080".
  EndpointWatch(proxy::RequestBroker& broker, std::string address,
                EndpointListDocument initial_list, ReconnectBackoff reconnect_backoff);

  /// Opens the watch, which is then reopened whenever it ends, until `stop`. Call this once.
  void start();

  /// Closes the watch and does not reopen it.
  void stop();

  /// Reads all changes that discovery has written so far. The gateway counts as notified of a
  /// change once discovery has written it, even if the event loop has not read it yet.
  void read_pending() override;

  /// Watches discovery at another address; does nothing if the address is the same. Changes that
  /// arrived from the old address are read first. The endpoints that the broker holds stay in use
  /// until a list arrives from the new address.
  void change_address(const std::string& address);

private:
  void connected() override;
  void received() override;
  void ended(const std::string& reason) override;

  /// Closes the watch if it was silent for too long, and schedules its reopening.
  void check_silence();
  void read_response();
  /// Applies all lists that the received body contains completely.
  void apply_lists();
  void apply(EndpointListDocument list);
  /// Closes the watch and opens it again after a backoff.
  void schedule_reconnect(const std::string& reason, WatchEnd end = WatchEnd::Closed);

  proxy::RequestBroker& broker_;
  std::string address_;
  std::int64_t revision_;  ///< The next watch requests changes after it; 0: the whole list.
  std::shared_ptr<net::Stream> stream_;
  net::Timer silence_timer_;
  net::Timer reconnect_timer_;
  ReconnectBackoff reconnect_backoff_;
  RevisionFilter revision_filter_;
  JsonObjectSplitter body_;
  HttpResponseParser response_{JsonObjectSplitter::kMaxObjectSize};
  ListOrder next_list_ = ListOrder::FirstOfWatch;
  TimePoint last_progress_at_{};  ///< When the watch was opened or last received bytes.
  bool is_reading_ = false;       ///< Whether `received` is being executed.
};

}  // namespace gorsebeam::discovery
