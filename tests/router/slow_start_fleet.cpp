#include "slow_start_fleet.h"

#include "overload_slack.h"
#include "router_settings.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace gorsebeam::router_test {
namespace {

constexpr int kWorkers = 4;
constexpr Duration kSlowStartDuration = 16'000ms;
constexpr Duration kOverloadWindow = 1000ms;
constexpr double kOverloadFactor = 2;
constexpr Duration kHealthCheckLatency = 2ms;

RequestClass make_class(const char* name, ConsistencyLevel consistency, Idempotency idempotency) {
  RequestClass made = test_support::make_request_class(name, consistency, idempotency);
  made.latency_objective = 400ms;
  made.deadline = 1500ms;
  made.max_staleness = 1000ms;
  made.late_weight_fraction = consistency == ConsistencyLevel::Write ? 0.3 : 0;
  made.deduplication_window = 2000ms;
  return made;
}

Settings fleet_settings(int routers) {
  Settings settings = test_support::make_settings(LoadReportSource::HealthChecks);
  settings.classes = {
      make_class("eventual", ConsistencyLevel::Eventual, Idempotency::Idempotent),
      make_class("bounded", ConsistencyLevel::BoundedStaleness, Idempotency::Idempotent),
      make_class("write", ConsistencyLevel::Write, Idempotency::IdempotencyKey)};
  settings.router_count = static_cast<std::uint32_t>(routers);
  settings.clock_resolution = 1ms;
  settings.slow_start_duration = kSlowStartDuration;
  settings.slow_start_initial_capacity = kFleetInitialCapacity;
  settings.overload_duration = kOverloadWindow;
  settings.overload_factor = kOverloadFactor;
  return settings;
}

}  // namespace

SlowStartFleet::SlowStartFleet(int routers, EndpointId primary, double demand, std::uint64_t seed)
    : settings_(fleet_settings(routers)), nodes_(static_cast<std::size_t>(routers)), random_(seed),
      primary_(primary), demand_(demand), seed_(seed) {
  for (const EndpointId id : {1, 2, 3, 4}) {
    listed_[id].id = id;
    listed_[id].listed_as_primary = id == primary;
    workers_free_at_[id].resize(kWorkers);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    restart_router(i);
  schedule_arrival();
}

void SlowStartFleet::schedule(TimePoint at, std::function<void()> run) {
  tasks_.push({at, next_sequence_++, std::move(run)});
}

void SlowStartFleet::run_for(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!tasks_.empty() && tasks_.top().at <= end) {
    const Task task = tasks_.top();
    tasks_.pop();
    now_ = std::max(now_, task.at);
    task.run();
  }
  now_ = end;
}

void SlowStartFleet::schedule_arrival() {
  const double seconds = std::exponential_distribution<double>(demand_)(random_);
  schedule(now_ + to_duration(seconds * 1e9), [this] {
    send_request(random_() % nodes_.size());
    schedule_arrival();
  });
}

void SlowStartFleet::send_request(std::size_t node) {
  Request request;
  request.id = "r" + std::to_string(seed_) + "-" + std::to_string(next_request_++);
  // Of ten requests, four are eventual reads, four bounded reads and two writes.
  const std::uint64_t draw = random_() % 10;
  request.class_index = draw < 4 ? 0 : draw < 8 ? 1 : 2;
  request.deadline = now_ + settings_.classes[0].deadline;
  deliver(node, request);
}

void SlowStartFleet::deliver(std::size_t node, const Event& event) {
  std::vector<Action> actions;
  nodes_[node].router->handle(now_, event, actions);
  for (const Action& action : actions)
    perform(node, action);
}

void SlowStartFleet::perform(std::size_t node, const Action& action) {
  if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
    start_attempt(node, *attempt);
  } else if (const auto* check = std::get_if<SendHealthCheck>(&action)) {
    check_health(node, check->endpoint);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    nodes_[node].timer_at = timer->at;
    const std::uint64_t generation = nodes_[node].generation;
    schedule(timer->at, [this, node, generation, at = timer->at] {
      if (nodes_[node].generation == generation && nodes_[node].timer_at == at)
        deliver(node, TimerExpired{});
    });
  }
}

void SlowStartFleet::start_attempt(std::size_t node, const StartAttempt& attempt) {
  if (attempt.endpoint == kStartedEndpoint)
    record_started_attempt();
  const Duration elapsed = serve(attempt.endpoint);
  AttemptResult result;
  result.request_id = attempt.request_id;
  result.attempt = attempt_numbers_[attempt.request_id]++;
  result.endpoint = attempt.endpoint;
  result.request_finished = true;
  result.elapsed = std::min(elapsed, attempt.timeout);
  result.status = elapsed <= attempt.timeout ? AttemptStatus::Ok : AttemptStatus::Timeout;
  result.role = attempt.endpoint == primary_ ? Role::Primary : Role::Replica;
  const std::uint64_t generation = nodes_[node].generation;
  schedule(now_ + result.elapsed, [this, node, generation, result] {
    if (nodes_[node].generation != generation)
      return;
    AttemptResult ended = result;
    ended.replication_position = position_at(now_);
    deliver(node, ended);
  });
}

void SlowStartFleet::check_health(std::size_t node, EndpointId endpoint) {
  const std::uint64_t generation = nodes_[node].generation;
  schedule(now_ + kHealthCheckLatency, [this, node, generation, endpoint] {
    if (nodes_[node].generation != generation)
      return;
    HealthCheckResult result;
    result.endpoint = endpoint;
    result.succeeded = true;
    result.elapsed = kHealthCheckLatency;
    result.load_report = {position_at(now_), endpoint == primary_};
    deliver(node, result);
  });
}

double SlowStartFleet::capacity(EndpointId endpoint) const {
  if (endpoint != kStartedEndpoint || started_at_ == TimePoint{})
    return 1;
  const double progress = ratio(now_ - started_at_, kSlowStartDuration);
  return std::min(1.0, kFleetInitialCapacity + (1 - kFleetInitialCapacity) * progress);
}

// Returns the time until the request has been served by the worker that is free first.
Duration SlowStartFleet::serve(EndpointId endpoint) {
  std::vector<TimePoint>& workers = workers_free_at_[endpoint];
  TimePoint& free_at = *std::min_element(workers.begin(), workers.end());
  const double service_seconds = kWorkers / kFleetFullCapacity / capacity(endpoint);
  free_at = std::max(free_at, now_) + to_duration(service_seconds * 1e9);
  return free_at - now_;
}

void SlowStartFleet::record_started_attempt() {
  if (started_at_ == TimePoint{} || capacity(kStartedEndpoint) >= 1)
    return;
  ++attempts_;
  window_.push_back(now_);
  while (window_.front() <= now_ - kOverloadWindow)
    window_.pop_front();
  const double budget = kOverloadFactor * capacity(kStartedEndpoint) * kFleetFullCapacity *
                        ratio(kOverloadWindow, 1s);
  const auto count = static_cast<double>(window_.size());
  highest_share_ = std::max(highest_share_, count / budget);
  has_failed_ = has_failed_ || count > budget + test_support::overload_slack(budget);
}

void SlowStartFleet::publish(std::size_t node) {
  EndpointList list;
  for (const auto& [id, endpoint] : listed_)
    list.endpoints.push_back(endpoint);
  deliver(node, list);
}

void SlowStartFleet::publish_all() {
  for (std::size_t node = 0; node < nodes_.size(); ++node)
    publish(node);
}

void SlowStartFleet::remove_endpoints(const std::vector<EndpointId>& ids) {
  for (const EndpointId id : ids)
    listed_[id].status = EndpointStatus::Removed;
  publish_all();
}

void SlowStartFleet::list_started_endpoint(Duration age) {
  started_at_ = now_ - age;
  workers_free_at_[kStartedEndpoint].assign(kWorkers, now_);
  listed_[kStartedEndpoint].status = EndpointStatus::Up;
  listed_[kStartedEndpoint].started_at = started_at_;
  publish_all();
}

void SlowStartFleet::restart_router(std::size_t index) {
  Node& node = nodes_[index];
  ++node.generation;
  node.timer_at = kNever;
  node.router = std::make_unique<Router>(settings_, seed_ * 1000 + index * 10 + node.generation);
  publish(index);
}

}  // namespace gorsebeam::router_test
