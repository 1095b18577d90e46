// One gateway: the fronts, their cores and upstreams, and the end after SIGTERM.
#pragma once

#include "config/operator_file.h"
#include "config/platform_config.h"
#include "connection_pool/connection_pool.h"
#include "control_plane/control_plane_client.h"
#include "discovery/endpoint_watch.h"
#include "frontend/frontend.h"
#include "proxy/contract_enforcer.h"
#include "sql_classifier/sql_classifier.h"

#include <functional>
#include <memory>
#include <string>

namespace gorsebeam::gateway {

// Everything that is read before it listens.
struct Plan {
  config::PlatformConfig config;
  config::OperatorFile file;
  std::string config_path, file_path;  // read again on SIGHUP
};

/// Reads and validates all files.
[[nodiscard]] common::Result<Plan, settings::FileError> read_plan(const std::string& config,
                                                                  const std::string& file);

// One protocol's way through: a front on a core of its own, with its own members.
class Path {
public:
  Path(const settings::DeploymentProfile& profile, std::uint64_t seed,
       connection_pool::WireFactory wire, const connection_pool::PoolLimits& pool,
       const frontend::FrontendLimits& limits, frontend::Frontend::ConnectionFactory make)
      : core(profile.settings, seed), pool_(core, wire, pool), pool_share_(pool),
        front_share_(limits), front(core, limits, std::move(make)) {
    core.attach(pool_);
  }

  // What the operator allows, within the path's own share.
  void limit(const config::pb::Limits& limits);

  bool done() const { return front.empty() && core.open_requests() == 0; }

  proxy::RequestBroker core;

private:
  connection_pool::ConnectionPool pool_;
  const connection_pool::PoolLimits pool_share_;
  const frontend::FrontendLimits front_share_;

public:
  frontend::Frontend front;
};

class Gateway {
public:
  explicit Gateway(Plan plan);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();
  bool start(std::string& why);  // false: a front cannot listen
  int run();                     // until it is asked to stop and all is answered

private:
  void stop();
  // All files, on SIGHUP. Follows discovery's address and what the operator configures; a bad file
  // is told of and changes nothing.
  void reload();
  void
  take_up(const config::pb::Gateway& file);  // what the file alone settles: the log's form, shapes
  // Why a file that is fine by itself cannot be followed by a running process; empty: it can.
  std::string waits_for_start(const Plan& fresh) const;
  // The one place where a version comes into force: contracts, members and limits; null: as it was.
  void run(const config::pb::Contracts* contracts, const config::pb::Members* members,
           const config::pb::Limits* limits);

  Plan plan_;
  GMainLoop* loop_;
  proxy::ContractEnforcer terms_;
  std::shared_ptr<const gorsebeam::sql_classifier::SqlClassifier>
      shapes_;  // null: statements are not parsed
  std::unique_ptr<Path> postgres_, mongo_;
  std::unique_ptr<discovery::EndpointWatch> watch_;
  std::unique_ptr<control_plane::ControlPlaneClient> control_;
  net::Timer door_, empty_, last_;
  bool stopping_ = false;
};

}  // namespace gorsebeam::gateway
