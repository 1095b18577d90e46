/// Connects one router, which makes every decision, to its frontends, its upstream and discovery.
/// The broker runs the steps in order; each step is a module of its own.
///
/// Runs on one thread and does not depend on a wire protocol; `interfaces.h` states ownership and
/// the order of calls.
#pragma once

#include "action_executor.h"
#include "begin_result.h"
#include "endpoint_registry.h"
#include "event_queue.h"
#include "in_flight_table.h"
#include "input_freshness.h"
#include "interfaces.h"
#include "invariant_guard.h"
#include "listed_endpoint.h"
#include "net/timer.h"
#include "request_tracker.h"
#include "sent_requests.h"

#include <cstddef>
#include <exception>
#include <string>
#include <vector>

namespace gorsebeam::proxy {

/// Not copyable, not movable.
class RequestBroker {
public:
  /// The longest request id that `begin_request` accepts, in bytes.
  static constexpr std::size_t kMaxRequestIdLength = 128;

  /// Throws std::invalid_argument that names an invalid setting. `seed` determines the router's
  /// random choices.
  RequestBroker(const Settings& settings, std::uint64_t seed);

  /// Sets the upstream, which is borrowed. Call it once, before any other function.
  void attach(Upstream& upstream);

  /// Sets the source of the endpoint list, which is borrowed; null if no source can hold changes
  /// back.
  void set_list_source(EndpointListSource* source) { list_source_ = source; }

  /// For frontends: passes a request to the router and borrows `call` until the request is
  /// complete, which can happen before this returns. Does nothing but return the reason if the
  /// request is not accepted.
  [[nodiscard]] BeginResult begin_request(Request request, ClientCall& call);

  /// For frontends: reports that the client of a request disconnected. The broker does not use its
  /// call again. Ignored if the request is complete.
  void client_disconnected(const std::string& request_id);

  /// For the upstream: reports the end of an attempt. `response.body` is read only during this
  /// call. Ignored if the attempt has ended.
  void complete_attempt(AttemptId attempt, const UpstreamResponse& response);

  /// For the upstream: reports the end of a health check. Ignored if none is in flight.
  void complete_health_check(EndpointId endpoint, const UpstreamResponse& response);

  /// For the upstream, immediately before it writes: returns whether the current endpoint list, the
  /// router and the invariants still allow the attempt to be written. If so it counts as written;
  /// otherwise the upstream ends it as `NotSent`.
  [[nodiscard]] bool authorize_attempt(AttemptId attempt);

  /// For the upstream, immediately before it writes: returns whether the current endpoint list, the
  /// router and the invariants still allow the health check to be written.
  [[nodiscard]] bool authorize_health_check(EndpointId endpoint);

  /// For frontends: reports that the gateway closed a connection with a request that has no final
  /// answer, although its client has not disconnected.
  void report_closed_unanswered(const std::string& request_id);

  /// For discovery and inventories: applies a new list of `endpoints`, or changes to the list.
  void update_endpoints(EndpointList::Kind kind, const std::vector<ListedEndpoint>& endpoints);

  /// The number of requests that have no final answer and whose client has not disconnected.
  [[nodiscard]] std::size_t open_requests() const { return requests_.open_count(); }

  [[nodiscard]] const Settings& settings() const { return settings_; }

  /// Holds back events from the router until the last open batch is destroyed. A connection can
  /// thus be returned to the pool, and a response written, before the router starts the next
  /// attempt.
  class EventBatch {
  public:
    explicit EventBatch(RequestBroker& broker) : broker_(broker) { broker_.queue_.open_batch(); }

    EventBatch(const EventBatch&) = delete;
    EventBatch& operator=(const EventBatch&) = delete;

    // NOLINTNEXTLINE(bugprone-exception-escape): an exception here ends the program
    ~EventBatch() {
      broker_.queue_.close_batch();
      broker_.dispatch_events();
    }

  private:
    RequestBroker& broker_;
  };

private:
  /// Forgets an attempt whose end proves that it did not run.
  void forget_if_not_run(const InFlightAttempt& attempt, AttemptStatus status);

  /// Passes all waiting events to the router and performs its actions. Does nothing while a batch
  /// is open, or inside another call of itself.
  void dispatch_events();

  /// Passes one event to the router and performs its actions. An exception fails the request that
  /// the event or the action names; other requests are not affected.
  void handle_event(const Event& event);
  void perform(const Action& action);

  /// Logs an exception, starts the recovery and fails `request_id`, which is empty if no request is
  /// concerned. Throws nothing.
  void contain_exception(const std::exception& error, const std::string& request_id);

  /// Runs `step` and contains an exception that leaves it.
  template <typename Step>
  void run_contained(const std::string& request_id, Step step);

  /// Gives an open request its final answer without the router. Ignored for any other request.
  void fail_request(const std::string& request_id);

  /// Ends an attempt whatever state it is in.
  void end_attempt(AttemptId attempt);

  /// Fails the requests that are past their deadline, and wakes the router: an exception may have
  /// cost it a timer.
  void recover_from_exception();

  /// Reads what has arrived at a source; the router gets the events later.
  template <typename Source>
  void read_pending_into_queue(Source& source);

  /// Reads the endpoint list if it is stale.
  void refresh_endpoint_list();

  /// Reads the responses that have arrived if they are stale.
  void refresh_responses();

  /// Whether the client of an open request may have disconnected, though its frontend has not
  /// noticed.
  [[nodiscard]] static bool may_have_disconnected(const TrackedRequest& request, TimePoint now);

  Settings settings_;
  Router router_;
  InvariantGuard guard_{settings_};
  EndpointRegistry registry_{settings_, router_, guard_};
  RequestTracker requests_;
  SentRequests sent_requests_;
  InFlightTable in_flight_;
  EventQueue queue_;
  InputFreshness freshness_;
  net::Timer router_timer_;    ///< Fires at the time that the router set.
  net::Timer list_timer_;      ///< Dispatches endpoint lists that were read outside of a dispatch.
  net::Timer recovery_timer_;  ///< Set for a while after an exception.
  TimePoint recovers_until_{};
  ActionExecutor executor_{requests_, in_flight_, queue_, guard_, router_timer_};
  Upstream* upstream_ = nullptr;
  EndpointListSource* list_source_ = nullptr;
  std::vector<Action> actions_;  ///< For one event; a member so that its memory is reused.
  bool is_dispatching_ = false;
};

}  // namespace gorsebeam::proxy
