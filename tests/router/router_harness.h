/// Drives one Router through its public interface in virtual time, with settings of its own.
#pragma once

#include "gorsebeam/router.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gorsebeam::router_test {

/// RouterHarness::attempted_endpoint returns this id if there is no attempt. No test lists an
/// endpoint with it.
constexpr EndpointId kNoEndpoint = 0;

/// Indices of the classes of default_settings().
constexpr std::size_t kEventualRead = 0;
constexpr std::size_t kBoundedRead = 1;  ///< Its maximum staleness is one second.
constexpr std::size_t kSessionRead = 2;
constexpr std::size_t kStrongRead = 3;
constexpr std::size_t kPlainWrite = 4;  ///< Not idempotent.
constexpr std::size_t kKeyedWrite = 5;  ///< Deduplicated by its group for 1.5 s.

/// One class of each kind, with a latency objective of 300 ms and a deadline of 2 s.
Settings default_settings();

/// An endpoint of group 0 that is up.
Endpoint make_endpoint(EndpointId id, TimePoint started_at = {});

/// An endpoint of group 0 that is listed as draining.
Endpoint make_draining_endpoint(EndpointId id);

/// Whether an attempt's end is also the final answer to its request.
enum class RequestState { Open, Finished };

/// Delivers events to a Router and keeps the resulting actions.
class RouterHarness {
public:
  explicit RouterHarness(Settings settings = default_settings(), std::uint64_t seed = 42);

  /// Delivers an event and replaces `actions` by the resulting actions.
  void deliver(const Event& event);

  /// Delivers an event and appends the resulting actions to `actions`.
  void deliver_keeping_actions(const Event& event);

  /// Advances the clock in steps of 10 ms and delivers a TimerExpired at each; appends to
  /// `actions`.
  void run_timers_for(Duration time);

  void deliver_list(std::vector<Endpoint> endpoints,
                    EndpointList::Kind kind = EndpointList::Kind::Full);

  /// Delivers a successful health check that reports the endpoint's role and a replication position
  /// `lag` before the present.
  void report_health(EndpointId id, Role role, Duration lag);

  void fail_health_check(EndpointId id);

  /// Lists a group of healthy endpoints: the primary 1, and the replicas 2, 3 and 4, which lag by
  /// 20 ms.
  void list_healthy_group();

  /// Sends a request with a deadline in 2 s to group 0 and returns its id. `session_token_age` is
  /// the age of the session's last commit; negative if that lies ahead of the router's clock.
  std::string send_request(std::size_t class_index, std::optional<std::uint64_t> session = {},
                           std::optional<Duration> session_token_age = {});

  /// Ends an attempt. If the status is Ok or Misdirected, endpoint 1 reports that it is the
  /// primary, and every other endpoint that it is a replica.
  void end_attempt(const std::string& request_id, EndpointId endpoint, AttemptStatus status,
                   RequestState state = RequestState::Open, Duration elapsed = 10ms,
                   std::uint32_t attempt = 0);

  /// Ends a request's first attempt with its final answer.
  void answer(const std::string& request_id, EndpointId endpoint, Duration elapsed = 10ms);

  /// Ends a write's first attempt: endpoint 1 refuses it, as it has become a replica.
  void reject_write_as_replica(const std::string& request_id, const LoadReport& report = {});

  /// All actions of one type in `actions`, in order.
  template <typename ActionType>
  [[nodiscard]] std::vector<ActionType> actions_of() const {
    std::vector<ActionType> found;
    for (const Action& action : actions)
      if (const auto* one = std::get_if<ActionType>(&action))
        found.push_back(*one);
    return found;
  }

  /// The endpoint of the last attempt in `actions`, or kNoEndpoint.
  [[nodiscard]] EndpointId attempted_endpoint() const;

  /// Whether `actions` contains no final answer. A failure states how many there are of each kind.
  [[nodiscard]] testing::AssertionResult has_no_final_answer() const;

  /// Whether an attempt of the request was ever started at the endpoint.
  [[nodiscard]] bool was_attempted(const std::string& request_id, EndpointId endpoint) const;

  /// The number of ejections for timeouts in `actions`, either of all endpoints or `only` of one.
  [[nodiscard]] int count_timeout_ejections(std::optional<EndpointId> only = {}) const;

  Router router;
  TimePoint now{1000s};
  std::vector<Action> actions;
  std::map<std::string, std::uint32_t> attempt_counts;           ///< By request id.
  std::set<std::pair<std::string, EndpointId>> attempted_pairs;  ///< Request id and endpoint.
  int next_request_number = 0;
};

}  // namespace gorsebeam::router_test
