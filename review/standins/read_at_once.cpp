// Case: session reads that carry the session's last commit, while the replicas apply the log
// slowly.
#include "cases.h"
#include "rig.h"

#include <atomic>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <random>

namespace rig {
namespace {

constexpr int kClients = 30;
constexpr double kMeanGapMs = 140;   // between a session's write and its read
constexpr double kMeanPauseMs = 30;  // between a read and the next write
constexpr double kUsualLagMs = 8;    // of a replica
constexpr double kSlowMs = 10'000;   // how long the replicas apply the log slowly
constexpr double kSlowSpeed = 0.18;  // busy for 55% of the time, and ten times as slow
constexpr double kUsualSpeed = 1.8;  // with which a replica catches up
constexpr double kQuietMs = 3'000;   // before each time of slowness
constexpr double kMaxCatchUpMs = 14'000;
constexpr int kSlowTimes = 3;
constexpr double kSlackMs = 50;  // which the protocol page adds to each time limit

using Hosts = std::vector<std::unique_ptr<Host>>;

/// Sets the position of all replicas from a function of the elapsed time, until it returns false.
template <typename Position>
void drive_replicas(Hosts& hosts, Position&& position) {
  const double begin = unix_ms();
  while (const std::optional<double> at = position(unix_ms() - begin)) {
    for (std::size_t i = 1; i < hosts.size(); ++i)
      hosts[i]->set_frozen_at(*at);
    sleep_ms(5);
  }
}

void slow_replicas_down(Hosts& hosts) {
  record("the replicas apply the log ten times more slowly");
  const double from = unix_ms() - kUsualLagMs;
  drive_replicas(hosts, [from](double elapsed) {
    return elapsed < kSlowMs ? std::optional(from + kSlowSpeed * elapsed) : std::nullopt;
  });
  record("the replicas apply the log at their usual speed");
  const double behind = hosts[1]->position_ms();
  drive_replicas(hosts, [behind](double elapsed) {
    const double at = behind + kUsualSpeed * elapsed;
    const bool is_behind = elapsed < kMaxCatchUpMs && at < unix_ms() - kUsualLagMs;
    return is_behind ? std::optional(at) : std::nullopt;
  });
  for (std::size_t i = 1; i < hosts.size(); ++i)
    hosts[i]->set_frozen_at(0);
}

}  // namespace

int read_at_once() {
  const auto log = std::make_shared<GroupLog>();
  std::mutex mutex;
  std::map<std::string, double> carried;  // the position that a read carries, by its id
  std::atomic<int> stale{0};
  std::atomic<int> reads_at_replicas{0};
  double worst = 0;
  Hosts hosts;
  std::vector<Listed> members;
  for (int i = 0; i < 5; ++i) {
    hosts.push_back(std::make_unique<Host>("s-0000000" + std::to_string(i + 1), 1, log, i == 0));
    Host* const host = hosts.back().get();
    host->set_work_ms(2);
    host->set_lag_ms(kUsualLagMs);
    host->report_only_to_probes();
    host->after = [&, host](const Served& served) {
      const std::lock_guard<std::mutex> lock(mutex);
      const auto found = carried.find(served.id);
      if (found == carried.end() || host->is_primary())
        return;
      ++reads_at_replicas;
      const double missing = found->second - served.position_ms;
      if (missing <= kSlackMs)
        return;
      worst = std::max(worst, missing);
      ++stale;
      record("RULE BROKEN: read " + served.id + " was sent to " + served.host +
             ", a replica that stands " + std::to_string(static_cast<int>(missing)) +
             " ms before the position that the read carries");
    };
    members.push_back(
        {host->name(), host->address(), 1, "ready", i == 0 ? "master" : "replica", 0, "a"});
  }
  Agent agent;
  agent.set_list(2, members);
  Deployment deployment;
  deployment.second_site = true;
  deployment.token_mode = "brought";
  deployment.report_via = "probe";
  Gateway gateway(deployment, agent.address(), members, "");
  if (!gateway.start() || !gateway.wait_ready(10000)) {
    std::cerr << gateway.log_text();
    return 2;
  }

  std::atomic<bool> stopped{false};
  std::atomic<int> counts[5] = {};
  std::atomic<int> unseen{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i)
    threads.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      std::exponential_distribution<double> gap(1 / kMeanGapMs);
      std::exponential_distribution<double> pause(1 / kMeanPauseMs);
      Client client(gateway.port());
      for (int n = 0; !stopped && client.is_open(); ++n) {
        char session[32];
        std::snprintf(session, sizeof session, "%016x", 0x10000 * (i + 1) + n);
        const Answer written =
            client.query(write_statement("submit-filing", 5000, 1, session, new_id(), ""), 5500);
        ++counts[static_cast<int>(written.outcome)];
        if (written.outcome != Outcome::Served) {
          sleep_ms(pause(random));
          continue;
        }
        // The commit in milliseconds, rounded up, as the data host tells it in its answer.
        const double after = std::ceil(log->last_commit(session));
        const std::string id = new_id();
        {
          const std::lock_guard<std::mutex> lock(mutex);
          carried[id] = after;
        }
        char extra[48];
        std::snprintf(extra, sizeof extra, ",after=%.0f", after);
        const double wait = gap(random);
        if (wait >= 0.1)  // a shorter sleep would take longer than it says
          sleep_ms(wait);
        const Answer read =
            client.query(read_statement("own-draft-read", 2000, 1, session, id, extra), 2600);
        ++counts[static_cast<int>(read.outcome)];
        unseen += read.outcome == Outcome::Served && read.value != written.value ? 1 : 0;
        sleep_ms(pause(random));
      }
    });
  for (int i = 0; i < kSlowTimes; ++i) {
    sleep_ms(kQuietMs);
    if (without_trouble())
      sleep_ms(kSlowMs + kMaxCatchUpMs);
    else
      slow_replicas_down(hosts);
  }
  stopped = true;
  for (std::thread& thread : threads)
    thread.join();

  std::string summary = "requests:";
  for (int i = 0; i < 5; ++i)
    summary +=
        std::string(" ") + name_of(static_cast<Outcome>(i)) + " " + std::to_string(counts[i]) + ",";
  summary += " session reads at replicas " + std::to_string(reads_at_replicas) +
             ", stale by over " + std::to_string(static_cast<int>(kSlackMs)) + " ms " +
             std::to_string(stale) + " (at most " + std::to_string(static_cast<int>(worst)) +
             " ms), clients that did not see their own write " + std::to_string(unseen);
  record(summary);
  std::cout << summary << '\n';
  gateway.stop();
  return stale > 0 ? 1 : 0;
}

}  // namespace rig
