#include "gateway.h"

#include "inventory/inventory.h"
#include "mongo/front.h"
#include "mongo/wire.h"
#include "net/log.h"
#include "postgres/front.h"
#include "postgres/wire.h"

#include <glib-unix.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include <sys/resource.h>

namespace gorsebeam::gateway {
namespace {

constexpr Nanos kMs = 1'000'000;
// After SIGTERM new connections go on coming for up to 0.4 s; only then the door is closed.
constexpr Nanos kStillAccepting = 550 * kMs;
constexpr Nanos kLongestLeast = 3000 * kMs; // the longest deadline counts as 3 s where it is shorter
constexpr std::size_t kSocketsMost = 1024;

// Descriptors and buffers: what is allowed less spare ones, for the listeners, discovery, logs and accepted
// connections that are to be turned away, shared among the fronts; half of each share for clients, half for members.
void share_out(std::size_t sockets, std::size_t memory_mb, std::size_t paths, front::Limits& fronts,
               upstream::Limits& pools) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
    sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
  sockets = std::min(sockets, kSocketsMost);
  const std::size_t use = (sockets - std::max<std::size_t>(24, sockets / 10)) / paths;
  fronts.crowded = std::max<std::size_t>(use / 20, 1);
  fronts.lingering = std::max<std::size_t>(use / 20, 1);
  fronts.connections = use / 2 - fronts.crowded - fronts.lingering;
  pools.connections = use - use / 2;
  // A quarter of the memory for all that waits in buffers; half of that is kept free of half-sent messages, so that
  // answers always find room.
  fronts.buffered = (memory_mb << 20) / 8;
  pools.buffered = (memory_mb << 20) / 4;
  pools.per_member = std::max<std::size_t>(4, pools.connections / 3);
}

} // namespace

Plan read_plan(const std::string& config, const std::string& broker_file) {
  Plan plan;
  plan.config_path = config;
  plan.broker_path = broker_file;
  plan.config = config::read_config(config);
  plan.broker.contracts.classes = plan.config.profile.classes;
  if (broker_file.empty()) return plan;
  plan.broker = config::read_broker_file(broker_file, plan.config.profile);
  if (!plan.broker.postgres_inventory.empty())
    plan.postgres = inventory::read(plan.broker.postgres_inventory);
  if (!plan.broker.mongo_inventory.empty()) plan.mongo = inventory::read(plan.broker.mongo_inventory);
  return plan;
}

Gateway::Gateway(Plan plan)
    : plan_(std::move(plan)), loop_(g_main_loop_new(nullptr, FALSE)), door_([this] {
        postgres_->front.stop_accepting();
        if (mongo_) mongo_->front.stop_accepting();
        empty_.after(0);
      }),
      empty_([this] {
        if (postgres_->done() && (!mongo_ || mongo_->done())) return g_main_loop_quit(loop_);
        empty_.after(20 * kMs);
      }),
      last_([this] {
        net::log_line("stop", "time is up, with connections left open");
        g_main_loop_quit(loop_);
      }) {
  const settings::Profile& profile = plan_.config.profile;
  const bool two = !plan_.broker.mongo_listen.empty();
  front::Limits fronts;
  upstream::Limits pools;
  share_out(plan_.config.sockets, plan_.config.memory_mb, two ? 2 : 1, fronts, pools);
  if (profile.settings.connect_timeout > 0) pools.connect_timeout = profile.settings.connect_timeout;
  pools.keepalive = profile.keepalive;
  const std::uint64_t seed = plan_.config.seed;
  postgres_ = std::make_unique<Path>(profile, seed, postgres::make_wire, pools, fronts,
                                     postgres::make_connection(plan_.broker.contracts));
  if (two)
    mongo_ = std::make_unique<Path>(profile, ~seed, mongo::make_wire, pools, fronts,
                                    mongo::make_connection(plan_.broker.contracts));
}

Gateway::~Gateway() {
  if (watch_) watch_->stop();
  g_main_loop_unref(loop_);
}

bool Gateway::start(std::string& why) {
  const config::Config& config = plan_.config;
  if (plan_.postgres.empty()) {
    postgres_->core.list(MemberList::Kind::Remembered, config.known.members);
    watch_ = std::make_unique<discovery::Watch>(postgres_->core, config.discovery, config.known.revision);
    watch_->start();
  } else
    postgres_->core.list(MemberList::Kind::Full, plan_.postgres);
  if (mongo_) mongo_->core.list(MemberList::Kind::Full, plan_.mongo);
  const auto listen = [&why](front::Front& front, const std::string& address, const char* protocol) {
    if (!front.listen(address, why)) {
      why = "cannot listen on " + address + ": " + why;
      return false;
    }
    net::log_line("start", std::string(protocol) + " on " + front.address());
    return true;
  };
  return listen(postgres_->front, config.listen, "PostgreSQL") &&
         (!mongo_ || listen(mongo_->front, plan_.broker.mongo_listen, "MongoDB"));
}

void Gateway::stop() {
  if (std::exchange(stopping_, true)) return;
  net::log_line("stop", "asked to: serving until all is answered");
  door_.after(kStillAccepting);
  Nanos longest = kLongestLeast;
  for (const RequestClass& c : plan_.config.profile.settings.classes) longest = std::max(longest, c.deadline);
  last_.after(longest + kStillAccepting);
}

// Everything is read and checked before anything changes. Members keep what is known of them, as the module knows them
// by their names; open requests never notice.
void Gateway::reload() {
  Plan fresh;
  try {
    fresh = read_plan(plan_.config_path, plan_.broker_path);
  } catch (const std::exception& error) {
    return net::log_line("reload", std::string("kept all as it was: ") + error.what());
  }
  const bool from_files = !plan_.postgres.empty();
  if (from_files != !fresh.postgres.empty() || fresh.mongo.empty() != plan_.mongo.empty() ||
      fresh.config.fixed != plan_.config.fixed || fresh.broker.fixed != plan_.broker.fixed)
    net::log_line("reload",
                  "what differs beside discovery's address and the members waits for the next start");
  if (watch_) watch_->follow(fresh.config.discovery);
  if (from_files && !fresh.postgres.empty()) postgres_->core.list(MemberList::Kind::Full, fresh.postgres);
  if (mongo_ && !fresh.mongo.empty()) mongo_->core.list(MemberList::Kind::Full, fresh.mongo);
  net::log_line("reload", "read again; discovery is " + fresh.config.discovery);
}

int Gateway::run() {
  const auto on_signal = [](gpointer self) -> gboolean {
    static_cast<Gateway*>(self)->stop();
    return G_SOURCE_CONTINUE;
  };
  const auto on_hangup = [](gpointer self) -> gboolean {
    static_cast<Gateway*>(self)->reload();
    return G_SOURCE_CONTINUE;
  };
  const guint sources[] = {g_unix_signal_add(SIGHUP, on_hangup, this),
                           g_unix_signal_add(SIGTERM, on_signal, this),
                           g_unix_signal_add(SIGINT, on_signal, this)};
  g_main_loop_run(loop_);
  for (const guint source : sources) g_source_remove(source);
  net::log_line("stop", "done");
  return 0;
}

} // namespace gorsebeam::gateway
