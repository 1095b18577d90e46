/// The request broker: carries requests, attempts, health checks, endpoint lists and timers between
/// the frontends, the upstream, discovery and the router, which makes every decision.
///
/// Runs on one thread and knows no wire protocol; `interfaces.h` states who owns what and what may
/// be called when.
#pragma once

#include "endpoint_directory.h"
#include "interfaces.h"
#include "invariant_guard.h"
#include "net/timer.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::proxy {

/// One endpoint, as discovery or an inventory names it.
struct ListedEndpoint {
  std::string name;
  std::string address;  ///< "127.0.0.4:6432".
  Endpoint endpoint;    ///< The broker assigns its id.
};

/// Connects one router to its frontends and its upstream. Not copyable, not movable.
class RequestBroker {
public:
  /// The longest request id that `begin_request` accepts, in bytes.
  static constexpr std::size_t kMaxRequestIdLength = 128;

  /// Throws std::invalid_argument that names a bad setting. `seed` feeds the router's random
  /// choices.
  RequestBroker(const Settings& settings, std::uint64_t seed);

  /// Sets the upstream, which is borrowed. Call once, before any other function.
  void attach(Upstream& upstream) { upstream_ = &upstream; }

  /// Sets where the endpoint list comes from; null: nowhere that has to be asked. Borrowed.
  void set_list_source(EndpointListSource* source) { list_source_ = source; }

  /// For frontends: hands a request to the router and borrows `call` until the request is complete;
  /// the final answer may come before this returns. Returns false, and does nothing, if
  /// `request.id` is empty, too long, or the id of a request that is still open.
  [[nodiscard]] bool begin_request(Request request, ClientCall& call);

  /// For frontends: the client of a request disconnected; its call is not used again. Ignored if
  /// the request is complete.
  void client_disconnected(const std::string& request_id);

  /// For the upstream: the one end of an attempt. `response.value` is read only during this call.
  /// Ignored if the attempt has ended.
  void complete_attempt(AttemptId attempt, const UpstreamResponse& response);

  /// For the upstream: the one end of a health check. Ignored if none is in flight.
  void complete_health_check(EndpointId endpoint, const UpstreamResponse& response);

  /// For the upstream, right before it writes: whether the attempt may still be written, by what
  /// the endpoint list says now, by the router and by the invariants. If so it counts as written,
  /// else it is to end as `NotSent`.
  [[nodiscard]] bool authorize_attempt(AttemptId attempt);

  /// For the upstream, right before it writes: the same for a health check.
  [[nodiscard]] bool authorize_health_check(EndpointId endpoint);

  /// For frontends: a connection is closed with a request that has no final answer, though its
  /// client has not left.
  void report_closed_unanswered(const std::string& request_id);

  /// For discovery and inventories: a new list of `endpoints`, or changes to it.
  void update_endpoints(EndpointList::Kind kind, const std::vector<ListedEndpoint>& endpoints);

  /// Requests that have neither a final answer nor lost their client.
  [[nodiscard]] std::size_t open_requests() const { return open_requests_; }

  [[nodiscard]] const Settings& settings() const { return settings_; }

  /// Holds back events from the router until the last batch is destroyed. So a connection can be
  /// put back for reuse, and an answer be written, before the router starts the next attempt.
  class EventBatch {
  public:
    explicit EventBatch(RequestBroker& broker) : broker_(broker) { ++broker_.open_batches_; }

    EventBatch(const EventBatch&) = delete;
    EventBatch& operator=(const EventBatch&) = delete;

    // NOLINTNEXTLINE(bugprone-exception-escape): whatever is thrown here ends the program
    ~EventBatch() {
      --broker_.open_batches_;
      broker_.dispatch_events();
    }

  private:
    RequestBroker& broker_;
  };

private:
  static constexpr AttemptId kNoAttempt = 0;

  /// A request that is open, or whose last attempt is still in flight.
  struct PendingRequest {
    ClientCall* call = nullptr;  ///< Null once the request is complete.
    std::uint32_t started_attempts = 0;
    AttemptId current_attempt = kNoAttempt;
    TimePoint deadline{};
    TimePoint begun_at{};
    RequestHistory history;
  };

  using PendingRequests = std::unordered_map<std::string, PendingRequest>;

  struct Attempt {
    std::string request_id;
    std::uint32_t number = 0;  ///< Counted from 0 for each request.
    EndpointId endpoint = 0;
    TimePoint started_at{};
    std::optional<TimePoint> written_at;
  };

  /// Passes all waiting events to the router and performs its actions. Does nothing while a batch
  /// is open, or inside another call of itself.
  void dispatch_events();

  /// Has the list's source pass on what has arrived. A change counts as notified once it was
  /// written to the gateway, so that nothing may be sent on an older list after a pause.
  void refresh_endpoint_list();

  /// Reads the responses that have arrived, if the loop was held up: what they say of roles and
  /// positions counts as known soon after they were written. Else the loop itself is in time.
  void refresh_responses();

  /// Removes the next event for the router: changes of the endpoint list come first.
  [[nodiscard]] std::optional<Event> pop_event();

  /// Adds the end of a written or unwritten attempt to its request's history.
  static void record_attempt_end(RequestHistory& history, const Attempt& attempt,
                                 AttemptStatus status);

  void report_violation(Violation violation, const std::string& request_id, EndpointId endpoint);

  void perform(const StartAttempt& action);
  void perform(const SendHealthCheck& action);
  void perform(const CancelAttempt& action);
  void perform(const RejectRequest& action);
  void perform(const FailRequest& action);
  void perform(const SetTimer& action);
  static void perform(const WatchEndpoints& action);
  static void perform(const LogMessage& message);

  /// Adds the event that an attempt which the broker did not start has ended.
  void skip_attempt(const StartAttempt& action, std::uint32_t number, bool request_finished);

  /// Marks a request as complete, which must be open, and returns its call.
  ClientCall* complete_request(PendingRequests::iterator request);
  /// Erases a request that is complete and has no attempt in flight.
  void erase_if_finished(PendingRequests::iterator request);
  /// Completes the request if it is open and returns its call; null if it is not open.
  ClientCall* complete_if_open(const std::string& request_id);

  void remove_endpoint(EndpointId endpoint);
  void remove_unlisted(const std::vector<ListedEndpoint>& endpoints);

  Settings settings_;
  Router router_;
  InvariantGuard guard_{settings_};
  Upstream* upstream_ = nullptr;
  net::Timer timer_;
  EndpointListSource* list_source_ = nullptr;
  TimePoint list_refreshed_at_{};
  TimePoint responses_refreshed_at_{};
  std::deque<EndpointList> list_events_;
  net::Timer list_timer_;  // hands over what was read outside of a dispatch
  std::deque<Event> events_;
  std::vector<Action> actions_;  // kept for its memory
  bool dispatching_ = false;
  int open_batches_ = 0;
  PendingRequests pending_requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  EndpointDirectory directory_;
  std::map<EndpointId, TimePoint> health_checks_;  // when each that is in flight was started
  AttemptId next_attempt_ = kNoAttempt + 1;
  std::size_t open_requests_ = 0;
};

}  // namespace gorsebeam::proxy
