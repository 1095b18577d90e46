/// Measures what configuration from a control service costs: the time from a push to the change in
/// force, by the number of members, and the tail of request latencies while versions are applied,
/// against none, in turns within one run.
#include "fake_control_plane/control_service.h"
#include "integration/test_harness.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <thread>

using namespace test_harness;
using namespace std::chrono_literals;
using fake_control_plane::ControlService;
namespace pb = gorsebeam::config::v1;

namespace {

/// Runs the event loop without pauses, as the harness's own waits look only every 5 ms.
void run_loop_until(const std::function<bool()>& condition) {
  while (!condition())
    g_main_context_iteration(nullptr, FALSE);
}

double ms_since(gint64 start) {
  return static_cast<double>(g_get_monotonic_time() - start) / 1000;
}

/// The value below which `share` of `values` lie; 0 where there are none.
double quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values.empty()
             ? 0
             : values[std::min(values.size() - 1, static_cast<std::size_t>(
                                                      share * static_cast<double>(values.size())))];
}

pb::Members members(const GatewayHarness& harness, std::uint64_t generation, int more) {
  pb::Members m;
  m.set_generation(generation);
  for (const auto& endpoint : harness.endpoints) {
    pb::Member& one = *m.add_postgres();
    one.set_name(endpoint->name), one.set_address(endpoint->address);
    one.set_role(endpoint->listed_as_primary ? pb::Member::PRIMARY : pb::Member::REPLICA);
  }
  for (int i = 0; i < more; ++i) {  // in other groups, draining, so that nobody probes them
    pb::Member& one = *m.add_postgres();
    one.set_name("crowd-" + std::to_string(i)),
        one.set_address("127.0.0.1:" + std::to_string(1 + i % 60000));
    one.set_group(1000 + static_cast<unsigned>(i) / 4), one.set_state(pb::Member::DRAINING);
  }
  return m;
}

pb::Contracts contracts(std::uint64_t generation) {
  pb::Contracts c;
  c.set_generation(generation);
  for (int t = 0; t < 20; ++t) {
    pb::Team& team = *c.add_team();
    team.set_name(t == 0 ? "portal" : "team-" + std::to_string(t));
    team.mutable_budget()->set_per_second(1e6);
    for (const char* name : {"any", "save"})
      team.add_class_()->set_name(name);
  }
  return c;
}

/// Index 0: no versions applied meanwhile; index 1: 50 a second.
void print_latencies(std::array<std::vector<double>, 2>& times) {
  for (const int applies : {0, 1})
    std::printf("%s: %zu requests, ms median %.3f p90 %.3f p99 %.3f p99.9 %.3f most %.3f\n",
                applies ? "50 versions a second" : "none", times.at(applies).size(),
                quantile(times.at(applies), 0.5), quantile(times.at(applies), 0.9),
                quantile(times.at(applies), 0.99), quantile(times.at(applies), 0.999),
                quantile(times.at(applies), 1));
  std::printf("ratio of p99: %.3f\n", quantile(times[1], 0.99) / quantile(times[0], 0.99));
}

}  // namespace

int main() {
  throw_on_fatal_failures();
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
  std::uint64_t generation = 0;

  // A push is in force at the latest when a request is answered that came in after its
  // acknowledgement: one loop does both. The pause of 50 ms between runs is waited out before.
  std::printf("push to in force, ms: members, median, least, most of 9 (each changes every member "
              "or none)\n");
  const auto client = harness.connect_client();
  for (const int count : {10, 1000, 10000}) {
    std::vector<double> took;
    for (int i = 0; i < 9; ++i) {
      run_main_loop_for(120ms);
      pb::Members m = members(harness, ++generation, count - 3);
      for (int j = 3; j < m.postgres_size(); ++j)
        m.mutable_postgres(j)->set_size(1 + i % 2);  // all differ
      const gint64 start = g_get_monotonic_time();
      const std::string nonce = service.push(m, "v");
      run_loop_until([&] {
        return service.received_requests().back().nonce == nonce;
      });
      if (!service.received_requests().back().error.empty())
        return 1;
      client->send_request({"p" + std::to_string(generation), "any", "", 2000, false});
      run_loop_until([&] {
        return !client->responses.empty();
      });
      client->responses.pop_front();
      took.push_back(ms_since(start));
    }
    std::printf("%d %.2f %.2f %.2f\n", count, quantile(took, 0.5), quantile(took, 0),
                quantile(took, 1));
    std::fflush(stdout);
  }
  static_cast<void>(service.await_ack(service.push(members(harness, ++generation, 0), "few")));

  // Turns of one second with and without 50 versions a second, four clients asking at a steady pace
  // of 400 a second.
  std::array<std::vector<double>, 2> times;
  std::vector<std::unique_ptr<TestClient>> clients;
  clients.reserve(16);
  for (int i = 0; i < 16; ++i)
    clients.push_back(harness.connect_client());
  int number = 0;
  std::uint64_t version = 0;
  for (int turn = 0; turn < 20; ++turn) {
    const bool applies = turn % 2 == 1;
    const gint64 start = g_get_monotonic_time();
    int asked = 0;
    // Pushed from a thread of its own, so that what is measured is the gateway and not the pushing.
    std::thread pusher([&] {
      for (int pushed = 0; applies && pushed < 50; ++pushed) {
        service.push(contracts(++version), "c");
        g_usleep(20'000);
      }
    });

    struct Out {
      TestClient* client;
      gint64 due;
    };

    std::vector<Out> out;
    std::vector<TestClient*> free;
    free.reserve(clients.size());
    for (const auto& c : clients)
      free.push_back(c.get());
    run_loop_until([&] {
      const gint64 now = g_get_monotonic_time();
      for (std::size_t i = 0; i < out.size();) {
        if (out[i].client->responses.empty()) {
          ++i;
          continue;
        }
        times.at(applies ? 1 : 0)
            .push_back(ms_since(out[i].due));  // from when it should have gone out
        out[i].client->responses.pop_front();
        free.push_back(out[i].client);
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
      }
      while (asked < 400 && now >= start + asked * 2500 && !free.empty()) {
        out.push_back({free.back(), start + asked * 2500});
        free.back()->send_request({"t" + std::to_string(number++), "any", "", 2000, false});
        free.pop_back();
        ++asked;
      }
      return asked == 400 && out.empty();
    });
    pusher.join();
  }
  print_latencies(times);
  harness.expect_invariants();
}
