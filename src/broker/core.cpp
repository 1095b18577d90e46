#include "core.h"

#include "net/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gorsebeam::broker {

namespace {
constexpr std::size_t kIdMost = 128;
}  // namespace

Core::Core(const Settings& settings, std::uint64_t seed)
    : settings_(settings), router_(settings, seed), timer_([this] {
        events_.emplace_back(TimerDue{});
        pump();
      }) {}

bool Core::take(Request request, Call& call) {
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

void Core::gone(const std::string& id) {
  const auto job = jobs_.find(id);
  if (job == jobs_.end() || !job->second.call)
    return;
  const Hold hold(*this);
  job->second.call = nullptr;
  --open_;
  events_.emplace_back(ClientGone{id});
  if (job->second.out)
    upstream_->withdraw(job->second.out);
  else
    jobs_.erase(job);
}

void Core::conclude(const std::string& id) {
  jobs_.at(id).call = nullptr;
  --open_;
  forget(id);
}

void Core::forget(const std::string& id) {
  const auto job = jobs_.find(id);
  if (job != jobs_.end() && !job->second.call && !job->second.out)
    jobs_.erase(job);
}

void Core::ended(AttemptId number, const Answer& answer) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end())
    return;
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const Hold hold(*this);
  Job& job = jobs_.at(attempt.id);
  job.out = 0;
  Call* call = job.call;
  const bool serves = answer.result == Result::Ok && call;
  Outcome outcome;
  outcome.id = attempt.id;
  outcome.attempt = attempt.number;
  outcome.member = attempt.member;
  outcome.result = answer.result;
  outcome.closed = serves || !call;
  outcome.elapsed = net::now() - attempt.sent_at;
  outcome.role = answer.role;
  outcome.position = answer.position;
  outcome.commit = answer.commit;
  outcome.report = answer.report;
  events_.emplace_back(std::move(outcome));
  if (!serves)
    return forget(attempt.id);
  conclude(attempt.id);
  call->served(answer.value);
}

bool Core::may_write(AttemptId number) {
  const auto attempt = attempts_.find(number);
  return attempt != attempts_.end() &&
         router_.may_write(net::now(), attempt->second.id, attempt->second.member);
}

void Core::probed(MemberId member, const Answer& answer) {
  const auto since = probing_.find(member);
  if (since == probing_.end())
    return;
  Probed event;
  event.member = member;
  event.ok = answer.result == Result::Ok;
  event.elapsed = net::now() - since->second;
  event.report = answer.report;
  probing_.erase(since);
  events_.emplace_back(event);
  pump();
}

// Members have numbers in the module, and all gateways must sort them alike: a name that ends in
// eight hex digits, as discovery's do, is that number; any other is hashed. A clash takes the next
// free number.
MemberId Core::id_of(const std::string& name) {
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
void Core::forget_member(MemberId id) {
  upstream_->removed(id);
  const auto known = names_.find(id);
  ids_.erase(known->second);
  names_.erase(known);
}

void Core::list(MemberList::Kind kind, const std::vector<Listed>& members) {
  const Hold hold(*this);
  MemberList event;
  event.kind = kind;
  // Guards the descriptors and the tables: whoever a full list leaves out is gone as if it had said
  // so.
  if (kind == MemberList::Kind::Full && !settings_.only_draining_binds) {
    std::set<std::string> named;
    for (const Listed& listed : members)
      named.insert(listed.name);
    for (auto known = names_.begin(); known != names_.end();) {
      const auto& [id, name] = *known++;
      if (!named.count(name))
        forget_member(id);
    }
  }
  for (const Listed& listed : members) {
    Member member = listed.member;
    member.id = id_of(listed.name);
    if (member.state != MemberState::Removed)
      upstream_->listed(member.id, listed.address);
    else if (!settings_.only_draining_binds)
      forget_member(member.id);
    event.members.push_back(std::move(member));
  }
  events_.emplace_back(std::move(event));
}

void Core::pump() {
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

void Core::perform(const Action& action) {
  if (const auto* s = std::get_if<Send>(&action))
    return send(*s);
  if (const auto* probe = std::get_if<Probe>(&action)) {
    probing_[probe->member] = net::now();
    return upstream_->probe(probe->member);
  }
  if (const auto* timer = std::get_if<SetTimer>(&action))
    return timer_.at(timer->at);
  if (const auto* text = std::get_if<Note>(&action))
    return net::log_line("module", text->text);
  if (const auto* cancel = std::get_if<Cancel>(&action)) {
    const auto job = jobs_.find(cancel->id);
    if (job != jobs_.end() && job->second.out && job->second.attempts == cancel->attempt + 1)
      upstream_->cancel(job->second.out);
    return;
  }
  const auto* refuse = std::get_if<Refuse>(&action);
  const auto* fail = std::get_if<Fail>(&action);
  if (!refuse && !fail)
    return;  // WatchList: the list is watched all the time
  const std::string& id = refuse ? refuse->id : fail->id;
  const auto job = jobs_.find(id);
  if (job == jobs_.end() || !job->second.call)
    return;
  Call* call = job->second.call;
  conclude(id);
  if (refuse)
    call->refused(refuse->retry_after);
  else
    call->failed();
}

void Core::send(const Send& action) {
  const auto found = jobs_.find(action.id);
  if (found == jobs_.end())
    return;
  Job& job = found->second;
  const Nanos now = net::now();
  const std::uint32_t attempt = job.attempts++;
  // Guards the rule on second attempts, whatever the module asked for: concluded, or one is still
  // out.
  if (!job.call || job.out) {
    Outcome outcome;
    outcome.id = action.id, outcome.attempt = attempt, outcome.member = action.member;
    outcome.result = Result::NotSent;
    outcome.closed = !job.call;
    events_.emplace_back(std::move(outcome));
    return;
  }
  const AttemptId number = next_attempt_++;
  attempts_[number] = {action.id, attempt, action.member, now};
  job.out = number;
  const Nanos until =
      action.timeout > 0 ? std::min(now + action.timeout, job.deadline) : job.deadline;
  upstream_->send(number, action.member, *job.call, until);
}

}  // namespace gorsebeam::broker
