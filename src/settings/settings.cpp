#include "settings.h"

namespace gorsebeam::settings {

Profile read_profile(const Reader& profile) {
  const Reader extra = profile.object("extra");
  const Reader limits = profile.object("limits");
  const Reader rules = profile.object("obligations");
  Profile read;
  Settings& s = read.settings;
  const auto& levels = extra.array("read_level");
  const auto& bounds = extra.array("lag_allowed");
  for (const Json& element : profile.array("classes").GetArray()) {
    const Reader entry(element, "classes");
    const auto at = static_cast<rapidjson::SizeType>(s.classes.size());
    RequestClass c;
    c.name = entry.text("name");
    if (at >= levels.Size() || !levels[at].IsString()) extra.wrong("read_level", "a word for each class");
    c.level = choose<ReadLevel>(text_of(levels[at]), "read_level",
                                {{"eventual", ReadLevel::Any},
                                 {"lag_bound", ReadLevel::Bounded},
                                 {"causal", ReadLevel::Session},
                                 {"strong", ReadLevel::Fresh},
                                 {"mutate", ReadLevel::Write}});
    if (at >= bounds.Size() || !bounds[at].IsInt64()) extra.wrong("lag_allowed", "a time for each class");
    c.bound = bounds[at].GetInt64();
    c.aim = entry.integer("aim");
    c.deadline = entry.integer("give_up");
    c.worth = entry.number("worth", 1);
    c.late_worth = entry.number("late_worth", 0);
    c.effect =
        choose<Effect>(entry.text("effect"), "effect",
                       {{"free", Effect::Safe}, {"guarded", Effect::Keyed}, {"single_shot", Effect::Unsafe}});
    c.scope = choose<RepeatScope>(
        entry.text("group", "all"), "group",
        {{"all", RepeatScope::All}, {"zone", RepeatScope::Zone}, {"cell", RepeatScope::Group}});
    c.window = entry.integer("window", 0);
    read.classes[c.name] = s.classes.size();
    s.classes.push_back(std::move(c));
  }
  if (profile.find("customers")) {
    for (const Json& element : profile.array("customers").GetArray()) {
      const Reader entry(element, "customers");
      Tenant tenant;
      tenant.name = entry.text("name");
      tenant.rate = entry.number("quota_rps", 0);
      read.tenants[tenant.name] = s.tenants.size();
      s.tenants.push_back(std::move(tenant));
    }
  }
  s.over_share_worth = profile.number("over_share_worth", 1);
  s.router = static_cast<std::uint32_t>(profile.integer("me", 0));
  s.routers = static_cast<std::uint32_t>(profile.integer("balancers", 1));
  s.zone = profile.text("locality", "");
  s.tick = profile.integer("tick", 1);
  s.discovery = choose<Discovery>(profile.text("discovery", "automatic"), "discovery",
                                  {{"automatic", Discovery::Pushed}, {"subscribe", Discovery::Asked}});
  s.ask_within = rules.integer("must_ask_in", 0);
  s.list_role =
      choose<ListRole>(extra.text("list_role", "none"), "list_role",
                       {{"none", ListRole::None}, {"static", ListRole::Start}, {"trailing", ListRole::Late}});
  s.tokens = choose<TokenMode>(extra.text("token_mode", "kept"), "token_mode",
                               {{"brought", TokenMode::Carried}, {"kept", TokenMode::Remembered}});
  s.checks = choose<Checks>(extra.text("checks", "none"), "checks",
                            {{"none", Checks::None}, {"bounce", Checks::Refuse}, {"await", Checks::Wait}});
  s.check_wait = extra.integer("wait", 0);
  if (profile.find("report")) {
    const Reader report = profile.object("report");
    s.reports = choose<ReportVia>(
        report.text("via", "none"), "via",
        {{"none", ReportVia::None}, {"probe", ReportVia::Probes}, {"answers", ReportVia::Answers}});
    if (report.find("fields")) {
      for (const Json& field : report.array("fields").GetArray()) {
        if (!field.IsString()) report.wrong("fields", "a list of words");
        s.report_positions |= text_of(field) == "x0";
        s.report_roles |= text_of(field) == "x1";
      }
    }
  }
  s.probes = limits.truth("probes");
  if (profile.find("prices")) s.probe_price = profile.object("prices").number("probe", s.probe_price);
  s.cancels = limits.truth("cancel");
  s.second_copies = limits.truth("parallel_tries");
  s.retry_after = limits.truth("retry_after");
  s.max_retry_after = limits.integer("max_retry_after", 0);
  s.max_attempts = static_cast<std::uint32_t>(limits.integer("send_cap", 1));
  s.connect_timeout = limits.integer("dial_timeout", 0);
  s.answer_slack = rules.integer("answer_slack", 0);
  s.drain_grace = rules.integer("drain_grace", 0);
  s.only_draining_binds = rules.truth("only_draining_binds");
  s.cold_time = rules.integer("cold", 0);
  s.cold_from = rules.number("cold_from", 1);
  s.fall_time = rules.integer("fall", 0);
  s.fall_multiple = rules.number("fall_multiple", 1);
  read.zero = extra.integer("zero", 0);
  read.keepalive = limits.integer("keepalive", 0);
  return read;
}

} // namespace gorsebeam::settings
