#include "gorsebeam/router.h"

#include "router/attempt_observer.h"
#include "router/dispatcher.h"
#include "router/endpoint_list_updater.h"
#include "router/hashing.h"
#include "router/request_scheduler.h"
#include "router/retry_policy.h"
#include "router/router_state.h"

#include <utility>
#include <variant>

namespace gorsebeam {

using router::EndpointState;
using router::kRequestCheckInterval;
using router::PendingRequest;
using router::UpstreamAttempt;

/// Passes each event to the module that handles it.
class Router::Core {
public:
  Core(Settings settings, std::uint64_t seed)
      : state_(std::move(settings), seed), retries_(state_), scheduler_(state_, retries_),
        dispatcher_(state_, retries_, scheduler_), observer_(state_, retries_), updater_(state_) {}

  void handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    state_.event.now = now;
    state_.event.actions = &actions;
    state_.capacities.advance(now);
    if (state_.timers.is_long_overdue(now))
      state_.event.stall_detected_at = now;
    std::visit(
        [this](const auto& content) {
          on(content);
        },
        event);
    while (const auto group = state_.endpoints.pop_dispatchable())
      dispatcher_.dispatch_waiting(*group);
    state_.timers.arm(state_.event);
    state_.event.actions = nullptr;
  }

  bool is_attempt_allowed(TimePoint now, const std::string& request_id, EndpointId endpoint_id) {
    state_.event.now = now;
    const PendingRequest* request = state_.requests.find(request_id);
    const EndpointState* endpoint = state_.endpoints.find(endpoint_id);
    if (request == nullptr || endpoint == nullptr)
      return false;
    return retries_.is_attempt_allowed(*request, *endpoint);
  }

  [[nodiscard]] bool is_health_check_allowed(EndpointId endpoint_id) const {
    const EndpointState* endpoint = state_.endpoints.find(endpoint_id);
    return endpoint != nullptr && endpoint->is_usable();
  }

  [[nodiscard]] bool knows_endpoint(EndpointId endpoint_id) const {
    return state_.endpoints.find(endpoint_id) != nullptr;
  }

private:
  void on(const EndpointList& list) { updater_.apply(list); }

  void on(const Request& arrived) {
    if (arrived.class_index >= state_.settings.classes.size() ||
        state_.requests.contains(arrived.id))
      return;
    PendingRequest& request = state_.requests.add(arrived);
    const RequestClass& request_class = state_.class_of(request);
    const TimePoint now = state_.event.now;
    request.arrived_at = now;
    request.objective_at = now + request_class.latency_objective;
    request.give_up_at = retries_.give_up_at(request);
    request.id_hash = router::hash_text(arrived.id);
    request.affinity_hash = router::mix_hash(arrived.session.value_or(request.id_hash + 2));
    request.session_token = state_.sessions.token_for(arrived, request_class, now);
    if (arrived.earlier_attempt) {
      request.may_have_run_at = arrived.earlier_attempt->sent_at;
      request.may_have_run_on = arrived.earlier_attempt->endpoint;
    }
    state_.classes.record_request(arrived.class_index);
    state_.capacities.record_request();
    dispatcher_.accept(request);
    scheduler_.finish_or_reschedule(request);
  }

  void on(const AttemptResult& result) {
    EndpointState* endpoint = state_.endpoints.find(result.endpoint);
    if (endpoint != nullptr && is_answer(result.status))
      observer_.record_answer(*endpoint, result);
    PendingRequest* request = state_.requests.find(result.request_id);
    if (request == nullptr)
      return;
    if (endpoint != nullptr)
      end_attempt(*request, *endpoint, result);
    if (result.request_finished)
      request->is_closed = true;
    if (!request->is_closed)
      dispatcher_.dispatch(*request);
    scheduler_.finish_or_reschedule(*request);
  }

  void end_attempt(PendingRequest& request, EndpointState& endpoint, const AttemptResult& result) {
    if (result.attempt < request.attempts.size() && request.attempts[result.attempt].in_flight) {
      UpstreamAttempt& attempt = request.attempts[result.attempt];
      attempt.in_flight = false;
      --request.in_flight;
      if (attempt.is_recovery)
        endpoint.has_recovery_attempt = false;
      observer_.record_attempt_end(endpoint, request, attempt, result);
    }
    if (result.status != AttemptStatus::Timeout && result.status != AttemptStatus::ConnectFailed)
      endpoint.last_answer_at = state_.event.now;
  }

  static bool is_answer(AttemptStatus status) {
    return status == AttemptStatus::Ok || status == AttemptStatus::Misdirected ||
           status == AttemptStatus::Error || status == AttemptStatus::Rejected;
  }

  void on(const HealthCheckResult& result) {
    EndpointState* endpoint = state_.endpoints.find(result.endpoint);
    if (endpoint != nullptr)
      observer_.record_health_check(*endpoint, result);
  }

  void on(const ClientDisconnected& client) {
    PendingRequest* request = state_.requests.find(client.request_id);
    if (request == nullptr)
      return;
    request->is_closed = true;
    scheduler_.finish_or_reschedule(*request);
  }

  void on(const TimerExpired&) {
    const TimePoint now = state_.event.now;
    state_.timers.record_expiry(now);
    while (const auto sequence = state_.timers.first_due(now))
      check_due_request(state_.requests.at(*sequence));
    if (state_.timers.consume_due_list_poll(now))
      state_.event.emit(WatchEndpoints{});
  }

  void check_due_request(PendingRequest& request) {
    state_.timers.cancel(request);
    observer_.mark_overdue_attempts(request);
    if (request.in_flight == 0) {
      // Waiting requests of a group are dispatched together, in order of their value per work.
      state_.endpoints.mark_dispatchable(request.request.group);
      state_.timers.schedule(request, state_.event.now + kRequestCheckInterval);
      return;
    }
    dispatcher_.dispatch(request);
    scheduler_.finish_or_reschedule(request);
  }

  router::RouterState state_;
  router::RetryPolicy retries_;
  router::RequestScheduler scheduler_;
  router::Dispatcher dispatcher_;
  router::AttemptObserver observer_;
  router::EndpointListUpdater updater_;
};

Router::Router(Settings settings, std::uint64_t seed)
    : core_(std::make_unique<Core>(std::move(settings), seed)) {}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  core_->handle(now, event, actions);
}

bool Router::is_attempt_allowed(TimePoint now, const std::string& request_id, EndpointId endpoint) {
  return core_->is_attempt_allowed(now, request_id, endpoint);
}

bool Router::is_health_check_allowed(EndpointId endpoint) const {
  return core_->is_health_check_allowed(endpoint);
}

bool Router::knows_endpoint(EndpointId endpoint) const {
  return core_->knows_endpoint(endpoint);
}

}  // namespace gorsebeam
