// Case: one of eight data hosts sends a second copy right behind its answers.
#include "cases.h"
#include "rig.h"

#include <atomic>
#include <iostream>
#include <random>

namespace rig {
namespace {

constexpr int kClients = 36;
constexpr double kMeanPauseMs = 40;  // between a client's requests: some 800 requests a second
constexpr double kDurationMs = 80'000;
constexpr int kEnough = 5;      // wrong answers after which the run ends
constexpr double kGapMs = 0.2;  // between an answer and its second copy

std::string code_of(int number) {
  return "00c0de" + std::to_string(1000 + number);
}

}  // namespace

int second_copy() {
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Listed> members;
  for (const int group : {1, 2}) {
    const auto log = std::make_shared<GroupLog>();
    for (int i = 0; i < 200; ++i)
      log->commit(code_of(i), "value of " + code_of(i));
    for (int i = 0; i < 4; ++i) {
      hosts.push_back(std::make_unique<Host>("s-000000" + std::to_string(group) + std::to_string(i),
                                             group, log, i == 0));
      hosts.back()->set_work_ms(4);
      members.push_back({hosts.back()->name(), hosts.back()->address(), group, "ready",
                         i == 0 ? "master" : "replica", 0, "a"});
    }
  }
  if (!without_trouble())
    hosts[2]->set_second_copy(1, kGapMs);  // a replica of group 1
  Agent agent;
  agent.set_list(2, members);
  Gateway gateway({}, agent.address(), members, "");
  if (!gateway.start() || !gateway.wait_ready(10000)) {
    std::cerr << gateway.log_text();
    return 2;
  }
  std::atomic<int> wrong{0};
  std::atomic<int> counts[5] = {};
  std::atomic<bool> stopped{false};
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i)
    threads.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      std::exponential_distribution<double> pause(1 / kMeanPauseMs);
      Client client(gateway.port());
      for (int n = 0; !stopped && client.is_open(); ++n) {
        const std::string id = new_id();
        const std::string code = code_of(static_cast<int>(random() % 200));
        const int group = 1 + n % 2;
        const char* const service_class = n % 3 == 0 ? "yield-chart" : "area-summary";
        const Answer answer =
            client.query(read_statement(service_class, 750, group, code, id), 1500);
        ++counts[static_cast<int>(answer.outcome)];
        if (answer.outcome == Outcome::Served && answer.value != "value of " + code)
          if (++wrong <= 50)
            record("RULE BROKEN: request " + id + " read " + code + " and was served '" +
                   answer.value + "'");
        sleep_ms(pause(random));
      }
    });
  for (double waited = 0; waited < kDurationMs && wrong < kEnough; waited += 100)
    sleep_ms(100);
  stopped = true;
  for (std::thread& thread : threads)
    thread.join();
  std::string summary = "requests:";
  for (int i = 0; i < 5; ++i)
    summary +=
        std::string(" ") + name_of(static_cast<Outcome>(i)) + " " + std::to_string(counts[i]) + ",";
  summary += " second copies " + std::to_string(hosts[2]->copies()) +
             ", served with the value of another request " + std::to_string(wrong);
  record(summary);
  std::cout << summary << '\n';
  gateway.stop();
  return wrong > 0 ? 1 : 0;
}

}  // namespace rig
