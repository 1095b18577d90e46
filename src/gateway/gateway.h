// One gateway: the fronts, their cores and upstreams, and the end after SIGTERM.
#pragma once

#include "config/broker_file.h"
#include "config/config.h"
#include "discovery/watch.h"
#include "front/front.h"
#include "upstream/pool.h"

#include <functional>
#include <memory>
#include <string>

namespace gorsebeam::gateway {

// Everything that is read before it listens. Members of an inventory stand in `postgres` and `mongo`.
struct Plan {
  config::Config config;
  config::BrokerFile broker;
  std::vector<broker::Listed> postgres, mongo;
  std::string config_path, broker_path; // read again on SIGHUP
};
Plan read_plan(const std::string& config, const std::string& broker_file); // throws settings::FormatError

// One protocol's way through: a front on a core of its own, with its own members.
class Path {
public:
  Path(const settings::Profile& profile, std::uint64_t seed, upstream::WireFactory wire,
       const upstream::Limits& pool, const front::Limits& limits, front::Front::Make make)
      : core(profile.settings, seed), pool_(core, wire, pool), front(core, limits, std::move(make)) {
    core.attach(pool_);
  }
  bool done() const { return front.empty() && core.open_requests() == 0; }

  broker::Core core;

private:
  upstream::Pool pool_;

public:
  front::Front front;
};

class Gateway {
public:
  explicit Gateway(Plan plan);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();
  bool start(std::string& why); // false: a front cannot listen
  int run();                    // until it is asked to stop and all is answered

private:
  void stop();
  // All files, on SIGHUP. Follows discovery's address and the inventories; a bad file is told of and changes nothing.
  void reload();

  Plan plan_;
  GMainLoop* loop_;
  std::unique_ptr<Path> postgres_, mongo_;
  std::unique_ptr<discovery::Watch> watch_;
  net::Timer door_, empty_, last_;
  bool stopping_ = false;
};

} // namespace gorsebeam::gateway
