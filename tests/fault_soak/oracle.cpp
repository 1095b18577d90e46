#include "oracle.h"

#include <algorithm>
#include <limits>

namespace fault_soak {

void Oracle::report(const std::string& rule, const std::string& detail, Millis at) {
  violations_.push_back({rule, detail, at});
}

void Oracle::gateway_started(int gateway, Millis at) {
  Gateway& state = gateways_[gateway];
  state = Gateway{};
  state.started_at = at;
}

void Oracle::gateway_exited(int gateway) {
  for (auto& [id, request] : requests_) {
    if (request.gateway == gateway)
      request.is_finished = true;
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
    report("overload", *failure, at);
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
  if (elapsed > kDrainGrace + kRecordSlack)
    report("drain",
           traffic + " of gateway " + std::to_string(gateway) + " arrived at endpoint " +
               std::to_string(endpoint) + " " + std::to_string(elapsed) +
               " ms after the endpoint was listed as draining; the limit is " +
               std::to_string(kDrainGrace + kRecordSlack) + " ms",
           at);
}

void Oracle::request_sent(int gateway, const std::string& id, ServiceClass service_class,
                          Millis deadline, Millis at) {
  Request& request = requests_[id];
  request.gateway = gateway;
  request.service_class = service_class;
  request.sent_at = at;
  request.deadline = deadline;
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
  const Millis paused = paused_between(gateway, request.sent_at, at);
  if (at > request.deadline + kResponseSlack + kRecordSlack + paused)
    report("lost",
           "request " + id + " got its response " + std::to_string(at - request.deadline) +
               " ms after its deadline; the limit is " +
               std::to_string(kResponseSlack + kRecordSlack + paused) + " ms",
           at);
}

void Oracle::client_disconnected(const std::string& id, Millis at) {
  Request& request = requests_[id];
  request.disconnected_at = at;
  request.is_finished = true;
}

bool Oracle::was_sent_after_termination(const Gateway& gateway, const Request& request) {
  return gateway.terminated_at > 0 && request.sent_at > gateway.terminated_at + kTerminationGrace;
}

ConnectionClose Oracle::connection_ended(const std::string& id, Millis at) {
  Request& request = requests_[id];
  if (request.is_finished)
    return ConnectionClose::Other;
  request.is_finished = true;
  const Gateway& gateway = gateways_[request.gateway];
  const Millis open_for = at - request.sent_at - paused_between(gateway, request.sent_at, at);
  if (open_for < kCloseRaceTime + kRecordSlack && request.last_attempt_at == 0)
    return ConnectionClose::RacedRequest;
  if (!was_sent_after_termination(gateway, request))
    report("lost",
           "the connection of request " + id + " was closed without a response " +
               std::to_string(at - request.sent_at) + " ms after the request",
           at);
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
           at);
  check_retry(request, id, at);
  if (request.disconnected_at > 0 && at > request.disconnected_at + kDisconnectGrace + kRecordSlack)
    report("lost",
           "an attempt of request " + id + " arrived " +
               std::to_string(at - request.disconnected_at) +
               " ms after its client disconnected; the limit is " +
               std::to_string(kDisconnectGrace + kRecordSlack) + " ms",
           at);
  check_forwarded_timeout(request, id, timeout, at);
  request.in_flight.insert(endpoint);
  request.last_attempt_at = at;
}

void Oracle::check_forwarded_timeout(const Request& request, const std::string& id, Millis timeout,
                                     Millis at) {
  const Millis time_left = request.deadline - at;
  if (timeout > time_left + kDeadlineSlack + kRecordSlack)
    report("deadline",
           "request " + id + " was forwarded with a timeout of " + std::to_string(timeout) +
               " ms, but its deadline was in " + std::to_string(time_left) + " ms; the limit is " +
               std::to_string(time_left + kDeadlineSlack + kRecordSlack) + " ms",
           at);
}

void Oracle::check_retry(const Request& request, const std::string& id, Millis at) {
  if (request.may_have_run_since == 0 || request.service_class == ServiceClass::Idempotent)
    return;
  if (request.service_class == ServiceClass::SingleShot)
    return report("duplicate",
                  "single-shot request " + id + " was retried after an attempt that may have run",
                  at);
  if (at - request.may_have_run_since > deduplication_window_ + kDeadlineSlack + kRecordSlack)
    report("duplicate",
           "keyed request " + id + " was retried " +
               std::to_string(at - request.may_have_run_since) +
               " ms after an attempt that may have run; the limit is " +
               std::to_string(deduplication_window_ + kDeadlineSlack + kRecordSlack) + " ms",
           at);
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
    const Millis paused = paused_between(gateway, request.sent_at, at);
    if (at < request.deadline + kResponseSlack + kRecordSlack + paused)
      continue;
    request.is_finished = true;
    if (!was_sent_after_termination(gateway, request))
      report("lost",
             "request " + id + " has no response " + std::to_string(at - request.deadline) +
                 " ms after its deadline; the limit is " +
                 std::to_string(kResponseSlack + kRecordSlack + paused) + " ms",
             at);
  }
}

}  // namespace fault_soak
