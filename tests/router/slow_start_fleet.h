/// Several routers that send to one group of endpoints in virtual time, for tests of what an
/// endpoint in slow start gets from all of them together.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace gorsebeam::router_test {

/// The requests per second that an endpoint can serve at full capacity.
constexpr double kFleetFullCapacity = 60;

/// The endpoint that starts again, and the fraction of its capacity that it has at its start.
constexpr EndpointId kStartedEndpoint = 3;
constexpr double kFleetInitialCapacity = 0.16;

/// Drives the routers. The endpoints 1 to 4 form one group. They serve requests with several
/// workers, more slowly while they are in slow start.
class SlowStartFleet {
public:
  /// `primary`: the endpoint that takes the writes. `demand`: requests per second that arrive at
  /// all routers together: reads, and two writes in ten.
  SlowStartFleet(int routers, EndpointId primary, double demand, std::uint64_t seed);

  /// Runs until `duration` from now.
  void run_for(Duration duration);

  /// From now on, so many requests per second arrive at all routers together.
  void set_demand(double requests_per_second) { demand_ = requests_per_second; }

  /// Lists endpoints of the group as removed, at all routers.
  void remove_endpoints(const std::vector<EndpointId>& ids);

  /// `kStartedEndpoint` started `age` ago, and all routers are notified of it.
  void list_started_endpoint(Duration age);

  /// Replaces a router by a new one, which knows the list and nothing else.
  void restart_router(std::size_t index);

  /// The highest number of attempts at `kStartedEndpoint` within an overload window, divided by the
  /// budget without slack, over all windows since its last start.
  [[nodiscard]] double highest_share_of_budget() const { return highest_share_; }

  /// Whether any window had more attempts than the budget and the operators' slack for chance.
  [[nodiscard]] bool has_failed() const { return has_failed_; }

  /// The number of attempts at `kStartedEndpoint` since its last start.
  [[nodiscard]] int started_endpoint_attempts() const { return attempts_; }

  [[nodiscard]] std::size_t router_count() const { return nodes_.size(); }

private:
  struct Node {
    std::unique_ptr<Router> router;
    std::uint64_t generation = 0;  ///< Counts the restarts, so that old events are ignored.
    TimePoint timer_at = kNever;
  };

  struct Task {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> run;

    bool operator<(const Task& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void schedule(TimePoint at, std::function<void()> run);
  void schedule_arrival();
  void send_request(std::size_t node);
  void deliver(std::size_t node, const Event& event);
  void perform(std::size_t node, const Action& action);
  void start_attempt(std::size_t node, const StartAttempt& attempt);
  void check_health(std::size_t node, EndpointId endpoint);
  void record_started_attempt();
  void publish_all();
  void publish(std::size_t node);
  [[nodiscard]] Duration serve(EndpointId endpoint);
  [[nodiscard]] double capacity(EndpointId endpoint) const;

  Settings settings_;
  std::vector<Node> nodes_;
  std::mt19937_64 random_;
  EndpointId primary_;
  double demand_;
  std::uint64_t seed_;
  TimePoint now_{1000s};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t next_request_ = 0;
  std::priority_queue<Task> tasks_;
  std::map<EndpointId, Endpoint> listed_;
  std::map<EndpointId, std::vector<TimePoint>> workers_free_at_;
  std::map<std::string, std::uint32_t> attempt_numbers_;
  TimePoint started_at_{};
  std::deque<TimePoint> window_;
  int attempts_ = 0;
  double highest_share_ = 0;
  bool has_failed_ = false;
};

}  // namespace gorsebeam::router_test
