#include "settings.h"

namespace gorsebeam::settings {
namespace {
constexpr std::int64_t kGatewaysMost = 1'000'000;
constexpr std::int64_t kAttemptsMost = 1'000;
}  // namespace

Profile read_profile(const Reader& profile) {
  const Reader extra = profile.object("extra");
  const Reader limits = profile.object("limits");
  const Reader rules = profile.object("obligations");
  Profile read;
  Settings& s = read.settings;
  const auto& levels = extra.array("read_level");
  const auto& bounds = extra.array("lag_allowed");
  for (const Json& element : profile.array("classes").GetArray()) {
    const auto at = static_cast<rapidjson::SizeType>(s.classes.size());
    const Reader entry(element, "classes[" + std::to_string(at) + "]");
    RequestClass c;
    c.name = entry.text("name");
    if (at >= levels.Size() || !levels[at].IsString())
      extra.wrong("read_level", "a word for each class");
    c.consistency = choose<ConsistencyLevel>(text_of(levels[at]), "read_level",
                                             {{"eventual", ConsistencyLevel::Eventual},
                                              {"lag_bound", ConsistencyLevel::BoundedStaleness},
                                              {"causal", ConsistencyLevel::Session},
                                              {"strong", ConsistencyLevel::Strong},
                                              {"mutate", ConsistencyLevel::Write}});
    if (at >= bounds.Size() || !bounds[at].IsInt64())
      extra.wrong("lag_allowed", "a time for each class");
    c.max_staleness = bounds[at].GetInt64();
    if (c.max_staleness < 0)
      extra.wrong("lag_allowed", "a time of zero or more for each class");
    c.latency_objective = entry.time("aim");
    if (c.latency_objective == 0)
      entry.wrong("aim", "above zero");
    c.deadline = entry.time("give_up");
    if (c.deadline < c.latency_objective)
      entry.wrong("give_up", "at or after its 'aim'");
    c.priority_weight = entry.amount("worth", 1);
    c.late_weight_fraction = entry.amount("late_worth", 0);
    c.idempotency = choose<Idempotency>(entry.text("effect"), "effect",
                                        {{"free", Idempotency::Idempotent},
                                         {"guarded", Idempotency::IdempotencyKey},
                                         {"single_shot", Idempotency::NotIdempotent}});
    c.deduplication_scope = choose<DeduplicationScope>(entry.text("group", "all"), "group",
                                                       {{"all", DeduplicationScope::All},
                                                        {"zone", DeduplicationScope::Zone},
                                                        {"cell", DeduplicationScope::Group}});
    c.deduplication_window = entry.time("window", 0);
    read.classes[c.name] = s.classes.size();
    s.classes.push_back(std::move(c));
  }
  if (s.classes.empty())
    profile.wrong("classes", "a list of at least one class");
  if (profile.find("customers")) {
    for (const Json& element : profile.array("customers").GetArray()) {
      const Reader entry(element, "customers");
      Tenant tenant;
      tenant.name = entry.text("name");
      tenant.requests_per_second = entry.amount("quota_rps", 0);
      read.tenants[tenant.name] = s.tenants.size();
      s.tenants.push_back(std::move(tenant));
    }
  }
  s.over_quota_weight = profile.amount("over_share_worth", 1);
  s.router_index = static_cast<std::uint32_t>(profile.within("me", 0, kGatewaysMost, 0));
  s.router_count = static_cast<std::uint32_t>(profile.within("balancers", 1, kGatewaysMost, 1));
  s.zone = profile.text("locality", "");
  s.clock_resolution = profile.time("tick", 1);
  s.discovery_mode = choose<DiscoveryMode>(
      profile.text("discovery", "automatic"), "discovery",
      {{"automatic", DiscoveryMode::Push}, {"subscribe", DiscoveryMode::Poll}});
  s.max_list_age = rules.time("must_ask_in", 0);
  s.listed_role = choose<ListedRole>(extra.text("list_role", "none"), "list_role",
                                     {{"none", ListedRole::None},
                                      {"static", ListedRole::AtStart},
                                      {"trailing", ListedRole::Delayed}});
  s.session_token_source = choose<SessionTokenSource>(
      extra.text("token_mode", "kept"), "token_mode",
      {{"brought", SessionTokenSource::Client}, {"kept", SessionTokenSource::Router}});
  s.staleness_check = choose<StalenessCheck>(extra.text("checks", "none"), "checks",
                                             {{"none", StalenessCheck::None},
                                              {"bounce", StalenessCheck::Reject},
                                              {"await", StalenessCheck::Wait}});
  s.staleness_check_timeout = extra.time("wait", 0);
  if (profile.find("report")) {
    const Reader report = profile.object("report");
    s.load_report_source = choose<LoadReportSource>(report.text("via", "none"), "via",
                                                    {{"none", LoadReportSource::None},
                                                     {"probe", LoadReportSource::HealthChecks},
                                                     {"answers", LoadReportSource::Responses}});
    if (report.find("fields")) {
      for (const Json& field : report.array("fields").GetArray()) {
        if (!field.IsString())
          report.wrong("fields", "a list of words");
        s.load_reports_hold_positions |= text_of(field) == "x0";
        s.load_reports_hold_roles |= text_of(field) == "x1";
      }
    }
  }
  s.health_checks_allowed = limits.truth("probes");
  if (profile.find("prices"))
    s.health_check_price = profile.object("prices").amount("probe", s.health_check_price);
  s.cancellation_allowed = limits.truth("cancel");
  s.hedging_allowed = limits.truth("parallel_tries");
  s.retry_after_allowed = limits.truth("retry_after");
  s.max_retry_after = limits.time("max_retry_after", 0);
  s.max_attempts = static_cast<std::uint32_t>(limits.within("send_cap", 1, kAttemptsMost, 1));
  s.connect_timeout = limits.time("dial_timeout", 0);
  s.response_slack = rules.time("answer_slack", 0);
  s.drain_grace = rules.time("drain_grace", 0);
  s.only_draining_is_binding = rules.truth("only_draining_binds");
  s.slow_start_duration = rules.time("cold", 0);
  s.slow_start_initial_capacity = rules.amount("cold_from", 1);
  if (s.slow_start_initial_capacity <= 0 || s.slow_start_initial_capacity > 1)
    rules.wrong("cold_from", "above zero and at most one");
  s.overload_duration = rules.time("fall", 0);
  s.overload_factor = rules.amount("fall_multiple", 1);
  read.zero = extra.integer("zero", 0);
  read.keepalive = limits.time("keepalive", 0);
  return read;
}

}  // namespace gorsebeam::settings
