// The command line of the gateway.
#include "discovery/watch.h"
#include "front/front.h"
#include "gateway/config.h"
#include "net/log.h"
#include "postgres/front.h"
#include "postgres/wire.h"
#include "upstream/pool.h"

#include <glib-unix.h>

#include <cxxopts.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include <sys/resource.h>

namespace {

using namespace gorsebeam;

constexpr Nanos kMs = 1'000'000;
// After SIGTERM new connections go on coming for up to 0.4 s; then the door is closed.
constexpr Nanos kStillAccepting = 550 * kMs;

struct Loop {
  Loop() = default;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  ~Loop() { g_main_loop_unref(loop); }
};

// Descriptors: what is allowed, less spare ones for the listener, discovery, logs and what closes slowly.
void share_out(std::size_t sockets, front::Limits& fronts, upstream::Limits& pools) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
    sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
  sockets = std::min<std::size_t>(sockets, 1024);
  const std::size_t spare = std::max<std::size_t>(24, sockets / 10);
  const std::size_t use = sockets - spare;
  fronts.crowded = use / 20;
  fronts.connections = use / 2 - fronts.crowded;
  pools.connections = use - use / 2;
  pools.per_member = std::max<std::size_t>(4, pools.connections / 3);
}

int serve(const std::string& path) {
  const gateway::Config config = gateway::read_config(path);
  const settings::Profile& profile = config.profile;
  Loop loop;
  front::Limits front_limits;
  upstream::Limits pool_limits;
  share_out(config.sockets, front_limits, pool_limits);
  pool_limits.connect_timeout = profile.settings.connect_timeout > 0 ? profile.settings.connect_timeout : 250 * kMs;
  pool_limits.keepalive = profile.keepalive;
  broker::Core core(profile.settings, config.seed);
  upstream::Pool pool(core, postgres::make_wire, pool_limits);
  core.attach(pool);
  core.list(MemberList::Kind::Remembered, config.known.members);
  discovery::Watch watch(core, config.discovery, config.known.revision);
  watch.start();
  front::Front front(core, front_limits, postgres::make_connection(profile.classes));
  std::string why;
  if (!front.listen(config.listen, why)) {
    std::cerr << "gorsebeam: cannot listen on " << config.listen << ": " << why << '\n';
    return 1;
  }
  net::log_line("start", config.name + " listens on " + front.address());

  net::Timer last([&] {
    if (!front.empty()) net::log_line("stop", std::to_string(front.size()) + " connections left open");
    g_main_loop_quit(loop.loop);
  });
  net::Timer empty([&] {
    if (front.empty() && core.open_requests() == 0) return g_main_loop_quit(loop.loop);
    empty.after(20 * kMs);
  });
  net::Timer door([&] {
    front.stop_accepting();
    empty.after(0);
  });
  bool stopping = false;
  const auto on_term = [&] {
    if (stopping) return;
    stopping = true;
    net::log_line("stop", "asked to stop: serving what comes until the door closes");
    door.after(kStillAccepting);
    Nanos longest = 3000 * kMs;
    for (const RequestClass& c : profile.settings.classes) longest = std::max(longest, c.deadline);
    last.after(longest + kStillAccepting);
  };
  std::function<void()> term = on_term;
  for (const int number : {SIGTERM, SIGINT})
    g_unix_signal_add(number, [](gpointer f) -> gboolean {
      (*static_cast<std::function<void()>*>(f))();
      return G_SOURCE_CONTINUE;
    }, &term);
  g_main_loop_run(loop.loop);
  net::log_line("stop", "done");
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("gorsebeam", "A read and write router for groups of a primary and its replicas");
  options.add_options()("command", "serve, check or version", cxxopts::value<std::string>()->default_value(""))(
      "config", "the gateway's configuration; else RELAY_CONFIG", cxxopts::value<std::string>())(
      "h,help", "this text");
  options.parse_positional({"command"});
  options.positional_help("serve|check|version");
  try {
    const auto given = options.parse(argc, argv);
    const std::string command = given["command"].as<std::string>();
    if (given.count("help") || command.empty()) {
      std::cout << options.help();
      return given.count("help") ? 0 : 2;
    }
    if (command == "version") {
      std::cout << "gorsebeam " << GORSEBEAM_VERSION << '\n';
      return 0;
    }
    const char* from_environment = std::getenv("RELAY_CONFIG");
    const std::string path = given.count("config") ? given["config"].as<std::string>()
                             : from_environment    ? from_environment
                                                   : "";
    if (command != "serve" && command != "check") {
      std::cerr << "gorsebeam: no command '" << command << "'; there are serve, check and version\n";
      return 2;
    }
    if (path.empty()) {
      std::cerr << "gorsebeam: no configuration: give --config FILE or set RELAY_CONFIG\n";
      return 2;
    }
    if (command == "check") {
      gateway::read_config(path);
      std::cout << path << ": fine\n";
      return 0;
    }
    return serve(path);
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam: " << error.what() << '\n';
    return 1;
  }
}
