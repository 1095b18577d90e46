/// Checks that the request broker and the router use bounded memory over hours of virtual time,
/// with endpoint changes, sessions, idempotency keys and restarts. Each round ends with an idle
/// period that is longer than any retention time, after which the heap must be at most 10 % larger
/// than after the second round. A seed determines the cluster and its faults; the router selects
/// the endpoint of each request.
///
/// Usage: soak [ROUNDS [SEED]]. The exit status is 0 if each request got exactly one response and
/// the heap grew by at most 10 %, and 1 otherwise.
#include "virtual_time.h"

#include "proxy/request_broker.h"
#include "router_settings.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

// The memory that operator new has allocated and operator delete has not yet released.
std::size_t heap_blocks = 0;
std::size_t heap_bytes = 0;

}  // namespace

void* operator new(std::size_t size) {
  void* block = std::malloc(size ? size : 1);
  if (!block)
    throw std::bad_alloc();
  ++heap_blocks;
  heap_bytes += malloc_usable_size(block);
  return block;
}

// std::stable_sort allocates with this operator. Without a replacement, it would allocate with the
// sanitizers' version, whereas the operator delete below would release the memory.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  try {
    return operator new(size);
  } catch (const std::bad_alloc&) {
    return nullptr;
  }
}

void operator delete(void* block) noexcept {
  if (!block)
    return;
  --heap_blocks;
  heap_bytes -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, std::size_t) noexcept {
  operator delete(block);
}

namespace {

using namespace gorsebeam;
constexpr Duration kBusyTime = 240s;
constexpr Duration kIdleTime = 150s;  // no state is kept for more than two minutes
constexpr int kGroups = 8;
constexpr int kEndpointsPerGroup = 4;

using Random = std::mt19937_64;

/// A client call that counts its final responses.
struct CountingClientCall : proxy::ClientCall {
  [[nodiscard]] bool may_have_disconnected() const override { return false; }

  int response_count = 0;

  proxy::ByteSpans body(Duration) override { return {"SELECT"}; }

  void respond(const proxy::ByteSpans&) override { ++response_count; }

  void reject(Duration) override { ++response_count; }

  void fail() override { ++response_count; }
};

/// The state of one simulated endpoint.
struct SimulatedEndpoint {
  proxy::ListedEndpoint listed;
  bool is_primary = false;
  bool is_silent = false;  // responds to nothing
};

/// A cluster of simulated endpoints and the clients of one request broker. It answers the attempts
/// that the broker starts.
class SimulatedCluster : public proxy::Upstream {
public:
  explicit SimulatedCluster(std::uint64_t seed)
      : random_(seed), broker_(std::make_unique<proxy::RequestBroker>(settings(), seed)) {
    broker_->attach(*this);
    for (int group = 0; group < kGroups; ++group)
      for (int i = 0; i < kEndpointsPerGroup; ++i)
        endpoints_.push_back(make_endpoint(static_cast<GroupId>(group), i == 0));
    update_all(EndpointList::Kind::Full);
  }

  /// Runs a busy period with requests and faults, then idle periods.
  void run_round() {
    const TimePoint start = net::now();
    for (TimePoint time = start; time < start + kBusyTime; time += 20ms)
      virtual_time::schedule(time, [this] {
        send_request();
      });
    for (TimePoint time = start + 1s; time < start + kBusyTime; time += 3s)
      virtual_time::schedule(time, [this] {
        inject_fault();
      });
    virtual_time::run_until(start + kBusyTime + kIdleTime);
    // Some state expires only when further requests arrive.
    for (int i = 0; i < 8; ++i)
      send_request();
    update_all(EndpointList::Kind::Full);
    virtual_time::run_until(start + kBusyTime + 2 * kIdleTime);
  }

  std::size_t request_count = 0;
  std::size_t requests_with_two_responses = 0;
  std::size_t requests_without_response = 0;

private:
  static Settings settings() {
    Settings settings = test_support::make_settings(LoadReportSource::Responses);
    const auto add = [&settings](const char* name, ConsistencyLevel level,
                                 Idempotency idempotency) {
      RequestClass c = test_support::make_request_class(name, level, idempotency);
      c.latency_objective = 300ms;
      c.deadline = 1000ms;
      c.max_staleness = 200ms;
      c.deduplication_window = 2s;
      settings.classes.push_back(c);
    };
    add("any", ConsistencyLevel::Eventual, Idempotency::Idempotent);
    add("bounded", ConsistencyLevel::BoundedStaleness, Idempotency::Idempotent);
    add("session", ConsistencyLevel::Session, Idempotency::Idempotent);
    add("fresh", ConsistencyLevel::Strong, Idempotency::Idempotent);
    add("keyed", ConsistencyLevel::Write, Idempotency::IdempotencyKey);
    settings.listed_role = ListedRole::AtStart;
    settings.slow_start_duration = 10s;
    settings.overload_duration = 1s;
    return settings;
  }

  static std::string format_number(const char* format, unsigned long long number) {
    std::array<char, 24> text{};
    const int length = std::snprintf(text.data(), text.size(), format, number);
    return {text.data(), static_cast<std::size_t>(length)};
  }

  static std::string name_of(std::uint32_t id) { return format_number("s-%08llx", id); }

  /// The session of the last request that had one, or a new session.
  std::uint64_t next_session() {
    if (draw() < 0.5)
      ++last_session_;
    return last_session_;
  }

  double draw() { return std::uniform_real_distribution<double>()(random_); }

  SimulatedEndpoint make_endpoint(GroupId group, bool is_primary) {
    const std::string name = name_of(++last_endpoint_number_);
    SimulatedEndpoint endpoint;
    endpoint.listed.name = name;
    endpoint.listed.address = "127.0.0.1:1";
    endpoint.listed.endpoint.group = group;
    endpoint.listed.endpoint.zone = last_endpoint_number_ % 3 ? "a" : "b";
    endpoint.listed.endpoint.started_at =
        last_endpoint_number_ > kGroups * kEndpointsPerGroup ? net::now() : TimePoint{};
    endpoint.listed.endpoint.listed_as_primary = is_primary;
    endpoint.is_primary = is_primary;
    return endpoint;
  }

  void update_all(EndpointList::Kind kind) {
    std::vector<proxy::ListedEndpoint> all;
    for (const SimulatedEndpoint& endpoint : endpoints_)
      all.push_back(endpoint.listed);
    broker_->update_endpoints(kind, all);
  }

  /// Replaces or restarts an endpoint, makes it silent or responsive, or makes it the primary of
  /// its group. Then adds and removes a group with a single endpoint.
  void inject_fault() {
    SimulatedEndpoint& endpoint = endpoints_[random_() % endpoints_.size()];
    const GroupId group = endpoint.listed.endpoint.group;
    const double fault = draw();
    if (fault < 0.4) {  // the endpoint is replaced by one with another name
      endpoint.listed.endpoint.status = EndpointStatus::Removed;
      broker_->update_endpoints(EndpointList::Kind::Delta, {endpoint.listed});
      const bool was_primary = endpoint.is_primary;
      endpoint = make_endpoint(group, was_primary);
      broker_->update_endpoints(EndpointList::Kind::Delta, {endpoint.listed});
    } else if (fault < 0.6) {
      endpoint.listed.endpoint.started_at = net::now();
      broker_->update_endpoints(EndpointList::Kind::Delta, {endpoint.listed});
    } else if (fault < 0.8) {
      for (SimulatedEndpoint& other : endpoints_)
        if (other.listed.endpoint.group == group)
          other.is_primary = &other == &endpoint;
    } else {
      endpoint.is_silent = !endpoint.is_silent;
    }
    if (draw() < 0.2)
      update_all(EndpointList::Kind::Full);
    // This group exists only as long as its single endpoint.
    SimulatedEndpoint temporary = make_endpoint(1000 + last_endpoint_number_, true);
    broker_->update_endpoints(EndpointList::Kind::Delta, {temporary.listed});
    send_request(temporary.listed.endpoint.group);
    temporary.listed.endpoint.status = EndpointStatus::Removed;
    broker_->update_endpoints(EndpointList::Kind::Delta, {temporary.listed});
  }

  void send_request() { send_request(static_cast<GroupId>(random_() % kGroups)); }

  void send_request(GroupId group) {
    Request request;
    request.id = format_number("%016llx", ++request_count);
    const std::string id = request.id;
    request.class_index = random_() % 5;
    request.group = group;
    request.deadline = net::now() + std::chrono::milliseconds(400 + random_() % 600);
    if (request.class_index == 2 || request.class_index == 4)
      request.session = next_session();
    auto client = std::make_shared<CountingClientCall>();
    const TimePoint deadline = request.deadline;
    if (broker_->begin_request(std::move(request), *client) != proxy::BeginResult::Begun) {
      ++requests_without_response;
      return;
    }
    if (draw() < 0.05) {
      virtual_time::schedule(net::now() + 30ms, [this, client, id] {
        if (client->response_count > 0)
          return;
        broker_->client_disconnected(id);
        ++client->response_count;  // stands for the response, of which the client expects no other
      });
    }
    virtual_time::schedule(deadline + 50ms, [this, client] {
      if (client->response_count == 0)
        ++requests_without_response;
      if (client->response_count > 1)
        ++requests_with_two_responses;
    });
  }

  void add_endpoint(EndpointId, const std::string&) override {}

  void remove_endpoint(EndpointId) override {}

  SimulatedEndpoint* find_endpoint(EndpointId id) {
    const std::string name = name_of(id);
    for (SimulatedEndpoint& endpoint : endpoints_)
      if (endpoint.listed.name == name)
        return &endpoint;
    return nullptr;
  }

  static proxy::UpstreamResponse make_response(const SimulatedEndpoint& endpoint) {
    proxy::UpstreamResponse response;
    response.status = AttemptStatus::Ok;
    response.role = endpoint.is_primary ? Role::Primary : Role::Replica;
    response.replication_position = position_at(net::now() - (endpoint.is_primary ? 0ms : 20ms));
    response.load_report = {response.replication_position, endpoint.is_primary};
    return response;
  }

  /// Maps a number drawn uniformly between 0 and 1 to the result of an attempt at a responsive
  /// endpoint.
  static AttemptStatus status_of(double outcome) {
    if (outcome < 0.06)
      return AttemptStatus::Error;
    if (outcome < 0.09)
      return AttemptStatus::Rejected;
    if (outcome < 0.12)
      return AttemptStatus::Reset;
    return outcome <= 0.15 ? AttemptStatus::ConnectFailed : AttemptStatus::Ok;
  }

  void start_attempt(proxy::AttemptId attempt, EndpointId endpoint, proxy::ClientCall&,
                     TimePoint deadline) override {
    const double outcome = draw();
    in_flight_.insert(attempt);
    const Duration duration = std::chrono::milliseconds(10 + random_() % 60);
    const SimulatedEndpoint* target = find_endpoint(endpoint);
    const bool times_out = target != nullptr && (target->is_silent || outcome < 0.03);
    const TimePoint end = times_out ? deadline : std::min(deadline, net::now() + duration);
    virtual_time::schedule(end, [this, attempt, endpoint, outcome, times_out] {
      end_attempt(attempt, endpoint, outcome, times_out);
    });
  }

  void end_attempt(proxy::AttemptId attempt, EndpointId endpoint, double outcome, bool times_out) {
    if (in_flight_.erase(attempt) == 0)
      return;
    const SimulatedEndpoint* source = find_endpoint(endpoint);
    proxy::UpstreamResponse response;
    if (source && times_out)
      response.status = AttemptStatus::Timeout;
    else if (source && status_of(outcome) == AttemptStatus::Ok)
      response = make_response(*source);
    else
      response.status = source ? status_of(outcome) : AttemptStatus::ConnectFailed;
    broker_->complete_attempt(attempt, response);
  }

  void start_health_check(EndpointId endpoint) override {
    virtual_time::schedule(net::now() + 5ms, [this, endpoint] {
      const SimulatedEndpoint* source = find_endpoint(endpoint);
      broker_->complete_health_check(endpoint, source && !source->is_silent
                                                   ? make_response(*source)
                                                   : proxy::UpstreamResponse{});
    });
  }

  void read_pending() override {}

  void cancel_attempt(proxy::AttemptId attempt) override {
    if (in_flight_.erase(attempt) == 0)
      return;
    proxy::UpstreamResponse response;
    response.status = AttemptStatus::Cancelled;
    broker_->complete_attempt(attempt, response);
  }

  // The request has been written, so the attempt continues without its call.
  void detach_call(proxy::AttemptId) override {}

  Random random_;
  unsigned last_endpoint_number_ = 0;
  std::uint64_t last_session_ = 1;
  std::vector<SimulatedEndpoint> endpoints_;
  std::set<proxy::AttemptId> in_flight_;
  std::unique_ptr<proxy::RequestBroker> broker_;
};

}  // namespace

int main(int argc, char** argv) {
  const int rounds = argc > 1 ? std::atoi(argv[1]) : 5;
  SimulatedCluster cluster(argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1);
  std::size_t baseline_blocks = 0;
  std::size_t baseline_bytes = 0;
  std::size_t max_blocks = 0;
  std::size_t max_bytes = 0;
  for (int round = 0; round < rounds; ++round) {
    cluster.run_round();
    std::printf("round %d: %zu requests, %zu heap blocks, %zu heap bytes, %zu scheduled steps\n",
                round, cluster.request_count, heap_blocks, heap_bytes, virtual_time::pending());
    if (round == 1) {
      baseline_blocks = heap_blocks;
      baseline_bytes = heap_bytes;
    }
    if (round >= 1) {
      max_blocks = std::max(max_blocks, heap_blocks);
      max_bytes = std::max(max_bytes, heap_bytes);
    }
  }
  std::printf(
      "%zu requests without a response, %zu with more than one; heap blocks grew from %zu to "
      "%zu, heap bytes from %zu to %zu; the limit is 10 %%\n",
      cluster.requests_without_response, cluster.requests_with_two_responses, baseline_blocks,
      max_blocks, baseline_bytes, max_bytes);
  // After an idle period, rounds differ only in the primaries, in the endpoints that the last
  // faults left silent and in the load factors of the hash tables. A growth of 10 % allows for
  // these.
  const bool has_grown = max_blocks > baseline_blocks + baseline_blocks / 10 ||
                         max_bytes > baseline_bytes + baseline_bytes / 10;
  return cluster.requests_without_response > 0 || cluster.requests_with_two_responses > 0 ||
                 has_grown
             ? 1
             : 0;
}
