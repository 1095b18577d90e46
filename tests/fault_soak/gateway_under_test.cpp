#include "gateway_under_test.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <sys/wait.h>
#include <utility>

namespace fault_soak {

using test_harness::ListedStatus;

namespace {

// SIGKILL comes no sooner after SIGTERM than the longest deadline, which counts as 3 s at most, and
// another 0.7 s.
constexpr Millis kMaxCountedDeadline = 3000;
constexpr Millis kKillDelay =
    std::min(std::max(kReadDeadline, kWriteDeadline), kMaxCountedDeadline) + 700;

}  // namespace

GatewayUnderTest::GatewayUnderTest(SoakContext& context, const FakeEndpointGroup& endpoints,
                                   int index, const std::string& parent_folder)
    : context_(context), endpoints_(endpoints), index_(index), agent_([this] {
        notify_oracle_of_list();
      }),
      process_(
          process_settings(context, index, parent_folder),
          [this] {
            handle_ready();
          },
          [this](int wait_status) {
            handle_exit(wait_status);
          }),
      statuses_known_to_oracle_(endpoints.endpoints().size(), ListedStatus::Up) {
  for (int i = 0; i < context_.settings.clients_per_gateway; ++i)
    clients_.push_back(std::make_unique<FakeClient>(context_, index_, process_,
                                                    FakeClient::Behavior::SendsRequests));
}

ProcessSettings GatewayUnderTest::process_settings(SoakContext& context, int index,
                                                   const std::string& parent_folder) {
  ProcessSettings settings;
  settings.program = context.settings.program;
  settings.shim = context.settings.shim;
  settings.folder = parent_folder + "/" + std::to_string(index);
  settings.index = index;
  settings.gateways = context.settings.gateways;
  settings.shim_seed = static_cast<unsigned>(context.traffic_random.next());
  std::filesystem::create_directory(settings.folder);
  return settings;
}

void GatewayUnderTest::start() {
  if (context_.is_run_over)
    return;
  is_ending_ = false;
  context_.oracle.gateway_started(index_, now_ms());
  statuses_known_to_oracle_.assign(statuses_known_to_oracle_.size(), ListedStatus::Up);
  // The oracle treats the agent's list as known to a new process from the start.
  if (agent_.is_serving())
    notify_oracle_of_list();
  process_.start(agent_.address());
}

void GatewayUnderTest::handle_ready() {
  for (const auto& client : clients_) {
    client->connect();
    context_.tasks.run_after(context_.traffic_random.between(5, 200), [&client = *client] {
      client.send_next_request();
    });
  }
}

void GatewayUnderTest::handle_exit(int wait_status) {
  const bool is_killed = WIFSIGNALED(wait_status) && WTERMSIG(wait_status) == SIGKILL;
  const bool is_clean = WIFEXITED(wait_status) && WEXITSTATUS(wait_status) == 0;
  if (!is_ending_ || (!is_killed && !is_clean))
    context_.report.violations.push_back({"crash",
                                          "gateway " + std::to_string(index_) +
                                              " ended with wait status " +
                                              std::to_string(wait_status),
                                          now_ms()});
  if (context_.is_run_over)
    return;
  context_.tasks.run_after(context_.traffic_random.between(20, 400), [this] {
    start();
  });
}

void GatewayUnderTest::notify_oracle_of_list() {
  for (const auto& endpoint : endpoints_.endpoints()) {
    if (endpoint->listed_status != ListedStatus::Removed)
      context_.oracle.endpoint_start_listed(index_, endpoint->index(), endpoint->listed_start_ms());
    ListedStatus& notified = statuses_known_to_oracle_[static_cast<std::size_t>(endpoint->index())];
    if (notified == endpoint->listed_status)
      continue;
    notified = endpoint->listed_status;
    if (notified == ListedStatus::Up)
      context_.oracle.endpoint_listed_as_up(index_, endpoint->index());
    else
      context_.oracle.endpoint_listed_as_draining(index_, endpoint->index(), now_ms());
  }
}

void GatewayUnderTest::publish_endpoints() {
  agent_.publish(endpoints_.list_for(index_));
}

void GatewayUnderTest::pause_for(Millis duration) {
  is_paused_ = true;
  process_.send_signal(SIGSTOP);
  context_.oracle.gateway_paused(index_, now_ms());
  context_.tasks.run_after(duration, [this] {
    is_paused_ = false;
    context_.oracle.gateway_resumed(index_, now_ms());
    process_.send_signal(SIGCONT);
  });
}

void GatewayUnderTest::terminate() {
  is_ending_ = true;
  context_.oracle.gateway_terminated(index_, now_ms());
  process_.send_signal(SIGTERM);
  run_in_process_after(kKillDelay, [this] {
    ++context_.report.fault_counts["kill after SIGTERM"];
    kill();
  });
}

void GatewayUnderTest::run_in_process_after(Millis delay, std::function<void()> task) {
  context_.tasks.run_after(delay, [this, start = process_.starts(), task = std::move(task)] {
    if (process_.is_running() && process_.starts() == start)
      task();
  });
}

void GatewayUnderTest::send_signal_after(Millis delay, int number) {
  run_in_process_after(delay, [this, number] {
    process_.send_signal(number);
  });
}

void GatewayUnderTest::pause_after(Millis delay, Millis duration) {
  run_in_process_after(delay, [this, duration] {
    if (!is_paused_)
      pause_for(duration);
  });
}

void GatewayUnderTest::kill() {
  is_ending_ = true;
  context_.oracle.gateway_killed(index_, now_ms());
  process_.send_signal(SIGKILL);
}

void GatewayUnderTest::reload_with_moved_agent() {
  agent_.move_to_new_address();
  process_.write_config(agent_.address());
  process_.send_signal(SIGHUP);
}

void GatewayUnderTest::open_idle_connections(int count) {
  for (int i = 0; i < count; ++i) {
    idle_clients_.push_back(
        std::make_unique<FakeClient>(context_, index_, process_, FakeClient::Behavior::Idle));
    idle_clients_.back()->connect();
  }
}

void GatewayUnderTest::finish() {
  is_ending_ = true;
  process_.send_signal(SIGCONT);
  process_.send_signal(SIGTERM);
}

}  // namespace fault_soak
