#include "request_broker.h"

#include "logging/log_record.h"
#include "net/log.h"
#include "net/loop_monitor.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <variant>

namespace gorsebeam::proxy {
namespace {

// How old an unread response may be when something is decided: what a response tells counts as
// known 0.1 s after it was written.
constexpr Duration kMaxResponseDelay = 40ms;

// How old the list may be on which something is decided or sent. Well within the grace period of a
// drain, and long enough for a call on the source to cost little beside the requests.
constexpr Duration kMaxListDelay = 20ms;

void log_failed_attempt(const AttemptResult& result) {
  net::log({"attempt_failed",
            {{"request", result.request_id},
             {"attempt", std::to_string(result.attempt)},
             {"endpoint", std::to_string(result.endpoint)},
             {"status", logging::name_of(result.status)},
             {"elapsed_ms", std::to_string(result.elapsed / 1ms)}}});
}

}  // namespace

RequestBroker::RequestBroker(const Settings& settings, std::uint64_t seed)
    : settings_(settings), router_(settings, seed), timer_([this] {
        events_.emplace_back(TimerExpired{});
        dispatch_events();
      }),
      list_timer_([this] {
        dispatch_events();
      }) {}

bool RequestBroker::begin_request(Request request, ClientCall& call) {
  // An id that is still open, of this client or another, would put a second copy of the request in
  // flight beside the first.
  const std::string& id = request.id;
  if (id.empty() || id.size() > kMaxRequestIdLength || pending_requests_.count(id) > 0)
    return false;
  PendingRequest& pending = pending_requests_[id];
  pending.call = &call;
  pending.deadline = request.deadline;
  pending.begun_at = net::now();
  pending.history.class_index = request.class_index;
  pending.history.group = request.group;
  ++open_requests_;
  events_.emplace_back(std::move(request));
  dispatch_events();
  return true;
}

void RequestBroker::client_disconnected(const std::string& request_id) {
  const auto request = pending_requests_.find(request_id);
  if (request == pending_requests_.end() || request->second.call == nullptr)
    return;
  const EventBatch batch(*this);
  request->second.call = nullptr;
  --open_requests_;
  events_.emplace_back(ClientDisconnected{request_id});
  if (request->second.current_attempt != kNoAttempt)
    upstream_->detach_call(request->second.current_attempt);
  else
    pending_requests_.erase(request);
}

ClientCall* RequestBroker::complete_request(PendingRequests::iterator request) {
  ClientCall* call = std::exchange(request->second.call, nullptr);
  --open_requests_;
  erase_if_finished(request);
  return call;
}

void RequestBroker::erase_if_finished(PendingRequests::iterator request) {
  if (request->second.call == nullptr && request->second.current_attempt == kNoAttempt)
    pending_requests_.erase(request);
}

ClientCall* RequestBroker::complete_if_open(const std::string& request_id) {
  const auto request = pending_requests_.find(request_id);
  if (request == pending_requests_.end() || request->second.call == nullptr)
    return nullptr;
  return complete_request(request);
}

void RequestBroker::complete_attempt(AttemptId attempt_id, const UpstreamResponse& response) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end())
    return;
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const EventBatch batch(*this);
  const auto request = pending_requests_.find(attempt.request_id);
  request->second.current_attempt = kNoAttempt;
  record_attempt_end(request->second.history, attempt, response.status);
  const bool is_open = request->second.call != nullptr;
  const bool is_answer = is_open && response.status == AttemptStatus::Ok;
  AttemptResult result;
  result.request_id = attempt.request_id;
  result.attempt = attempt.number;
  result.endpoint = attempt.endpoint;
  result.status = response.status;
  result.request_finished = is_answer || !is_open;
  result.elapsed = net::now() - attempt.started_at;
  result.role = response.role;
  result.replication_position = response.replication_position;
  result.commit_position = response.commit_position;
  result.load_report = response.load_report;
  if (response.status != AttemptStatus::Ok)
    log_failed_attempt(result);
  events_.emplace_back(std::move(result));
  if (is_answer)
    complete_request(request)->respond(response.value);
  else
    erase_if_finished(request);
}

void RequestBroker::record_attempt_end(RequestHistory& history, const Attempt& attempt,
                                       AttemptStatus status) {
  if (!attempt.written_at)
    return;
  --history.in_flight;
  const bool may_have_run = status == AttemptStatus::Error || status == AttemptStatus::Timeout ||
                            status == AttemptStatus::Reset || status == AttemptStatus::Cancelled;
  if (may_have_run && !history.may_have_run_since)
    history.may_have_run_since = attempt.written_at;
}

bool RequestBroker::authorize_attempt(AttemptId attempt_id) {
  refresh_endpoint_list();
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end())
    return false;
  Attempt& attempt = found->second;
  PendingRequest& request = pending_requests_.at(attempt.request_id);
  const TimePoint now = net::now();
  // A list that was read just now has not reached the router, and a client that left not the
  // frontend.
  if (!list_events_.empty() && guard_.check_endpoint(attempt.endpoint))
    return false;
  request.history.is_open = request.call != nullptr;
  const bool is_first_look = now - request.begun_at < kMaxListDelay;
  if (request.history.is_open && !is_first_look && request.call->has_client_disconnected())
    return false;
  if (!router_.is_attempt_allowed(now, attempt.request_id, attempt.endpoint))
    return false;
  if (const auto violation = guard_.check_attempt(request.history, attempt.endpoint, now)) {
    report_violation(*violation, attempt.request_id, attempt.endpoint);
    return false;
  }
  attempt.written_at = now;
  ++request.history.written_attempts;
  ++request.history.in_flight;
  return true;
}

bool RequestBroker::authorize_health_check(EndpointId endpoint) {
  refresh_endpoint_list();
  const auto violation = guard_.check_endpoint(endpoint);
  if (!list_events_.empty() && violation)
    return false;
  if (!router_.is_health_check_allowed(endpoint))
    return false;
  if (violation)
    report_violation(*violation, "", endpoint);
  return !violation;
}

void RequestBroker::report_closed_unanswered(const std::string& request_id) {
  report_violation(Violation::ClosedUnanswered, request_id, 0);
}

void RequestBroker::report_violation(Violation violation, const std::string& request_id,
                                     EndpointId endpoint) {
  guard_.count(violation);
  net::log({"invariant_violated",
            {{"rule", name_of(violation)},
             {"request", request_id},
             {"endpoint", std::to_string(endpoint)},
             {"count", std::to_string(guard_.count_of(violation))}}});
}

void RequestBroker::complete_health_check(EndpointId endpoint, const UpstreamResponse& response) {
  const auto started = health_checks_.find(endpoint);
  if (started == health_checks_.end())
    return;
  HealthCheckResult result;
  result.endpoint = endpoint;
  result.succeeded = response.status == AttemptStatus::Ok;
  result.elapsed = net::now() - started->second;
  result.load_report = response.load_report;
  health_checks_.erase(started);
  events_.emplace_back(result);
  dispatch_events();
}

void RequestBroker::remove_endpoint(EndpointId endpoint) {
  upstream_->remove_endpoint(endpoint);
  guard_.record_unlisted(endpoint);
  directory_.forget(endpoint);
}

void RequestBroker::remove_unlisted(const std::vector<ListedEndpoint>& endpoints) {
  std::set<std::string> listed_names;
  for (const ListedEndpoint& listed : endpoints)
    listed_names.insert(listed.name);
  for (const EndpointId endpoint : directory_.all_but(listed_names))
    remove_endpoint(endpoint);
}

void RequestBroker::update_endpoints(EndpointList::Kind kind,
                                     const std::vector<ListedEndpoint>& endpoints) {
  const EventBatch batch(*this);
  // Where only draining is binding, an endpoint that was removed may still be asked.
  const bool removal_is_binding = !settings_.only_draining_is_binding;
  // A removal that was never announced must not leave its connections and table entries behind.
  if (kind == EndpointList::Kind::Full && removal_is_binding)
    remove_unlisted(endpoints);
  EndpointList event;
  event.kind = kind;
  for (const ListedEndpoint& listed : endpoints) {
    Endpoint endpoint = listed.endpoint;
    endpoint.id = directory_.assign_id(listed.name);
    guard_.record_listed(endpoint.id, endpoint.group, endpoint.status);
    if (endpoint.status != EndpointStatus::Removed)
      upstream_->add_endpoint(endpoint.id, listed.address);
    else if (removal_is_binding)
      remove_endpoint(endpoint.id);
    event.endpoints.push_back(std::move(endpoint));
  }
  list_events_.push_back(std::move(event));
}

void RequestBroker::refresh_endpoint_list() {
  const TimePoint now = net::now();
  if (list_source_ == nullptr || now - list_refreshed_at_ < kMaxListDelay)
    return;
  list_refreshed_at_ = now;
  // The events wait: this may be called from within the sending of another one's action.
  ++open_batches_;
  list_source_->read_pending();
  --open_batches_;
  if (!list_events_.empty() && !dispatching_)
    list_timer_.after(0ms);
}

void RequestBroker::refresh_responses() {
  const TimePoint now = net::now();
  const bool is_held_up = now - net::earliest_arrival() > kMaxResponseDelay;
  if (!is_held_up || now - responses_refreshed_at_ < kMaxResponseDelay)
    return;
  responses_refreshed_at_ = now;
  // What the responses tell comes before what waits already.
  std::deque<Event> waiting;
  waiting.swap(events_);
  ++open_batches_;
  upstream_->read_pending();
  --open_batches_;
  std::move(waiting.begin(), waiting.end(), std::back_inserter(events_));
}

std::optional<Event> RequestBroker::pop_event() {
  if (!list_events_.empty()) {
    Event event = std::move(list_events_.front());
    list_events_.pop_front();
    return event;
  }
  if (events_.empty())
    return std::nullopt;
  Event event = std::move(events_.front());
  events_.pop_front();
  return event;
}

void RequestBroker::dispatch_events() {
  if (dispatching_ || open_batches_ > 0)
    return;
  dispatching_ = true;
  refresh_endpoint_list();
  refresh_responses();
  while (const std::optional<Event> event = pop_event()) {
    actions_.clear();
    router_.handle(net::now(), *event, actions_);
    for (const Action& action : actions_)
      std::visit(
          [&](const auto& chosen) {
            perform(chosen);
          },
          action);
    refresh_endpoint_list();
  }
  dispatching_ = false;
}

void RequestBroker::perform(const StartAttempt& action) {
  const auto found = pending_requests_.find(action.request_id);
  if (found == pending_requests_.end())
    return;
  PendingRequest& request = found->second;
  const TimePoint now = net::now();
  const std::uint32_t number = request.started_attempts++;
  // Whatever the router decides, a complete request gets no further attempt, and no two attempts of
  // a request are in flight at once.
  if (request.call == nullptr || request.current_attempt != kNoAttempt) {
    skip_attempt(action, number, request.call == nullptr);
    return;
  }
  const AttemptId attempt = next_attempt_++;
  attempts_[attempt] = {action.request_id, number, action.endpoint, now, std::nullopt};
  request.current_attempt = attempt;
  TimePoint deadline = request.deadline;
  if (action.timeout > 0ms)
    deadline = std::min(now + action.timeout, deadline);
  upstream_->start_attempt(attempt, action.endpoint, *request.call, deadline);
}

void RequestBroker::skip_attempt(const StartAttempt& action, std::uint32_t number,
                                 bool request_finished) {
  AttemptResult result;
  result.request_id = action.request_id;
  result.attempt = number;
  result.endpoint = action.endpoint;
  result.status = AttemptStatus::NotSent;
  result.request_finished = request_finished;
  events_.emplace_back(std::move(result));
}

void RequestBroker::perform(const SendHealthCheck& action) {
  health_checks_[action.endpoint] = net::now();
  upstream_->start_health_check(action.endpoint);
}

void RequestBroker::perform(const CancelAttempt& action) {
  const auto found = pending_requests_.find(action.request_id);
  if (found == pending_requests_.end())
    return;
  const PendingRequest& request = found->second;
  const bool is_current = request.started_attempts == action.attempt + 1;
  if (request.current_attempt != kNoAttempt && is_current)
    upstream_->cancel_attempt(request.current_attempt);
}

void RequestBroker::perform(const RejectRequest& action) {
  const auto pending = pending_requests_.find(action.request_id);
  const auto violation = pending == pending_requests_.end()
                             ? std::nullopt
                             : guard_.check_rejection(pending->second.history);
  ClientCall* const call = complete_if_open(action.request_id);
  if (call == nullptr)
    return;
  if (violation) {
    report_violation(*violation, action.request_id, 0);
    call->fail();
    return;
  }
  net::log({"request_rejected",
            {{"request", action.request_id},
             {"reason", logging::name_of(action.reason)},
             {"retry_after_ms", std::to_string(action.retry_after / 1ms)}}});
  call->reject(action.retry_after);
}

void RequestBroker::perform(const FailRequest& action) {
  ClientCall* const call = complete_if_open(action.request_id);
  if (call == nullptr)
    return;
  net::log({"request_failed",
            {{"request", action.request_id}, {"reason", logging::name_of(action.reason)}}});
  call->fail();
}

void RequestBroker::perform(const SetTimer& action) {
  timer_.at(action.at);
}

// The endpoint list is watched all the time.
void RequestBroker::perform(const WatchEndpoints&) {}

void RequestBroker::perform(const LogMessage& message) {
  net::log(logging::to_record(message));
}

}  // namespace gorsebeam::proxy
