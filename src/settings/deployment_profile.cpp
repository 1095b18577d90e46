#include "deployment_profile.h"

#include <cstdint>
#include <utility>

namespace gorsebeam::settings {
namespace {

constexpr std::int64_t kMaxRouters = 1'000'000;
constexpr std::int64_t kMaxAttempts = 1'000;

ConsistencyLevel read_consistency(const JsonObjectReader& extra, const Json& levels,
                                  rapidjson::SizeType index) {
  if (index >= levels.Size() || !levels[index].IsString())
    extra.throw_invalid("read_level", "a list with a string for each class");
  return parse_enum<ConsistencyLevel>(string_value(levels[index]), "read_level",
                                      {{"eventual", ConsistencyLevel::Eventual},
                                       {"lag_bound", ConsistencyLevel::BoundedStaleness},
                                       {"causal", ConsistencyLevel::Session},
                                       {"strong", ConsistencyLevel::Strong},
                                       {"mutate", ConsistencyLevel::Write}});
}

Duration read_max_staleness(const JsonObjectReader& extra, const Json& bounds,
                            rapidjson::SizeType index) {
  if (index >= bounds.Size() || !bounds[index].IsInt64())
    extra.throw_invalid("lag_allowed", "a list with an integer for each class, in nanoseconds");
  const Duration max_staleness(bounds[index].GetInt64());
  if (max_staleness < 0ms)
    extra.throw_invalid("lag_allowed", "at least 0 ns for each class, but is " +
                                           std::to_string(max_staleness.count()));
  return max_staleness;
}

void read_latency(const JsonObjectReader& entry, RequestClass& request_class) {
  request_class.latency_objective = entry.read_duration("aim");
  if (request_class.latency_objective == 0ms)
    entry.throw_invalid("aim", "above 0 ns");
  request_class.deadline = entry.read_duration("give_up");
  if (request_class.deadline < request_class.latency_objective)
    entry.throw_invalid("give_up", "at least the class's 'aim' of " +
                                       std::to_string(request_class.latency_objective.count()) +
                                       " ns, but is " +
                                       std::to_string(request_class.deadline.count()));
}

void read_retry_safety(const JsonObjectReader& entry, RequestClass& request_class) {
  request_class.idempotency =
      entry.read_enum<Idempotency>("effect", {{"free", Idempotency::Idempotent},
                                              {"guarded", Idempotency::IdempotencyKey},
                                              {"single_shot", Idempotency::NotIdempotent}});
  request_class.deduplication_scope =
      entry.read_enum<DeduplicationScope>("group", "all",
                                          {{"all", DeduplicationScope::All},
                                           {"zone", DeduplicationScope::Zone},
                                           {"cell", DeduplicationScope::Group}});
  request_class.deduplication_window = entry.read_duration("window", 0ms);
}

/// Reads the classes from `profile`, and the consistency level and staleness of each from lists in
/// `extra` that have the same order.
void read_classes(const JsonObjectReader& profile, const JsonObjectReader& extra,
                  DeploymentProfile& result) {
  const Json& levels = extra.require_array("read_level");
  const Json& bounds = extra.require_array("lag_allowed");
  std::vector<RequestClass>& classes = result.settings.classes;
  for (const Json& element : profile.require_array("classes").GetArray()) {
    const auto index = static_cast<rapidjson::SizeType>(classes.size());
    const JsonObjectReader entry(element, "classes[" + std::to_string(index) + "]");
    RequestClass request_class;
    request_class.name = entry.read_string("name");
    request_class.consistency = read_consistency(extra, levels, index);
    request_class.max_staleness = read_max_staleness(extra, bounds, index);
    read_latency(entry, request_class);
    request_class.priority_weight = entry.read_non_negative("worth", 1);
    request_class.late_weight_fraction = entry.read_non_negative("late_worth", 0);
    read_retry_safety(entry, request_class);
    result.class_indexes[request_class.name] = classes.size();
    classes.push_back(std::move(request_class));
  }
  if (classes.empty())
    profile.throw_invalid("classes", "an array of at least one class");
}

void read_tenants(const JsonObjectReader& profile, DeploymentProfile& result) {
  Settings& settings = result.settings;
  if (profile.find("customers")) {
    for (const Json& element : profile.require_array("customers").GetArray()) {
      const JsonObjectReader entry(element, "customers");
      Tenant tenant;
      tenant.name = entry.read_string("name");
      tenant.requests_per_second = entry.read_non_negative("quota_rps", 0);
      result.tenant_indexes[tenant.name] = settings.tenants.size();
      settings.tenants.push_back(std::move(tenant));
    }
  }
  settings.over_quota_weight = profile.read_non_negative("over_share_worth", 1);
}

void read_router_identity(const JsonObjectReader& profile, Settings& settings) {
  settings.router_index =
      static_cast<std::uint32_t>(profile.read_integer_in_range("me", 0, kMaxRouters, 0));
  settings.router_count =
      static_cast<std::uint32_t>(profile.read_integer_in_range("balancers", 1, kMaxRouters, 1));
  settings.zone = profile.read_string("locality", "");
  settings.clock_resolution = profile.read_duration("tick", 1ns);
}

void read_discovery(const JsonObjectReader& profile, const JsonObjectReader& extra,
                    const JsonObjectReader& obligations, Settings& settings) {
  settings.discovery_mode = profile.read_enum<DiscoveryMode>(
      "discovery", "automatic",
      {{"automatic", DiscoveryMode::Push}, {"subscribe", DiscoveryMode::Poll}});
  settings.max_list_age = obligations.read_duration("must_ask_in", 0ms);
  settings.listed_role = extra.read_enum<ListedRole>("list_role", "none",
                                                     {{"none", ListedRole::None},
                                                      {"static", ListedRole::AtStart},
                                                      {"trailing", ListedRole::Delayed}});
}

void read_staleness_checks(const JsonObjectReader& extra, Settings& settings) {
  settings.session_token_source = extra.read_enum<SessionTokenSource>(
      "token_mode", "kept",
      {{"brought", SessionTokenSource::Client}, {"kept", SessionTokenSource::Router}});
  settings.staleness_check = extra.read_enum<StalenessCheck>("checks", "none",
                                                             {{"none", StalenessCheck::None},
                                                              {"bounce", StalenessCheck::Reject},
                                                              {"await", StalenessCheck::Wait}});
  settings.staleness_check_timeout = extra.read_duration("wait", 0ms);
}

void read_load_reports(const JsonObjectReader& profile, Settings& settings) {
  if (!profile.find("report"))
    return;
  const JsonObjectReader report = profile.require_object("report");
  settings.load_report_source =
      report.read_enum<LoadReportSource>("via", "none",
                                         {{"none", LoadReportSource::None},
                                          {"probe", LoadReportSource::HealthChecks},
                                          {"answers", LoadReportSource::Responses}});
  if (!report.find("fields"))
    return;
  for (const Json& field : report.require_array("fields").GetArray()) {
    if (!field.IsString())
      report.throw_invalid("fields", "an array of strings");
    if (string_value(field) == "x0")  // the replication position
      settings.load_reports_contain_positions = true;
    if (string_value(field) == "x1")  // the role
      settings.load_reports_contain_roles = true;
  }
}

void read_health_checks(const JsonObjectReader& profile, const JsonObjectReader& limits,
                        Settings& settings) {
  settings.health_checks_allowed = limits.read_bool("probes");
  if (!profile.find("prices"))
    return;
  const JsonObjectReader prices = profile.require_object("prices");
  settings.health_check_cost = prices.read_non_negative("probe", settings.health_check_cost);
}

void read_attempt_limits(const JsonObjectReader& limits, Settings& settings) {
  settings.cancellation_allowed = limits.read_bool("cancel");
  settings.hedging_allowed = limits.read_bool("parallel_tries");
  settings.retry_after_allowed = limits.read_bool("retry_after");
  settings.max_retry_after = limits.read_duration("max_retry_after", 0ms);
  settings.max_attempts =
      static_cast<std::uint32_t>(limits.read_integer_in_range("send_cap", 1, kMaxAttempts, 1));
  settings.connect_timeout = limits.read_duration("dial_timeout", 0ms);
}

void read_obligations(const JsonObjectReader& obligations, Settings& settings) {
  settings.response_slack = obligations.read_duration("answer_slack", 0ms);
  settings.drain_grace = obligations.read_duration("drain_grace", 0ms);
  settings.removed_endpoints_may_serve = obligations.read_bool("only_draining_binds");
  settings.slow_start_duration = obligations.read_duration("cold", 0ms);
  settings.slow_start_initial_capacity = obligations.read_non_negative("cold_from", 1);
  if (settings.slow_start_initial_capacity <= 0 || settings.slow_start_initial_capacity > 1)
    obligations.throw_invalid("cold_from",
                              "above 0 and at most 1, but is " +
                                  std::to_string(settings.slow_start_initial_capacity));
  settings.overload_duration = obligations.read_duration("fall", 0ms);
  settings.overload_factor = obligations.read_non_negative("fall_multiple", 1);
}

}  // namespace

// Reading stops at the first error, so the order of these calls decides which error is reported.
DeploymentProfile read_deployment_profile(const JsonObjectReader& profile) {
  const JsonObjectReader extra = profile.require_object("extra");
  const JsonObjectReader limits = profile.require_object("limits");
  const JsonObjectReader obligations = profile.require_object("obligations");
  DeploymentProfile result;
  Settings& settings = result.settings;
  read_classes(profile, extra, result);
  read_tenants(profile, result);
  read_router_identity(profile, settings);
  read_discovery(profile, extra, obligations, settings);
  read_staleness_checks(extra, settings);
  read_load_reports(profile, settings);
  read_health_checks(profile, limits, settings);
  read_attempt_limits(limits, settings);
  read_obligations(obligations, settings);
  result.replication_epoch = ReplicationPosition(Duration(extra.read_integer("zero", 0)));
  result.endpoint_idle_timeout = limits.read_duration("keepalive", 0ms);
  return result;
}

}  // namespace gorsebeam::settings
