// What is kept has an end: hours of members, sessions, keys and restarts through the core and the
// module, in virtual time. At the end of each part the world is quiet for longer than anything is
// kept, and what the heap holds is counted: it has to be what it was. The world is invented here
// and drawn by a seed; who is asked what is the module's business.
#include "proxy/request_broker.h"
#include "virtual_time.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

std::size_t blocks = 0, bytes = 0;  // on the heap, by new

}  // namespace

void* operator new(std::size_t size) {
  void* at = std::malloc(size ? size : 1);
  if (!at)
    throw std::bad_alloc();
  ++blocks;
  bytes += malloc_usable_size(at);
  return at;
}

// Also what sorts ask for; without it the sanitizers' own would give what is taken back here.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  try {
    return operator new(size);
  } catch (const std::bad_alloc&) {
    return nullptr;
  }
}

void operator delete(void* at) noexcept {
  if (!at)
    return;
  --blocks;
  bytes -= malloc_usable_size(at);
  std::free(at);
}

void operator delete(void* at, std::size_t) noexcept {
  operator delete(at);
}

namespace {

using namespace gorsebeam;
constexpr Nanos kMs = 1'000'000, kSecond = 1000 * kMs;
constexpr Nanos kBusy = 240 * kSecond,
                kQuiet = 150 * kSecond;  // of a part; nothing is kept for over two minutes
constexpr int kGroups = 8, kMembers = 4;

using Random = std::mt19937_64;

struct Client : proxy::ClientCall {
  int answers = 0;

  proxy::Parts body(Nanos) override { return {"SELECT"}; }

  void respond(const proxy::Parts&) override { ++answers; }

  void reject(Nanos) override { ++answers; }

  void fail() override { ++answers; }
};

struct Machine {
  proxy::ListedEndpoint listed;
  bool primary = false, silent = false;
};

class World : public proxy::Upstream {
public:
  explicit World(std::uint64_t seed)
      : random_(seed), core_(std::make_unique<proxy::RequestBroker>(settings(), seed)) {
    core_->attach(*this);
    for (int group = 0; group < kGroups; ++group)
      for (int i = 0; i < kMembers; ++i)
        machines_.push_back(fresh(static_cast<GroupId>(group), i == 0));
    tell(EndpointList::Kind::Full);
  }

  void part() {  // a busy time, then silence
    const Nanos start = net::now();
    for (Nanos at = start; at < start + kBusy; at += 20 * kMs)
      virtual_time::at(at, [this] {
        ask();
      });
    for (Nanos at = start + kSecond; at < start + kBusy; at += 3 * kSecond)
      virtual_time::at(at, [this] {
        trouble();
      });
    virtual_time::run_until(start + kBusy + kQuiet);
    // One request more: what is forgotten as others come is forgotten now.
    for (int i = 0; i < 8; ++i)
      ask();
    tell(EndpointList::Kind::Full);
    virtual_time::run_until(start + kBusy + 2 * kQuiet);
  }

  std::size_t asked = 0, twice = 0, unanswered = 0;

private:
  static Settings settings() {
    Settings s;
    const auto add = [&s](const char* name, ConsistencyLevel level, Idempotency idempotency) {
      RequestClass c;
      c.name = name, c.consistency = level, c.idempotency = idempotency;
      c.latency_objective = 300 * kMs, c.deadline = 1000 * kMs, c.max_staleness = 200 * kMs,
      c.deduplication_window = 2 * kSecond;
      c.deduplication_scope = DeduplicationScope::Group;
      s.classes.push_back(c);
    };
    add("any", ConsistencyLevel::Eventual, Idempotency::Idempotent);
    add("bounded", ConsistencyLevel::BoundedStaleness, Idempotency::Idempotent);
    add("session", ConsistencyLevel::Session, Idempotency::Idempotent);
    add("fresh", ConsistencyLevel::Strong, Idempotency::Idempotent);
    add("keyed", ConsistencyLevel::Write, Idempotency::IdempotencyKey);
    s.load_report_source = LoadReportSource::Responses;
    s.load_reports_hold_positions = s.load_reports_hold_roles = true;
    s.max_attempts = 4;
    s.listed_role = ListedRole::AtStart;
    s.slow_start_duration = 10 * kSecond, s.slow_start_initial_capacity = 0.2,
    s.overload_duration = kSecond, s.overload_factor = 2;
    return s;
  }

  double draw() { return std::uniform_real_distribution<double>()(random_); }

  Machine fresh(GroupId group, bool primary) {
    char name[24];
    std::snprintf(name, sizeof name, "s-%08x", ++named_);
    Machine machine;
    machine.listed.name = name;
    machine.listed.address = "127.0.0.1:1";
    machine.listed.endpoint.group = group;
    machine.listed.endpoint.zone = named_ % 3 ? "a" : "b";
    machine.listed.endpoint.started_at = named_ > kGroups * kMembers ? net::now() : 0;
    machine.listed.endpoint.listed_as_primary = primary;
    machine.primary = primary;
    return machine;
  }

  void tell(EndpointList::Kind kind) {
    std::vector<proxy::ListedEndpoint> all;
    for (const Machine& machine : machines_)
      all.push_back(machine.listed);
    core_->update_endpoints(kind, all);
  }

  // Replaced, restarted, silent or awake again; primaries change within their groups.
  void trouble() {
    Machine& machine = machines_[random_() % machines_.size()];
    const GroupId group = machine.listed.endpoint.group;
    const double what = draw();
    if (what < 0.4) {  // under a new name
      machine.listed.endpoint.status = EndpointStatus::Removed;
      core_->update_endpoints(EndpointList::Kind::Delta, {machine.listed});
      const bool primary = machine.primary;
      machine = fresh(group, primary);
      core_->update_endpoints(EndpointList::Kind::Delta, {machine.listed});
    } else if (what < 0.6) {
      machine.listed.endpoint.started_at = net::now();
      core_->update_endpoints(EndpointList::Kind::Delta, {machine.listed});
    } else if (what < 0.8) {
      for (Machine& other : machines_)
        if (other.listed.endpoint.group == group)
          other.primary = &other == &machine;
    } else {
      machine.silent = !machine.silent;
    }
    if (draw() < 0.2)
      tell(EndpointList::Kind::Full);
    // A group that comes and goes with its only member.
    Machine lone = fresh(1000 + named_, true);
    core_->update_endpoints(EndpointList::Kind::Delta, {lone.listed});
    ask(lone.listed.endpoint.group);
    lone.listed.endpoint.status = EndpointStatus::Removed;
    core_->update_endpoints(EndpointList::Kind::Delta, {lone.listed});
  }

  void ask() { ask(static_cast<GroupId>(random_() % kGroups)); }

  void ask(GroupId group) {
    Request request;
    char id[24];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++asked));
    request.id = id;
    request.class_index = random_() % 5;
    request.group = group;
    request.deadline = net::now() + static_cast<Nanos>(400 + random_() % 600) * kMs;
    if (request.class_index == 2 || request.class_index == 4)
      request.session = sessions_ += draw() < 0.5;
    auto client = std::make_shared<Client>();
    const Nanos deadline = request.deadline;
    if (!core_->begin_request(std::move(request), *client))
      return void(++unanswered);
    if (draw() < 0.05) {
      virtual_time::at(net::now() + 30 * kMs, [this, client, name = std::string(id)] {
        if (client->answers == 0)
          core_->client_disconnected(name), ++client->answers;
      });
    }
    virtual_time::at(deadline + 50 * kMs, [this, client] {
      unanswered += client->answers == 0;
      twice += client->answers > 1;
    });
  }

  void add_endpoint(EndpointId, const std::string&) override {}

  void remove_endpoint(EndpointId) override {}

  Machine* machine(EndpointId member) {
    char name[24];
    std::snprintf(name, sizeof name, "s-%08x", member);
    for (Machine& machine : machines_)
      if (machine.listed.name == name)
        return &machine;
    return nullptr;
  }

  proxy::UpstreamResponse answer_of(const Machine& machine) {
    proxy::UpstreamResponse answer;
    answer.status = AttemptStatus::Ok;
    answer.role = machine.primary ? Role::Primary : Role::Replica;
    answer.replication_position = net::now() - (machine.primary ? 0 : 20 * kMs);
    answer.load_report = {answer.replication_position, machine.primary};
    return answer;
  }

  void start_attempt(proxy::AttemptId attempt, EndpointId member, proxy::ClientCall&,
                     Nanos until) override {
    const double luck = draw();
    out_.insert(attempt);
    const Nanos takes = static_cast<Nanos>(10 + random_() % 60) * kMs;
    const Machine* at = machine(member);
    const bool never = at && (at->silent || luck < 0.03);
    virtual_time::at(never ? until : std::min(until, net::now() + takes),
                     [this, attempt, member, luck, never] {
                       if (!out_.erase(attempt))
                         return;
                       const Machine* from = machine(member);
                       proxy::UpstreamResponse answer;
                       if (from && !never && luck > 0.15)
                         answer = answer_of(*from);
                       answer.status = !from          ? AttemptStatus::ConnectFailed
                                       : never        ? AttemptStatus::Timeout
                                       : luck < 0.06  ? AttemptStatus::Error
                                       : luck < 0.09  ? AttemptStatus::Rejected
                                       : luck < 0.12  ? AttemptStatus::Reset
                                       : luck <= 0.15 ? AttemptStatus::ConnectFailed
                                                      : AttemptStatus::Ok;
                       core_->complete_attempt(attempt, answer);
                     });
  }

  void start_health_check(EndpointId member) override {
    virtual_time::at(net::now() + 5 * kMs, [this, member] {
      const Machine* from = machine(member);
      core_->complete_health_check(member, from && !from->silent ? answer_of(*from)
                                                                 : proxy::UpstreamResponse{});
    });
  }

  void cancel_attempt(proxy::AttemptId attempt) override {
    if (!out_.erase(attempt))
      return;
    proxy::UpstreamResponse answer;
    answer.status = AttemptStatus::Cancelled;
    core_->complete_attempt(attempt, answer);
  }

  void detach_call(proxy::AttemptId) override {}  // written already: it ends in its time

  Random random_;
  unsigned named_ = 0;
  std::uint64_t sessions_ = 1;
  std::vector<Machine> machines_;
  std::set<proxy::AttemptId> out_;
  std::unique_ptr<proxy::RequestBroker> core_;
};

}  // namespace

int main(int argc, char** argv) {
  const int parts = argc > 1 ? std::atoi(argv[1]) : 5;
  World world(argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1);
  std::size_t first_blocks = 0, most_blocks = 0, first_bytes = 0, most_bytes = 0;
  for (int part = 0; part < parts; ++part) {
    world.part();
    std::printf("part %d: %zu asked, %zu blocks, %zu bytes, %zu steps pending\n", part, world.asked,
                blocks, bytes, virtual_time::pending());
    if (part == 1)
      first_blocks = blocks, first_bytes = bytes;
    if (part >= 1)
      most_blocks = std::max(most_blocks, blocks), most_bytes = std::max(most_bytes, bytes);
  }
  std::printf("%zu unanswered, %zu answered twice; blocks %zu to %zu, bytes %zu to %zu\n",
              world.unanswered, world.twice, first_blocks, most_blocks, first_bytes, most_bytes);
  // Equal parts in equal worlds: what differs is who is primary, whom the last draws left silent,
  // and full buckets.
  const bool kept =
      most_blocks > first_blocks + first_blocks / 10 || most_bytes > first_bytes + first_bytes / 10;
  return world.unanswered || world.twice || kept ? 1 : 0;
}
