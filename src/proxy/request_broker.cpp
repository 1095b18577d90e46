#include "request_broker.h"

#include "attempt_results.h"
#include "named_request.h"
#include "violation_report.h"

#include "common/flag_scope.h"
#include "net/log.h"
#include "net/loop_monitor.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace gorsebeam::proxy {
namespace {

// The client's connection is checked before an attempt is written if the request is at least this
// old. The check is a system call, which a request that was just read does not need.
constexpr Duration kClientCheckAge = 20ms;

constexpr Duration kRecoveryInterval = 100ms;
// How long after an exception overdue requests are looked for, beyond the longest deadline.
constexpr Duration kRecoveryMargin = 1000ms;

}  // namespace

RequestBroker::RequestBroker(const Settings& settings, std::uint64_t seed)
    : settings_(settings), router_(settings, seed), sent_requests_(settings_, seed),
      router_timer_([this] {
        queue_.push(TimerExpired{});
        dispatch_events();
      }),
      list_timer_([this] {
        dispatch_events();
      }),
      recovery_timer_([this] {
        recover_from_exception();
      }) {}

void RequestBroker::attach(Upstream& upstream) {
  upstream_ = &upstream;
  executor_.attach(upstream);
}

// A request with the id of a pending one, of this client or another, is taken for a copy of it,
// and two copies must not be in flight at once.
BeginResult RequestBroker::begin_request(Request request, ClientCall& call) {
  if (request.id.empty() || request.id.size() > kMaxRequestIdLength)
    return BeginResult::InvalidId;
  if (requests_.contains(request.id))
    return BeginResult::IdInUse;
  const TimePoint now = net::now();
  const SentRequestKeys keys = sent_requests_.keys_of(request);
  const RepetitionCheck check = sent_requests_.check(request, keys, now);
  if (check.repetition == Repetition::IdUsed)
    return BeginResult::IdUsed;
  if (check.repetition == Repetition::KeyExpired)
    return BeginResult::KeyExpired;
  request.earlier_attempt = check.earlier_attempt;
  requests_.begin(request, keys, call, now);
  queue_.push(std::move(request));
  dispatch_events();
  return BeginResult::Begun;
}

void RequestBroker::client_disconnected(const std::string& request_id) {
  const TrackedRequest* const request = requests_.find(request_id);
  if (request == nullptr || !request->is_open())
    return;
  const EventBatch batch(*this);
  const std::optional<AttemptId> attempt = request->current_attempt;
  requests_.complete(request_id);
  queue_.push(ClientDisconnected{request_id});
  if (attempt)
    upstream_->detach_call(*attempt);
}

void RequestBroker::complete_attempt(AttemptId attempt_id, const UpstreamResponse& response) {
  const std::optional<InFlightAttempt> attempt = in_flight_.remove_attempt(attempt_id);
  if (!attempt)
    return;
  const EventBatch batch(*this);
  forget_if_not_run(*attempt, response.status);
  const bool is_open =
      requests_.record_attempt_end(attempt->request_id, attempt->written_at, response.status);
  const bool is_answer = is_open && response.status == AttemptStatus::Ok;
  AttemptResult result = make_attempt_result(*attempt, response, net::now());
  result.request_finished = is_answer || !is_open;
  if (response.status != AttemptStatus::Ok)
    log_failed_attempt(result);
  queue_.push(std::move(result));
  if (is_answer)
    requests_.complete(attempt->request_id)->respond(response.body);
}

void RequestBroker::forget_if_not_run(const InFlightAttempt& attempt, AttemptStatus status) {
  const TrackedRequest* const request = requests_.find(attempt.request_id);
  const bool has_run = status == AttemptStatus::Ok || may_have_run(status);
  if (request != nullptr && attempt.written_at && !has_run)
    sent_requests_.forget_attempt(request->keys, *attempt.written_at);
}

void RequestBroker::complete_health_check(EndpointId endpoint, const UpstreamResponse& response) {
  const std::optional<TimePoint> started_at = in_flight_.remove_health_check(endpoint);
  if (!started_at)
    return;
  HealthCheckResult result;
  result.endpoint = endpoint;
  result.succeeded = response.status == AttemptStatus::Ok;
  result.elapsed = net::now() - *started_at;
  result.load_report = response.load_report;
  queue_.push(result);
  dispatch_events();
}

bool RequestBroker::may_have_disconnected(const TrackedRequest& request, TimePoint now) {
  const bool is_new = now - request.begun_at < kClientCheckAge;
  return request.is_open() && !is_new && request.call->may_have_disconnected();
}

bool RequestBroker::authorize_attempt(AttemptId attempt_id) {
  refresh_endpoint_list();
  InFlightAttempt* const attempt = in_flight_.find_attempt(attempt_id);
  if (attempt == nullptr)
    return false;
  TrackedRequest& request = *requests_.find(attempt->request_id);
  const TimePoint now = net::now();
  // The router has not seen an endpoint list that was just read. A send that this list forbids is
  // therefore no violation.
  if (queue_.has_endpoint_list() && guard_.check_endpoint(attempt->endpoint))
    return false;
  if (may_have_disconnected(request, now))
    return false;
  if (!router_.is_attempt_allowed(now, attempt->request_id, attempt->endpoint))
    return false;
  if (const auto violation = guard_.check_attempt(request.history, attempt->endpoint, now)) {
    report_violation(guard_, *violation, attempt->request_id, attempt->endpoint);
    return false;
  }
  attempt->written_at = now;
  sent_requests_.record_attempt(request.keys, attempt->endpoint, now);
  ++request.history.written_attempts;
  ++request.history.in_flight;
  return true;
}

bool RequestBroker::authorize_health_check(EndpointId endpoint) {
  refresh_endpoint_list();
  const auto violation = guard_.check_endpoint(endpoint);
  if (queue_.has_endpoint_list() && violation)
    return false;
  if (!router_.is_health_check_allowed(endpoint))
    return false;
  if (violation)
    report_violation(guard_, *violation, "", endpoint);
  return !violation;
}

void RequestBroker::report_closed_unanswered(const std::string& request_id) {
  report_violation(guard_, Violation::ClosedUnanswered, request_id, 0);
}

void RequestBroker::update_endpoints(EndpointList::Kind kind,
                                     const std::vector<ListedEndpoint>& endpoints) {
  const EventBatch batch(*this);
  queue_.push_endpoint_list(registry_.apply(kind, endpoints, *upstream_));
}

template <typename Source>
void RequestBroker::read_pending_into_queue(Source& source) {
  queue_.open_batch();
  run_contained("", [&source] {
    source.read_pending();
  });
  queue_.close_batch();
}

void RequestBroker::refresh_endpoint_list() {
  const TimePoint now = net::now();
  if (list_source_ == nullptr || !freshness_.is_endpoint_list_stale(now))
    return;
  freshness_.record_endpoint_list_read(now);
  // The list is not dispatched here, as this may run inside an action of another event.
  read_pending_into_queue(*list_source_);
  if (queue_.has_endpoint_list() && !is_dispatching_)
    list_timer_.after(0ms);
}

void RequestBroker::refresh_responses() {
  const TimePoint now = net::now();
  if (!freshness_.are_responses_stale(now, net::earliest_arrival()))
    return;
  freshness_.record_responses_read(now);
  // The router gets the responses before the waiting events, so that it decides on these with the
  // responses known.
  std::deque<Event> waiting = queue_.remove_events();
  read_pending_into_queue(*upstream_);
  queue_.append(std::move(waiting));
}

void RequestBroker::dispatch_events() {
  if (is_dispatching_ || queue_.has_open_batch())
    return;
  const common::FlagScope dispatching(is_dispatching_);
  refresh_endpoint_list();
  refresh_responses();
  while (const std::optional<Event> event = queue_.pop()) {
    handle_event(*event);
    refresh_endpoint_list();
  }
}

// The actions that the router decided on before an exception are performed: it counts on them.
void RequestBroker::handle_event(const Event& event) {
  actions_.clear();
  run_contained(request_id_of(event), [this, &event] {
    router_.handle(net::now(), event, actions_);
  });
  for (const Action& action : actions_)
    perform(action);
}

void RequestBroker::perform(const Action& action) {
  run_contained(request_id_of(action), [this, &action] {
    executor_.perform(action);
  });
}

template <typename Step>
void RequestBroker::run_contained(const std::string& request_id, Step step) {
  try {
    step();
  } catch (const std::exception& error) {
    contain_exception(error, request_id);
  }
}

// A recovery that has begun is not put off: exceptions may repeat at any rate.
void RequestBroker::contain_exception(const std::exception& error, const std::string& request_id) {
  net::log({"internal_error", {{"request", request_id}, {"error", error.what()}}});
  recovers_until_ = net::now() + longest_deadline(settings_) + kRecoveryMargin;
  if (!recovery_timer_.is_set())
    recovery_timer_.after(kRecoveryInterval);
  fail_request(request_id);
}

void RequestBroker::fail_request(const std::string& request_id) {
  const TrackedRequest* const request = requests_.find(request_id);
  if (request == nullptr || !request->is_open())
    return;
  const std::optional<AttemptId> attempt = request->current_attempt;
  ClientCall* const call = requests_.complete(request_id);
  queue_.push(ClientDisconnected{request_id});  // the router must not answer it again
  run_contained("", [this, attempt] {
    if (attempt)
      end_attempt(*attempt);
  });
  run_contained("", [call] {
    call->fail();
  });
}

// The upstream may or may not know the attempt, as starting it may have thrown.
void RequestBroker::end_attempt(AttemptId attempt) {
  upstream_->cancel_attempt(attempt);
  UpstreamResponse cancelled;
  cancelled.status = AttemptStatus::Cancelled;
  complete_attempt(attempt, cancelled);
}

void RequestBroker::recover_from_exception() {
  const EventBatch batch(*this);
  const TimePoint now = net::now();
  if (now < recovers_until_)
    recovery_timer_.after(kRecoveryInterval);
  for (const std::string& request_id : requests_.overdue(now))
    fail_request(request_id);
  queue_.push(TimerExpired{});
}

}  // namespace gorsebeam::proxy
