#include "request_broker.h"

#include "net/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gorsebeam::proxy {

namespace {
constexpr std::size_t kIdMost = 128;
}  // namespace

RequestBroker::RequestBroker(const Settings& settings, std::uint64_t seed)
    : settings_(settings), router_(settings, seed), timer_([this] {
        events_.emplace_back(TimerExpired{});
        pump();
      }) {}

bool RequestBroker::begin_request(Request request, ClientCall& call) {
  // Guards against an id that is still open, a client's own or another's: sent on, it would be a
  // second copy out beside the first.
  const std::string& id = request.id;
  if (id.empty() || id.size() > kIdMost || jobs_.count(id))
    return false;
  Job& job = jobs_[id];
  job.call = &call;
  job.deadline = request.deadline;
  ++open_;
  events_.emplace_back(std::move(request));
  pump();
  return true;
}

void RequestBroker::client_disconnected(const std::string& id) {
  const auto job = jobs_.find(id);
  if (job == jobs_.end() || !job->second.call)
    return;
  const EventBatch hold(*this);
  job->second.call = nullptr;
  --open_;
  events_.emplace_back(ClientDisconnected{id});
  if (job->second.out)
    upstream_->detach_call(job->second.out);
  else
    jobs_.erase(job);
}

void RequestBroker::complete_request(const std::string& id) {
  jobs_.at(id).call = nullptr;
  --open_;
  forget(id);
}

void RequestBroker::forget(const std::string& id) {
  const auto job = jobs_.find(id);
  if (job != jobs_.end() && !job->second.call && !job->second.out)
    jobs_.erase(job);
}

void RequestBroker::complete_attempt(AttemptId number, const UpstreamResponse& answer) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end())
    return;
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const EventBatch hold(*this);
  Job& job = jobs_.at(attempt.id);
  job.out = 0;
  ClientCall* call = job.call;
  const bool serves = answer.status == AttemptStatus::Ok && call;
  AttemptResult outcome;
  outcome.request_id = attempt.id;
  outcome.attempt = attempt.number;
  outcome.endpoint = attempt.member;
  outcome.status = answer.status;
  outcome.request_finished = serves || !call;
  outcome.elapsed = net::now() - attempt.sent_at;
  outcome.role = answer.role;
  outcome.replication_position = answer.replication_position;
  outcome.commit_position = answer.commit_position;
  outcome.load_report = answer.load_report;
  events_.emplace_back(std::move(outcome));
  if (!serves)
    return forget(attempt.id);
  complete_request(attempt.id);
  call->respond(answer.value);
}

bool RequestBroker::is_attempt_allowed(AttemptId number) {
  const auto attempt = attempts_.find(number);
  return attempt != attempts_.end() &&
         router_.is_attempt_allowed(net::now(), attempt->second.id, attempt->second.member);
}

void RequestBroker::complete_health_check(EndpointId member, const UpstreamResponse& answer) {
  const auto since = probing_.find(member);
  if (since == probing_.end())
    return;
  HealthCheckResult event;
  event.endpoint = member;
  event.succeeded = answer.status == AttemptStatus::Ok;
  event.elapsed = net::now() - since->second;
  event.load_report = answer.load_report;
  probing_.erase(since);
  events_.emplace_back(event);
  pump();
}

// Members have numbers in the module, and all gateways must sort them alike: a name that ends in
// eight hex digits, as discovery's do, is that number; any other is hashed. A clash takes the next
// free number.
EndpointId RequestBroker::id_of(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end())
    return known->second;
  std::uint32_t id = 2166136261u;
  for (const char c : name)
    id = (id ^ static_cast<unsigned char>(c)) * 16777619u;
  const std::string tail = name.size() > 8 ? name.substr(name.size() - 8) : "";
  if (!tail.empty() && tail.find_first_not_of("0123456789abcdef") == std::string::npos)
    id = static_cast<std::uint32_t>(std::stoul(tail, nullptr, 16));
  while (id == 0xffffffffu || names_.count(id))
    ++id;
  ids_[name] = id;
  names_[id] = name;
  return id;
}

// Its number follows from its name, should it come back. Where only draining binds it may still be
// asked.
void RequestBroker::forget_member(EndpointId id) {
  upstream_->remove_endpoint(id);
  const auto known = names_.find(id);
  ids_.erase(known->second);
  names_.erase(known);
}

void RequestBroker::update_endpoints(EndpointList::Kind kind,
                                     const std::vector<ListedEndpoint>& members) {
  const EventBatch hold(*this);
  EndpointList event;
  event.kind = kind;
  // Guards the descriptors and the tables: whoever a full list leaves out is gone as if it had said
  // so.
  if (kind == EndpointList::Kind::Full && !settings_.only_draining_is_binding) {
    std::set<std::string> named;
    for (const ListedEndpoint& listed : members)
      named.insert(listed.name);
    for (auto known = names_.begin(); known != names_.end();) {
      const auto& [id, name] = *known++;
      if (!named.count(name))
        forget_member(id);
    }
  }
  for (const ListedEndpoint& listed : members) {
    Endpoint member = listed.endpoint;
    member.id = id_of(listed.name);
    if (member.status != EndpointStatus::Removed)
      upstream_->add_endpoint(member.id, listed.address);
    else if (!settings_.only_draining_is_binding)
      forget_member(member.id);
    event.endpoints.push_back(std::move(member));
  }
  events_.emplace_back(std::move(event));
}

void RequestBroker::pump() {
  if (pumping_ || held_ > 0)
    return;
  pumping_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    std::vector<Action> actions;
    actions.swap(actions_);
    actions.clear();
    router_.handle(net::now(), event, actions);
    for (const Action& action : actions)
      perform(action);
    actions_.swap(actions);
  }
  pumping_ = false;
}

void RequestBroker::perform(const Action& action) {
  if (const auto* s = std::get_if<StartAttempt>(&action))
    return send(*s);
  if (const auto* probe = std::get_if<SendHealthCheck>(&action)) {
    probing_[probe->endpoint] = net::now();
    return upstream_->start_health_check(probe->endpoint);
  }
  if (const auto* timer = std::get_if<SetTimer>(&action))
    return timer_.at(timer->at);
  if (const auto* message = std::get_if<LogMessage>(&action))
    return net::log(logging::to_record(*message));
  if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    const auto job = jobs_.find(cancel->request_id);
    if (job != jobs_.end() && job->second.out && job->second.attempts == cancel->attempt + 1)
      upstream_->cancel_attempt(job->second.out);
    return;
  }
  const auto* refuse = std::get_if<RejectRequest>(&action);
  const auto* fail = std::get_if<FailRequest>(&action);
  if (!refuse && !fail)
    return;  // WatchList: the list is watched all the time
  const std::string& id = refuse ? refuse->request_id : fail->request_id;
  const auto job = jobs_.find(id);
  if (job == jobs_.end() || !job->second.call)
    return;
  ClientCall* call = job->second.call;
  complete_request(id);
  if (refuse)
    call->reject(refuse->retry_after);
  else
    call->fail();
}

void RequestBroker::send(const StartAttempt& action) {
  const auto found = jobs_.find(action.request_id);
  if (found == jobs_.end())
    return;
  Job& job = found->second;
  const Nanos now = net::now();
  const std::uint32_t attempt = job.attempts++;
  // Guards the rule on second attempts, whatever the module asked for: concluded, or one is still
  // out.
  if (!job.call || job.out) {
    AttemptResult outcome;
    outcome.request_id = action.request_id, outcome.attempt = attempt,
    outcome.endpoint = action.endpoint;
    outcome.status = AttemptStatus::NotSent;
    outcome.request_finished = !job.call;
    events_.emplace_back(std::move(outcome));
    return;
  }
  const AttemptId number = next_attempt_++;
  attempts_[number] = {action.request_id, attempt, action.endpoint, now};
  job.out = number;
  const Nanos until =
      action.timeout > 0 ? std::min(now + action.timeout, job.deadline) : job.deadline;
  upstream_->start_attempt(number, action.endpoint, *job.call, until);
}

}  // namespace gorsebeam::proxy
