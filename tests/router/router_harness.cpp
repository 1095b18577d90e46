#include "router_harness.h"

#include "router_settings.h"

namespace gorsebeam::router_test {
namespace {

RequestClass make_class(const char* name, ConsistencyLevel consistency, Idempotency idempotency) {
  RequestClass made = test_support::make_request_class(name, consistency, idempotency);
  made.latency_objective = 300ms;
  made.deadline = 2000ms;
  made.max_staleness = consistency == ConsistencyLevel::BoundedStaleness ? 1000ms : 0ms;
  made.late_weight_fraction = 0.5;
  made.deduplication_window = 1500ms;
  return made;
}

}  // namespace

Settings default_settings() {
  Settings settings = test_support::make_settings(LoadReportSource::HealthChecks);
  settings.classes = {
      make_class("eventual", ConsistencyLevel::Eventual, Idempotency::Idempotent),
      make_class("bounded", ConsistencyLevel::BoundedStaleness, Idempotency::Idempotent),
      make_class("session", ConsistencyLevel::Session, Idempotency::Idempotent),
      make_class("strong", ConsistencyLevel::Strong, Idempotency::Idempotent),
      make_class("write", ConsistencyLevel::Write, Idempotency::NotIdempotent),
      make_class("keyed", ConsistencyLevel::Write, Idempotency::IdempotencyKey),
  };
  settings.clock_resolution = 1ms;
  settings.session_token_source = SessionTokenSource::Client;
  settings.cancellation_allowed = true;
  settings.response_slack = 20ms;
  settings.drain_grace = 500ms;
  settings.slow_start_duration = 10'000ms;
  settings.overload_duration = 2000ms;
  return settings;
}

Endpoint make_endpoint(EndpointId id, TimePoint started_at) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.started_at = started_at;
  return endpoint;
}

Endpoint make_draining_endpoint(EndpointId id) {
  Endpoint endpoint = make_endpoint(id);
  endpoint.status = EndpointStatus::Draining;
  return endpoint;
}

RouterHarness::RouterHarness(Settings settings, std::uint64_t seed)
    : router(std::move(settings), seed) {}

void RouterHarness::deliver(const Event& event) {
  actions.clear();
  deliver_keeping_actions(event);
}

void RouterHarness::deliver_keeping_actions(const Event& event) {
  const std::size_t before = actions.size();
  router.handle(now, event, actions);
  for (std::size_t i = before; i < actions.size(); ++i) {
    const auto* started = std::get_if<StartAttempt>(&actions[i]);
    if (!started)
      continue;
    ++attempt_counts[started->request_id];
    attempted_pairs.insert({started->request_id, started->endpoint});
  }
}

void RouterHarness::run_timers_for(Duration time) {
  const TimePoint end = now + time;
  while (now < end) {
    now += 10ms;
    deliver_keeping_actions(TimerExpired{});
  }
}

void RouterHarness::deliver_list(std::vector<Endpoint> endpoints, EndpointList::Kind kind) {
  deliver(EndpointList{kind, std::move(endpoints)});
}

void RouterHarness::report_health(EndpointId id, Role role, Duration lag) {
  HealthCheckResult result{id, true, 1ms, {}};
  result.load_report.replication_position = position_at(now - lag);
  result.load_report.is_primary = role == Role::Primary;
  deliver(result);
}

void RouterHarness::fail_health_check(EndpointId id) {
  deliver(HealthCheckResult{id, false, 1ms, {}});
}

void RouterHarness::list_healthy_group() {
  deliver_list({make_endpoint(1), make_endpoint(2), make_endpoint(3), make_endpoint(4)});
  now += 5ms;
  report_health(1, Role::Primary, 0ms);
  for (const EndpointId id : {2U, 3U, 4U})
    report_health(id, Role::Replica, 20ms);
}

std::string RouterHarness::send_request(std::size_t class_index,
                                        std::optional<std::uint64_t> session,
                                        std::optional<Duration> session_token_age) {
  Request request;
  request.id = "r" + std::to_string(next_request_number++);
  request.class_index = class_index;
  request.session = session;
  request.deadline = now + 2000ms;
  if (session_token_age)
    request.session_token = position_at(now - *session_token_age);
  deliver(request);
  return request.id;
}

void RouterHarness::end_attempt(const std::string& request_id, EndpointId endpoint,
                                AttemptStatus status, RequestState state, Duration elapsed,
                                std::uint32_t attempt) {
  AttemptResult result;
  result.request_id = request_id;
  result.endpoint = endpoint;
  result.status = status;
  result.request_finished = state == RequestState::Finished;
  result.elapsed = elapsed;
  result.attempt = attempt;
  if (status == AttemptStatus::Ok || status == AttemptStatus::Misdirected)
    result.role = endpoint == 1 ? Role::Primary : Role::Replica;
  deliver(result);
}

void RouterHarness::answer(const std::string& request_id, EndpointId endpoint, Duration elapsed) {
  end_attempt(request_id, endpoint, AttemptStatus::Ok, RequestState::Finished, elapsed);
}

void RouterHarness::reject_write_as_replica(const std::string& request_id,
                                            const LoadReport& report) {
  AttemptResult result;
  result.request_id = request_id;
  result.endpoint = 1;
  result.status = AttemptStatus::Misdirected;
  result.role = Role::Replica;
  result.load_report = report;
  deliver(result);
}

EndpointId RouterHarness::attempted_endpoint() const {
  const std::vector<StartAttempt> started = actions_of<StartAttempt>();
  return started.empty() ? kNoEndpoint : started.back().endpoint;
}

testing::AssertionResult RouterHarness::has_no_final_answer() const {
  const std::size_t rejected = actions_of<RejectRequest>().size();
  const std::size_t failed = actions_of<FailRequest>().size();
  if (rejected + failed == 0)
    return testing::AssertionSuccess();
  return testing::AssertionFailure()
         << rejected << " requests rejected and " << failed << " failed, expected none";
}

bool RouterHarness::was_attempted(const std::string& request_id, EndpointId endpoint) const {
  return attempted_pairs.count({request_id, endpoint}) > 0;
}

int RouterHarness::count_timeout_ejections(std::optional<EndpointId> only) const {
  int count = 0;
  for (const LogMessage& message : actions_of<LogMessage>()) {
    const auto* ejected = std::get_if<EndpointEjected>(&message);
    if (!ejected || ejected->reason != EjectionReason::ConsecutiveTimeouts)
      continue;
    if (!only || ejected->endpoint == *only)
      ++count;
  }
  return count;
}

}  // namespace gorsebeam::router_test
