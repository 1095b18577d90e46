/// Measures the cost of configuration that a control service pushes. The first part measures the
/// time from a push of members until they are in force, for several numbers of members. The second
/// part compares the latencies of requests while configuration versions are applied with those
/// while none are, in alternating rounds of one run.
#include "fake_control_plane/control_service.h"
#include "integration/test_harness.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace test_harness;
using namespace std::chrono_literals;
using fake_control_plane::ControlService;
namespace pb = gorsebeam::config::v1;

namespace {

/// Runs the event loop without pauses until `condition` holds. The harness's own functions check a
/// condition only every 5 ms, which is too coarse for a measurement.
void run_loop_until(const std::function<bool()>& condition) {
  while (!condition())
    g_main_context_iteration(nullptr, FALSE);
}

double ms_since(gint64 start) {
  return static_cast<double>(g_get_monotonic_time() - start) / 1000;
}

/// The value below which `fraction` of `values` lie; 0 if there are no values.
double quantile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

/// The harness's endpoints as members, and `extra_count` members more in other groups. The extra
/// ones are draining, so that the gateway sends them no health checks.
pb::Members make_members(const GatewayHarness& harness, std::uint64_t generation, int extra_count) {
  pb::Members members;
  members.set_generation(generation);
  for (const auto& endpoint : harness.endpoints) {
    pb::Member& member = *members.add_postgres();
    member.set_name(endpoint->name);
    member.set_address(endpoint->address);
    member.set_role(endpoint->listed_as_primary ? pb::Member::PRIMARY : pb::Member::REPLICA);
  }
  for (int i = 0; i < extra_count; ++i) {
    pb::Member& member = *members.add_postgres();
    member.set_name("extra-" + std::to_string(i));
    member.set_address("127.0.0.1:" + std::to_string(1 + i % 60000));
    member.set_group(1000 + static_cast<unsigned>(i) / 4);
    member.set_state(pb::Member::DRAINING);
  }
  return members;
}

pb::Contracts make_contracts(std::uint64_t generation) {
  constexpr int kTeamCount = 20;
  pb::Contracts contracts;
  contracts.set_generation(generation);
  for (int i = 0; i < kTeamCount; ++i) {
    pb::Team& team = *contracts.add_team();
    team.set_name(i == 0 ? "portal" : "team-" + std::to_string(i));
    team.mutable_budget()->set_per_second(1e6);
    for (const char* name : {"any", "save"})
      team.add_class_()->set_name(name);
  }
  return contracts;
}

/// Measures the time from a push of members until they are in force.
class PushLatencyBench {
public:
  PushLatencyBench(GatewayHarness& harness, ControlService& service)
      : harness_(harness), service_(service), client_(harness.connect_client()) {}

  void run() {
    std::printf("push until in force, ms: members, median, min, max of %d pushes (each push "
                "changes every extra member)\n",
                kPushCount);
    for (const int member_count : {10, 1000, 10000}) {
      const std::vector<double> durations = measure_pushes(member_count);
      std::printf("%d %.2f %.2f %.2f\n", member_count, quantile(durations, 0.5),
                  quantile(durations, 0), quantile(durations, 1));
      std::fflush(stdout);
    }
    ++generation_;
    static_cast<void>(
        service_.await_ack(service_.push(make_members(harness_, generation_, 0), "few")));
  }

private:
  static constexpr int kPushCount = 9;

  std::vector<double> measure_pushes(int member_count) {
    std::vector<double> durations;
    for (int i = 0; i < kPushCount; ++i) {
      run_main_loop_for(120ms);  // The gateway waits 50 ms between applying two versions.
      ++generation_;
      const int own_count = static_cast<int>(harness_.endpoints.size());
      pb::Members members = make_members(harness_, generation_, member_count - own_count);
      for (int j = own_count; j < members.postgres_size(); ++j)
        members.mutable_postgres(j)->set_size(1 + i % 2);  // Changes with each push.
      durations.push_back(measure_push(members));
    }
    return durations;
  }

  /// Pushes `members` and returns the time in ms until they are in force. That is the case at the
  /// latest when the gateway answers a request that arrived after its ACK, because the same event
  /// loop applies the members and answers requests.
  double measure_push(const pb::Members& members) {
    const gint64 start = g_get_monotonic_time();
    const std::string nonce = service_.push(members, "v");
    run_loop_until([&] {
      return service_.received_requests().back().nonce == nonce;
    });
    const std::string error = service_.received_requests().back().error;
    if (!error.empty())
      throw std::runtime_error("the gateway rejects the members: " + error);
    client_->send_request(read_request("p" + std::to_string(generation_)));
    run_loop_until([this] {
      return !client_->responses.empty();
    });
    client_->responses.pop_front();
    return ms_since(start);
  }

  GatewayHarness& harness_;
  ControlService& service_;
  std::unique_ptr<TestClient> client_;
  std::uint64_t generation_ = 0;
};

/// Sends requests at a constant rate over several connections and measures their latencies.
class PacedLoad {
public:
  explicit PacedLoad(GatewayHarness& harness) {
    constexpr int kClientCount = 16;
    for (int i = 0; i < kClientCount; ++i)
      clients_.push_back(harness.connect_client());
  }

  /// Sends the requests of one second and appends their latencies to `latencies`, each measured
  /// from the time at which the request was due to be sent.
  void run_round(std::vector<double>& latencies) {
    idle_clients_.clear();
    for (const auto& client : clients_)
      idle_clients_.push_back(client.get());
    round_start_ = g_get_monotonic_time();
    sent_count_ = 0;
    run_loop_until([&] {
      collect_responses(latencies);
      send_due_requests();
      return sent_count_ == kRequestsPerRound && in_flight_.empty();
    });
  }

private:
  static constexpr int kRequestsPerRound = 400;
  static constexpr gint64 kIntervalUs = 2500;

  struct InFlight {
    TestClient* client;
    gint64 due_at;
  };

  void collect_responses(std::vector<double>& latencies) {
    auto request = in_flight_.begin();
    while (request != in_flight_.end()) {
      if (request->client->responses.empty()) {
        ++request;
        continue;
      }
      latencies.push_back(ms_since(request->due_at));
      request->client->responses.pop_front();
      idle_clients_.push_back(request->client);
      request = in_flight_.erase(request);
    }
  }

  void send_due_requests() {
    const gint64 now = g_get_monotonic_time();
    while (sent_count_ < kRequestsPerRound && !idle_clients_.empty()) {
      const gint64 due_at = round_start_ + sent_count_ * kIntervalUs;
      if (now < due_at)
        return;
      TestClient* const client = idle_clients_.back();
      idle_clients_.pop_back();
      in_flight_.push_back({client, due_at});
      client->send_request(read_request("t" + std::to_string(next_id_)));
      ++next_id_;
      ++sent_count_;
    }
  }

  std::vector<std::unique_ptr<TestClient>> clients_;
  std::vector<TestClient*> idle_clients_;
  std::vector<InFlight> in_flight_;
  gint64 round_start_ = 0;
  int sent_count_ = 0;
  int next_id_ = 0;
};

/// How many configuration versions are pushed during a round.
enum class PushRate { None, FiftyPerSecond };

/// Measures request latencies with and without configuration versions that are applied meanwhile.
class RequestLatencyBench {
public:
  RequestLatencyBench(GatewayHarness& harness, ControlService& service)
      : service_(service), load_(harness) {}

  void run() {
    constexpr int kRoundPairs = 10;
    for (int i = 0; i < kRoundPairs; ++i) {
      run_round(PushRate::None);
      run_round(PushRate::FiftyPerSecond);
    }
    print("none", latencies_of(PushRate::None));
    print("50 versions a second", latencies_of(PushRate::FiftyPerSecond));
    std::printf("ratio of p99: %.3f\n", quantile(latencies_of(PushRate::FiftyPerSecond), 0.99) /
                                            quantile(latencies_of(PushRate::None), 0.99));
  }

private:
  void run_round(PushRate push_rate) {
    if (push_rate == PushRate::None) {
      load_.run_round(latencies_of(push_rate));
      return;
    }
    // The versions are pushed by another thread, so that the measured latencies include the work of
    // the gateway but not that of pushing.
    std::thread pusher([this] {
      push_versions();
    });
    load_.run_round(latencies_of(push_rate));
    pusher.join();
  }

  void push_versions() {
    constexpr int kPushCount = 50;
    constexpr gulong kIntervalUs = 20'000;
    for (int i = 0; i < kPushCount; ++i) {
      ++generation_;
      service_.push(make_contracts(generation_), "c");
      g_usleep(kIntervalUs);
    }
  }

  std::vector<double>& latencies_of(PushRate push_rate) {
    return latencies_.at(static_cast<std::size_t>(push_rate));
  }

  static void print(const char* label, const std::vector<double>& latencies) {
    std::printf(
        "%s: %zu requests, latency in ms: median %.3f p90 %.3f p99 %.3f p99.9 %.3f max %.3f\n",
        label, latencies.size(), quantile(latencies, 0.5), quantile(latencies, 0.9),
        quantile(latencies, 0.99), quantile(latencies, 0.999), quantile(latencies, 1));
  }

  ControlService& service_;
  PacedLoad load_;
  std::uint64_t generation_ = 0;  ///< Only the pushing thread changes it.
  std::array<std::vector<double>, 2> latencies_;
};

void run_benches() {
  GatewayHarness harness(postgres(), 3, 0);
  ControlService service;
  harness.write_operator_file("control_service { node: 'bench' address: '" + service.address() +
                              "' }");
  harness.start();
  wait_until(
      [&] {
        return service.received_requests().size() >= 3;
      },
      "the subscriptions");
  PushLatencyBench(harness, service).run();
  RequestLatencyBench(harness, service).run();
  harness.expect_invariants();
}

}  // namespace

int main() {
  throw_on_fatal_failures();
  try {
    run_benches();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_config: %s\n", error.what());
    return 1;
  }
}
