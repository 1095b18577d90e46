#include "oracle.h"

#include "endpoint_capacity.h"

#include <algorithm>
#include <limits>

namespace fault_soak {

void Oracle::report(const std::string& rule, const std::string& detail, Millis at,
                    std::optional<Explanation> explanation) {
  Violation violation{rule, detail, at, at, std::nullopt};
  if (explanation) {
    violation.since = explanation->since;
    violation.explained_by = explanation->delay;
  }
  violations_.push_back(violation);
}

void Oracle::gateway_started(int gateway, Millis at) {
  Gateway& state = gateways_[gateway];
  state = Gateway{};
  state.started_at = at;
}

// SIGKILL follows SIGTERM only after the longest deadline, so a process that ran all the time had
// the time to complete what it accepted, and to close its connections to accept no more.
void Oracle::gateway_killed(int gateway, Millis at) {
  const Gateway& state = gateways_[gateway];
  const bool had_time =
      state.terminated_at > 0 && paused_between(state, state.terminated_at, at) == 0;
  for (auto& [id, request] : requests_) {
    if (request.gateway != gateway || request.is_finished)
      continue;
    request.is_finished = true;
    if (had_time)
      report("lost",
             "request " + id + ", sent " + std::to_string(request.sent_at - state.terminated_at) +
                 " ms after SIGTERM, was open when the process was killed " +
                 std::to_string(at - state.terminated_at) + " ms after SIGTERM",
             at, Explanation{request.sent_at, kMaxIteration});
  }
}

void Oracle::gateway_terminated(int gateway, Millis at) {
  gateways_[gateway].terminated_at = at;
}

void Oracle::gateway_paused(int gateway, Millis at) {
  gateways_[gateway].pauses.emplace_back(at, std::numeric_limits<Millis>::max());
}

void Oracle::gateway_resumed(int gateway, Millis at) {
  auto& pauses = gateways_[gateway].pauses;
  if (!pauses.empty())
    pauses.back().second = at;
}

Millis Oracle::paused_between(const Gateway& gateway, Millis from, Millis to) {
  Millis total = 0;
  for (const auto& [begin, end] : gateway.pauses)
    total += std::max<Millis>(0, std::min(end, to) - std::max(begin, from));
  return total;
}

void Oracle::endpoint_listed_as_up(int gateway, int endpoint) {
  gateways_[gateway].draining_since.erase(endpoint);
}

void Oracle::endpoint_listed_as_draining(int gateway, int endpoint, Millis at) {
  gateways_[gateway].draining_since.emplace(endpoint, at);
}

void Oracle::endpoint_started(int endpoint, std::int64_t start, Millis at) {
  starts_[endpoint] = start;
  overload_rule_.endpoint_started(endpoint, at);
}

void Oracle::endpoint_start_listed(int gateway, int endpoint, std::int64_t start) {
  gateways_[gateway].listed_starts[endpoint] = start;
}

void Oracle::check_overload(int gateway, int endpoint, Millis at) {
  const auto start = starts_.find(endpoint);
  if (start == starts_.end())
    return;
  const auto& listed = gateways_[gateway].listed_starts;
  const auto found = listed.find(endpoint);
  const bool is_notified = found != listed.end() && found->second == start->second;
  const auto knowledge = is_notified ? StartKnowledge::Notified : StartKnowledge::NotNotified;
  if (const auto failure = overload_rule_.record_attempt(endpoint, knowledge, at))
    report("overload", *failure, at, Explanation{at - kOverloadWindow, kMaxIteration});
}

// A pause of the process does not extend the time limit: after the pause, the gateway has to read
// the list that was sent in the meantime before it sends traffic.
void Oracle::check_draining_endpoint(int gateway, int endpoint, const std::string& traffic,
                                     Millis at) {
  const std::map<int, Millis>& draining_since = gateways_[gateway].draining_since;
  const auto found = draining_since.find(endpoint);
  if (found == draining_since.end())
    return;
  const Millis elapsed = at - found->second;
  const Millis limit = kDrainGrace + kRecordSlack;
  if (elapsed > limit)
    report("drain",
           traffic + " of gateway " + std::to_string(gateway) + " arrived at endpoint " +
               std::to_string(endpoint) + " " + std::to_string(elapsed) +
               " ms after the endpoint was listed as draining; the limit is " +
               std::to_string(limit) + " ms",
           at, Explanation{found->second, elapsed - limit});
}

void Oracle::request_sent(int gateway, const std::string& id, ServiceClass service_class,
                          Millis deadline, Millis at) {
  Request& request = requests_[id];
  request.gateway = gateway;
  request.service_class = service_class;
  request.sent_at = at;
  request.deadline = deadline;
  request.must_see_commit_at = gateways_[gateway].acknowledged_commit_at;
}

void Oracle::attempt_served(const std::string& id, Millis at) {
  requests_[id].committed_at = at;
}

void Oracle::write_acknowledged(const std::string& id) {
  const Request& request = requests_[id];
  Millis& acknowledged = gateways_[request.gateway].acknowledged_commit_at;
  acknowledged = std::max(acknowledged, request.committed_at);
}

void Oracle::response_received(const std::string& id, Millis at) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return report("unknown", "a response to request " + id + ", which no client sent", at);
  Request& request = found->second;
  request.is_finished = true;
  ++request.response_count;
  if (request.response_count > 1)
    report("responses",
           "request " + id + " got " + std::to_string(request.response_count) + " responses", at);
  const Gateway& gateway = gateways_[request.gateway];
  const Millis limit = kResponseSlack + kRecordSlack + paused_between(gateway, request.sent_at, at);
  const Millis late = at - request.deadline;
  if (late > limit)
    report("lost",
           "request " + id + " got its response " + std::to_string(late) +
               " ms after its deadline; the limit is " + std::to_string(limit) + " ms",
           at, Explanation{request.sent_at, late - limit});
}

void Oracle::client_disconnected(const std::string& id, Millis at) {
  Request& request = requests_[id];
  request.disconnected_at = at;
  request.is_finished = true;
}

ConnectionClose Oracle::connection_ended(const std::string& id, Millis at) {
  Request& request = requests_[id];
  if (request.is_finished)
    return ConnectionClose::Other;
  request.is_finished = true;
  const Gateway& gateway = gateways_[request.gateway];
  const Millis open_for = at - request.sent_at - paused_between(gateway, request.sent_at, at);
  const bool had_attempt = request.last_attempt_at != 0;
  const Millis race_time = kCloseRaceTime + kRecordSlack;
  if (open_for < race_time && !had_attempt)
    return ConnectionClose::RacedRequest;
  std::optional<Explanation> explanation;
  if (!had_attempt)
    explanation = {request.sent_at, open_for - race_time};
  report("lost",
         "the connection of request " + id + " was closed without a response " +
             std::to_string(at - request.sent_at) + " ms after the request",
         at, explanation);
  return ConnectionClose::Other;
}

void Oracle::attempt_arrived(int endpoint, const std::string& id, Millis timeout, Millis at) {
  ++attempt_count_;
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return report("unknown",
                  "an attempt of request " + id + ", which no client sent, arrived at endpoint " +
                      std::to_string(endpoint),
                  at);
  Request& request = found->second;
  check_draining_endpoint(request.gateway, endpoint, "request " + id, at);
  check_overload(request.gateway, endpoint, at);
  if (!request.in_flight.empty())
    report("duplicate",
           "an attempt of request " + id + " arrived at endpoint " + std::to_string(endpoint) +
               " while another is in flight at endpoint " +
               std::to_string(*request.in_flight.begin()),
           at, Explanation{request.last_attempt_at, kMaxIteration});
  check_retry(request, id, at);
  check_disconnected_client(request, id, at);
  check_forwarded_timeout(request, id, timeout, at);
  request.in_flight.insert(endpoint);
  request.last_attempt_at = at;
}

void Oracle::read_arrived(int endpoint, const std::string& id, Millis staleness, Millis at) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return;
  const Request& request = found->second;
  const std::string read = "read " + id + " was sent to endpoint " + std::to_string(endpoint);
  if (request.service_class == ServiceClass::BoundedRead)
    check_bounded_read(request, read, staleness, at);
  if (request.service_class == ServiceClass::Idempotent)
    check_session_read(request, read, staleness, at);
}

void Oracle::check_bounded_read(const Request& request, const std::string& read, Millis staleness,
                                Millis at) {
  const Millis limit = kMaxStaleness + kStalenessSlack + kRecordSlack;
  if (staleness > limit)
    report("stale",
           "bounded " + read + ", whose data is " + std::to_string(staleness) +
               " ms old; the limit is " + std::to_string(limit) + " ms",
           at, Explanation{request.sent_at, staleness - limit});
}

void Oracle::check_session_read(const Request& request, const std::string& read, Millis staleness,
                                Millis at) {
  const Millis missing = request.must_see_commit_at - (at - staleness);
  if (missing > kRecordSlack)
    report("stale",
           "session " + read + ", whose data ends " + std::to_string(missing) +
               " ms before a write that its session was told of",
           at, Explanation{request.sent_at, missing - kRecordSlack});
}

void Oracle::check_disconnected_client(const Request& request, const std::string& id, Millis at) {
  const Millis limit = kDisconnectGrace + kRecordSlack;
  const Millis elapsed = at - request.disconnected_at;
  if (request.disconnected_at > 0 && elapsed > limit)
    report("lost",
           "an attempt of request " + id + " arrived " + std::to_string(elapsed) +
               " ms after its client disconnected; the limit is " + std::to_string(limit) + " ms",
           at, Explanation{request.disconnected_at, elapsed - limit});
}

void Oracle::check_forwarded_timeout(const Request& request, const std::string& id, Millis timeout,
                                     Millis at) {
  const Millis time_left = request.deadline - at;
  const Millis limit = time_left + kDeadlineSlack + kRecordSlack;
  if (timeout > limit)
    report("deadline",
           "request " + id + " was forwarded with a timeout of " + std::to_string(timeout) +
               " ms, but its deadline was in " + std::to_string(time_left) + " ms; the limit is " +
               std::to_string(limit) + " ms",
           at, Explanation{request.sent_at, timeout - limit});
}

void Oracle::check_retry(const Request& request, const std::string& id, Millis at) {
  if (request.may_have_run_since == 0 || is_read(request.service_class))
    return;
  if (request.service_class == ServiceClass::SingleShot)
    return report("duplicate",
                  "single-shot request " + id + " was retried after an attempt that may have run",
                  at);
  const Millis limit = deduplication_window_ + kDeadlineSlack + kRecordSlack;
  const Millis elapsed = at - request.may_have_run_since;
  if (elapsed > limit)
    report("duplicate",
           "keyed request " + id + " was retried " + std::to_string(elapsed) +
               " ms after an attempt that may have run; the limit is " + std::to_string(limit) +
               " ms",
           at, Explanation{request.may_have_run_since, elapsed - limit});
}

void Oracle::attempt_ended(int endpoint, const std::string& id, Effect effect) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return;
  Request& request = found->second;
  request.in_flight.erase(endpoint);
  if (effect == Effect::MayHaveRun && request.may_have_run_since == 0)
    request.may_have_run_since = request.last_attempt_at;
}

void Oracle::health_check_arrived(int gateway, int endpoint, Millis at) {
  check_draining_endpoint(gateway, endpoint, "a health check", at);
}

void Oracle::check_overdue(Millis at) {
  for (auto& [id, request] : requests_) {
    if (request.is_finished)
      continue;
    const Gateway& gateway = gateways_[request.gateway];
    const Millis limit =
        kResponseSlack + kRecordSlack + paused_between(gateway, request.sent_at, at);
    const Millis late = at - request.deadline;
    if (late < limit)
      continue;
    request.is_finished = true;
    report("lost",
           "request " + id + " has no response " + std::to_string(late) +
               " ms after its deadline; the limit is " + std::to_string(limit) + " ms",
           at, Explanation{request.sent_at, late - limit});
  }
}

}  // namespace fault_soak
