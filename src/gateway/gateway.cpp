#include "gateway.h"

#include "config/conversion.h"
#include "mongo/frontend.h"
#include "mongo/upstream_protocol.h"
#include "net/log.h"
#include "net/signals.h"
#include "postgres/frontend.h"
#include "postgres/upstream_protocol.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <sys/resource.h>

namespace gorsebeam::gateway {
namespace {

constexpr Nanos kMs = 1'000'000;
// After SIGTERM new connections go on coming for up to 0.4 s; only then the door is closed.
constexpr Nanos kStillAccepting = 550 * kMs;
constexpr Nanos kLongestLeast =
    3000 * kMs;  // the longest deadline counts as 3 s where it is shorter
constexpr std::size_t kSocketsMost = 1024;

// Descriptors and buffers: what is allowed less spare ones, for the listeners, discovery, logs and
// accepted connections that are to be turned away, shared among the fronts; half of each share for
// clients, half for members.
void share_out(std::size_t sockets, std::size_t memory_mb, std::size_t paths,
               frontend::FrontendLimits& fronts, connection_pool::PoolLimits& pools) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
    sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
  if (sockets < config::kMinSockets)
    throw settings::FormatError("the limit on open files is " + std::to_string(sockets) +
                                ": raise it to " + std::to_string(config::kMinSockets) +
                                " at least");
  sockets = std::min(sockets, kSocketsMost);
  const std::size_t use = (sockets - std::max<std::size_t>(24, sockets / 10)) / paths;
  fronts.rejecting = std::max<std::size_t>(use / 20, 1);
  fronts.lingering = std::max<std::size_t>(use / 20, 1);
  fronts.connections = use / 2 - fronts.rejecting - fronts.lingering;
  pools.connections = use - use / 2;
  // A quarter of the memory for all that waits in buffers; half of that is kept free of half-sent
  // messages, so that answers always find room.
  fronts.buffered_bytes = (memory_mb << 20) / 8;
  pools.buffered = (memory_mb << 20) / 4;
  pools.per_member = std::max<std::size_t>(4, pools.connections / 3);
}

}  // namespace

common::Result<Plan, settings::FileError> read_plan(const std::string& config,
                                                    const std::string& file) {
  auto platform = config::read_platform_config(config);
  if (!platform)
    return platform.error();
  Plan plan;
  plan.config_path = config;
  plan.file_path = file;
  plan.config = std::move(platform.value());
  plan.file.context.classes = plan.config.profile.classes;
  if (file.empty())
    return plan;
  auto operators = config::read_operator_file(file, &plan.config.profile.classes);
  if (!operators)
    return operators.error();
  plan.file = std::move(operators.value());
  return plan;
}

void Path::limit(const config::pb::Limits& limits) {
  frontend::FrontendLimits fronts = front_share_;
  connection_pool::PoolLimits pools = pool_share_;
  const auto at_most = [](std::size_t share, std::size_t wanted) {
    return wanted ? std::min(share, wanted) : share;
  };
  fronts.connections = at_most(fronts.connections, limits.client_connections());
  fronts.buffered_bytes =
      at_most(fronts.buffered_bytes, static_cast<std::size_t>(limits.buffered_mib()) << 20);
  if (limits.message_kib())
    fronts.message_bytes = static_cast<std::size_t>(limits.message_kib()) << 10;
  pools.connections = at_most(pools.connections, limits.member_connections());
  pools.per_member = std::min(pools.per_member, std::max<std::size_t>(4, pools.connections / 3));
  front.set_limits(fronts);
  pool_.set_limits(pools);
}

Gateway::Gateway(Plan plan)
    : plan_(std::move(plan)), loop_(g_main_loop_new(nullptr, FALSE)), door_([this] {
        postgres_->front.stop_accepting();
        if (mongo_)
          mongo_->front.stop_accepting();
        empty_.after(0);
      }),
      empty_([this] {
        if (postgres_->done() && (!mongo_ || mongo_->done()))
          return g_main_loop_quit(loop_);
        empty_.after(20 * kMs);
      }),
      last_([this] {
        net::log({"shutdown_deadline_exceeded", {}});
        g_main_loop_quit(loop_);
      }) {
  const settings::DeploymentProfile& profile = plan_.config.profile;
  const bool two = plan_.file.gateway.has_mongo();
  frontend::FrontendLimits fronts;
  connection_pool::PoolLimits pools;
  share_out(plan_.config.max_sockets, plan_.config.memory_mb, two ? 2 : 1, fronts, pools);
  if (profile.settings.connect_timeout > 0)
    pools.connect_timeout = profile.settings.connect_timeout;
  pools.keepalive = profile.keepalive;
  const std::uint64_t seed = plan_.config.seed;
  postgres_ = std::make_unique<Path>(profile, seed, postgres::make_wire, pools, fronts,
                                     postgres::make_connection(terms_, shapes_));
  if (two)
    mongo_ = std::make_unique<Path>(profile, ~seed, mongo::make_wire, pools, fronts,
                                    mongo::make_connection(terms_));
}

Gateway::~Gateway() {
  if (watch_)
    watch_->stop();
  g_main_loop_unref(loop_);
}

bool Gateway::start(std::string& why) {
  const config::PlatformConfig& config = plan_.config;
  const config::pb::Gateway& file = plan_.file.gateway;
  take_up(file);
  control_ = std::make_unique<control_plane::ControlPlaneClient>(
      plan_.file, config.seed,
      [this](const config::pb::Contracts* contracts, const config::pb::Members* members,
             const config::pb::Limits* limits) {
        run(contracts, members, limits);
      });
  if (!plan_.file.context.postgres_listed) {
    watch_ = std::make_unique<discovery::EndpointWatch>(
        postgres_->core, config.discovery_address, config.initial_endpoints,
        discovery::ReconnectBackoff(config.profile.settings.router_count,
                                    config.profile.settings.discovery_mode == DiscoveryMode::Poll
                                        ? discovery::DiscoveryService::Shared
                                        : discovery::DiscoveryService::LocalAgent,
                                    config.seed));
    watch_->start();
  }
  control_->start();
  const auto listen = [&why](frontend::Frontend& front, const std::string& address,
                             const char* protocol) {
    if (const auto error = front.listen(address)) {
      why = "cannot listen on " + address + ": " + error->message;
      return false;
    }
    net::log({"listener_started", {{"protocol", protocol}, {"address", front.address()}}});
    return true;
  };
  return listen(postgres_->front, config.listen_address, "PostgreSQL") &&
         (!mongo_ || listen(mongo_->front, file.mongo().listen(), "MongoDB"));
}

void Gateway::stop() {
  if (std::exchange(stopping_, true))
    return;
  net::log({"shutdown_started", {}});
  control_->stop();
  door_.after(kStillAccepting);
  Nanos longest = kLongestLeast;
  for (const RequestClass& c : plan_.config.profile.settings.classes)
    longest = std::max(longest, c.deadline);
  last_.after(longest + kStillAccepting);
}

void Gateway::take_up(const config::pb::Gateway& file) {
  net::set_log_format(file.log().format() == config::pb::Log::JSON ? net::LogFormat::Json
                                                                   : net::LogFormat::Text);
  const config::pb::Shapes& shapes = file.shapes();
  shapes_ = !shapes.postgres() ? nullptr
                               : std::make_shared<const gorsebeam::sql_classifier::SqlClassifier>(
                                     std::set<std::string>(shapes.read_function().begin(),
                                                           shapes.read_function().end()));
}

std::string Gateway::waits_for_start(const Plan& fresh) const {
  if (fresh.file.gateway.has_mongo() != (mongo_ != nullptr))
    return "the second front is turned on or off at the start only, as the descriptors are shared "
           "out then; "
           "restart";
  if (fresh.file.context.postgres_listed != plan_.file.context.postgres_listed)
    return "whether PostgreSQL's members come from discovery or from a list is settled at the "
           "start; restart";
  return "";
}

// Everything is read and checked before anything changes. Members keep what is known of them, as
// the module knows them by their names; open requests never notice.
void Gateway::reload() {
  const auto kept = [](const std::string& why) {
    net::log({"reload_rejected", {{"error", why}}});
  };
  // Guards the end against an address that would be listened on anew.
  if (stopping_)
    return kept("this gateway is stopping");
  const auto read = read_plan(plan_.config_path, plan_.file_path);
  if (!read)
    return kept(read.error().to_string());
  const Plan& fresh = read.value();
  std::string why = waits_for_start(fresh);
  if (!why.empty())
    return kept(plan_.file_path + ": " + why);
  const config::pb::Gateway& file = fresh.file.gateway;
  // Last of what can fail, as it changes something.
  const bool moves = mongo_ && file.mongo().listen() != plan_.file.gateway.mongo().listen();
  if (moves) {
    if (const auto error = mongo_->front.listen(file.mongo().listen()))
      return kept("cannot listen on " + file.mongo().listen() + ": " + error->message);
  }
  if (moves)
    net::log({"listener_started", {{"protocol", "MongoDB"}, {"address", mongo_->front.address()}}});
  take_up(file);
  if (fresh.config.restart_only_settings != plan_.config.restart_only_settings)
    net::log({"reload_requires_restart", {{"settings", "platform"}}});
  if (watch_)
    watch_->change_address(fresh.config.discovery_address);
  const auto error = control_->reload_file(fresh.file);
  plan_.file.gateway = fresh.file.gateway;
  if (error)
    return net::log({"reload_partial", {{"error", error->message}}});
  net::log({"reload_complete", {{"discovery", fresh.config.discovery_address}}});
}

void Gateway::run(const config::pb::Contracts* contracts, const config::pb::Members* members,
                  const config::pb::Limits* limits) {
  if (contracts)
    terms_.replace_contracts(std::make_shared<proxy::ContractSet>(
                                 config::to_contract_set(*contracts, plan_.config.profile.classes)),
                             net::now());
  if (members && plan_.file.context.postgres_listed)
    postgres_->core.update_endpoints(EndpointList::Kind::Full,
                                     config::to_endpoints(members->postgres()));
  if (members && mongo_)
    mongo_->core.update_endpoints(EndpointList::Kind::Full, config::to_endpoints(members->mongo()));
  if (limits)
    postgres_->limit(*limits);
  if (limits && mongo_)
    mongo_->limit(*limits);
}

int Gateway::run() {
  const net::Signals signals({SIGHUP, SIGTERM, SIGINT}, [this](int number) {
    number == SIGHUP ? reload() : stop();
  });
  g_main_loop_run(loop_);
  net::log({"shutdown_complete", {}});
  return 0;
}

}  // namespace gorsebeam::gateway
