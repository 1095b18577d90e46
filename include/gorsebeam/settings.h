/// The settings with which the embedding program configures a router.
#pragma once

#include "gorsebeam/types.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam {

/// A class of requests with the same objectives and guarantees.
struct RequestClass {
  std::string name;
  ConsistencyLevel consistency = ConsistencyLevel::Eventual;
  Duration max_staleness{};         ///< BoundedStaleness only: the oldest data a read may see.
  Duration latency_objective{};     ///< An answer within this time has its full value. Above 0.
  Duration deadline{};              ///< How long clients wait. At least `latency_objective`.
  double priority_weight = 1;       ///< The value of an answer within the latency objective.
  double late_weight_fraction = 0;  ///< The fraction of that value which a later answer keeps.
  Idempotency idempotency = Idempotency::Idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::All;
  Duration deduplication_window{};  ///< IdempotencyKey only: how long repeats are dropped.
};

/// A customer with a quota.
struct Tenant {
  std::string name;
  double requests_per_second = 0;  ///< Its quota, over all routers.
};

/// All settings of a router. Defaults describe a system without optional features.
struct Settings {
  std::vector<RequestClass> classes;  ///< At least one.
  std::vector<Tenant> tenants;
  double over_quota_weight = 1;  ///< The fraction of its value that a request over quota keeps.

  std::uint32_t router_index = 0;  ///< This router's number among `router_count`.
  std::uint32_t router_count = 1;
  std::string zone;                 ///< This router's zone.
  Duration clock_resolution = 1ns;  ///< The shortest time between two events that differ in time.

  DiscoveryMode discovery_mode = DiscoveryMode::Push;
  /// DiscoveryMode::Poll only: the age from which the list is due for a poll. The router does not
  /// use it: it polls after a cached list and after a failed poll.
  Duration max_list_age{};
  ListedRole listed_role = ListedRole::None;

  SessionTokenSource session_token_source = SessionTokenSource::Router;
  /// A client is assumed to know a response this long after the endpoint wrote it, even if the
  /// response was lost on the way. Empty: only a response that arrived counts as known.
  std::optional<Duration> assumed_response_delay;
  StalenessCheck staleness_check = StalenessCheck::None;
  /// StalenessCheck::Wait only: how long an endpoint waits for the data.
  Duration staleness_check_timeout{};

  LoadReportSource load_report_source = LoadReportSource::None;
  bool load_reports_contain_positions = false;  ///< Reports contain a replication position.
  bool load_reports_contain_roles = false;      ///< Reports contain the endpoint's role.
  bool health_checks_allowed = true;
  /// The cost of one health check, relative to a read's value; 0: free.
  double health_check_cost = 0.24;

  bool cancellation_allowed = false;
  bool hedging_allowed = false;      ///< A second copy of a late read may be sent in parallel.
  bool retry_after_allowed = false;  ///< A rejection may say when to come back.
  Duration max_retry_after{};        ///< The longest time that a rejection may advise.
  std::uint32_t max_attempts = 1;    ///< Per request, the first one included. At least 1.
  Duration connect_timeout{};

  Duration response_slack{};  ///< A final answer still counts this long after the deadline.
  Duration drain_grace{};     ///< How long after a drain notice attempts may still start.
  /// Whether an endpoint that the list removes without draining it first may still serve.
  bool removed_endpoints_may_serve = false;

  Duration slow_start_duration{};          ///< An endpoint's time from start to full capacity.
  double slow_start_initial_capacity = 1;  ///< The fraction of it at the start, in (0, 1].
  /// An endpoint in slow start fails if it gets more than `overload_factor` times its present
  /// capacity for `overload_duration`.
  Duration overload_duration{};
  double overload_factor = 1;
};

/// The longest deadline of any class; zero if there is no class.
[[nodiscard]] inline Duration longest_deadline(const Settings& settings) {
  Duration longest{};
  for (const RequestClass& request_class : settings.classes)
    longest = std::max(longest, request_class.deadline);
  return longest;
}

}  // namespace gorsebeam
