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
    c.level = choose<ReadLevel>(text_of(levels[at]), "read_level",
                                {{"eventual", ReadLevel::Any},
                                 {"lag_bound", ReadLevel::Bounded},
                                 {"causal", ReadLevel::Session},
                                 {"strong", ReadLevel::Fresh},
                                 {"mutate", ReadLevel::Write}});
    if (at >= bounds.Size() || !bounds[at].IsInt64())
      extra.wrong("lag_allowed", "a time for each class");
    c.bound = bounds[at].GetInt64();
    if (c.bound < 0)
      extra.wrong("lag_allowed", "a time of zero or more for each class");
    c.aim = entry.time("aim");
    if (c.aim == 0)
      entry.wrong("aim", "above zero");
    c.deadline = entry.time("give_up");
    if (c.deadline < c.aim)
      entry.wrong("give_up", "at or after its 'aim'");
    c.worth = entry.amount("worth", 1);
    c.late_worth = entry.amount("late_worth", 0);
    c.effect = choose<Effect>(
        entry.text("effect"), "effect",
        {{"free", Effect::Safe}, {"guarded", Effect::Keyed}, {"single_shot", Effect::Unsafe}});
    c.scope = choose<RepeatScope>(
        entry.text("group", "all"), "group",
        {{"all", RepeatScope::All}, {"zone", RepeatScope::Zone}, {"cell", RepeatScope::Group}});
    c.window = entry.time("window", 0);
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
      tenant.rate = entry.amount("quota_rps", 0);
      read.tenants[tenant.name] = s.tenants.size();
      s.tenants.push_back(std::move(tenant));
    }
  }
  s.over_share_worth = profile.amount("over_share_worth", 1);
  s.router = static_cast<std::uint32_t>(profile.within("me", 0, kGatewaysMost, 0));
  s.routers = static_cast<std::uint32_t>(profile.within("balancers", 1, kGatewaysMost, 1));
  s.zone = profile.text("locality", "");
  s.tick = profile.time("tick", 1);
  s.discovery =
      choose<Discovery>(profile.text("discovery", "automatic"), "discovery",
                        {{"automatic", Discovery::Pushed}, {"subscribe", Discovery::Asked}});
  s.ask_within = rules.time("must_ask_in", 0);
  s.list_role = choose<ListRole>(
      extra.text("list_role", "none"), "list_role",
      {{"none", ListRole::None}, {"static", ListRole::Start}, {"trailing", ListRole::Late}});
  s.tokens = choose<TokenMode>(extra.text("token_mode", "kept"), "token_mode",
                               {{"brought", TokenMode::Carried}, {"kept", TokenMode::Remembered}});
  s.checks =
      choose<Checks>(extra.text("checks", "none"), "checks",
                     {{"none", Checks::None}, {"bounce", Checks::Refuse}, {"await", Checks::Wait}});
  s.check_wait = extra.time("wait", 0);
  if (profile.find("report")) {
    const Reader report = profile.object("report");
    s.reports = choose<ReportVia>(
        report.text("via", "none"), "via",
        {{"none", ReportVia::None}, {"probe", ReportVia::Probes}, {"answers", ReportVia::Answers}});
    if (report.find("fields")) {
      for (const Json& field : report.array("fields").GetArray()) {
        if (!field.IsString())
          report.wrong("fields", "a list of words");
        s.report_positions |= text_of(field) == "x0";
        s.report_roles |= text_of(field) == "x1";
      }
    }
  }
  s.probes = limits.truth("probes");
  if (profile.find("prices"))
    s.probe_price = profile.object("prices").amount("probe", s.probe_price);
  s.cancels = limits.truth("cancel");
  s.hedging = limits.truth("parallel_tries");
  s.retry_after = limits.truth("retry_after");
  s.max_retry_after = limits.time("max_retry_after", 0);
  s.max_attempts = static_cast<std::uint32_t>(limits.within("send_cap", 1, kAttemptsMost, 1));
  s.connect_timeout = limits.time("dial_timeout", 0);
  s.answer_slack = rules.time("answer_slack", 0);
  s.drain_grace = rules.time("drain_grace", 0);
  s.only_draining_binds = rules.truth("only_draining_binds");
  s.cold_time = rules.time("cold", 0);
  s.cold_from = rules.amount("cold_from", 1);
  if (s.cold_from <= 0 || s.cold_from > 1)
    rules.wrong("cold_from", "above zero and at most one");
  s.fall_time = rules.time("fall", 0);
  s.fall_multiple = rules.amount("fall_multiple", 1);
  read.zero = extra.integer("zero", 0);
  read.keepalive = limits.time("keepalive", 0);
  return read;
}

}  // namespace gorsebeam::settings
