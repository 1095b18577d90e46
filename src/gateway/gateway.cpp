#include "gateway.h"

#include "config/conversion.h"
#include "inventory/rewrite_check.h"
#include "mongo/client_connection.h"
#include "mongo/upstream_protocol.h"
#include "net/log.h"
#include "net/loop_monitor.h"
#include "net/signals.h"
#include "postgres/client_connection.h"
#include "postgres/upstream_protocol.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::gateway {
namespace {

// After SIGTERM new connections still arrive for up to 0.4 s.
constexpr Duration kAcceptAfterStop = 550ms;
constexpr Duration kMinShutdownDeadline = 3000ms;
constexpr Duration kDrainCheckInterval = 20ms;

using sql_classifier::SqlClassifier;

std::shared_ptr<const SqlClassifier> make_classifier(const config::pb::Shapes& settings,
                                                     std::size_t memory_mib) {
  if (!settings.postgres())
    return nullptr;
  std::set<std::string> read_functions(settings.read_function().begin(),
                                       settings.read_function().end());
  return std::make_shared<const SqlClassifier>(std::move(read_functions),
                                               max_statement_tokens(memory_mib));
}

void log_listener(const char* protocol, const frontend::Frontend& frontend) {
  net::log({"listener_started", {{"protocol", protocol}, {"address", frontend.address()}}});
}

void log_rejected_reload(const std::string& error) {
  net::log({"reload_rejected", {{"error", error}}});
}

std::optional<net::ListenError> listen(frontend::Frontend& frontend, const std::string& address,
                                       const char* protocol) {
  if (const auto error = frontend.listen(address))
    return net::ListenError{error->kind, "cannot listen on " + address + ": " + error->message};
  log_listener(protocol, frontend);
  return std::nullopt;
}

}  // namespace

Gateway::Gateway(GatewayConfig config)
    : config_(std::move(config)), loop_(g_main_loop_new(nullptr, FALSE)), inventory_timer_([this] {
        await_settled_inventories();
      }),
      stop_accepting_timer_([this] {
        stop_accepting();
      }),
      drain_timer_([this] {
        quit_when_drained();
      }),
      shutdown_deadline_timer_([this] {
        net::log({"shutdown_deadline_exceeded", {}});
        g_main_loop_quit(loop_.get());
      }) {
  const settings::DeploymentProfile& profile = config_.platform.profile;
  const bool serves_mongo = config_.operator_file.gateway.has_mongo();
  ResourceShare share = compute_share(config_.platform.max_sockets, config_.platform.memory_mib,
                                      serves_mongo ? 2 : 1);
  if (profile.settings.connect_timeout > 0ms)
    share.pool.connect_timeout = profile.settings.connect_timeout;
  share.pool.idle_timeout.reset();
  if (profile.endpoint_idle_timeout > 0ms)
    share.pool.idle_timeout = profile.endpoint_idle_timeout;
  const std::uint64_t seed = config_.platform.seed;
  postgres_ =
      std::make_unique<ProtocolPath>(profile, seed, postgres::make_upstream_protocol, share,
                                     postgres::make_connection_factory(contracts_, classifier_));
  if (serves_mongo)
    mongo_ = std::make_unique<ProtocolPath>(profile, ~seed, mongo::make_upstream_protocol, share,
                                            mongo::make_connection_factory(contracts_));
}

Gateway::~Gateway() {
  postgres_->broker().set_list_source(nullptr);
  if (endpoint_watch_)
    endpoint_watch_->stop();
}

std::optional<net::ListenError> Gateway::start() {
  const config::pb::Gateway& file = config_.operator_file.gateway;
  apply_operator_file(file);
  control_plane_ = std::make_unique<control_plane::ControlPlaneClient>(
      config_.operator_file, config_.platform.seed,
      [this](const control_plane::ConfigurationUpdate& update) {
        apply_update(update);
      });
  if (!config_.operator_file.context.postgres_members_configured)
    start_discovery();
  control_plane_->start();
  if (auto error = listen(postgres_->frontend(), config_.platform.listen_address, "PostgreSQL"))
    return error;
  if (!mongo_)
    return std::nullopt;
  return listen(mongo_->frontend(), file.mongo().listen(), "MongoDB");
}

void Gateway::start_discovery() {
  const config::PlatformConfig& config = config_.platform;
  const auto& settings = config.profile.settings;
  const auto service = settings.discovery_mode == DiscoveryMode::Poll
                           ? discovery::DiscoveryService::Shared
                           : discovery::DiscoveryService::LocalAgent;
  endpoint_watch_ = std::make_unique<discovery::EndpointWatch>(
      postgres_->broker(), config.discovery_address, config.initial_endpoints,
      discovery::ReconnectBackoff(settings.router_count, service, config.seed));
  endpoint_watch_->start();
  postgres_->broker().set_list_source(endpoint_watch_.get());
}

void Gateway::stop() {
  if (std::exchange(is_stopping_, true))
    return;
  net::log({"shutdown_started", {}});
  control_plane_->stop();
  stop_accepting_timer_.after(kAcceptAfterStop);
  const Duration deadline =
      std::max(kMinShutdownDeadline, longest_deadline(config_.platform.profile.settings));
  shutdown_deadline_timer_.after(deadline + kAcceptAfterStop);
}

void Gateway::stop_accepting() {
  postgres_->frontend().stop_accepting();
  if (mongo_)
    mongo_->frontend().stop_accepting();
  drain_timer_.after(0ms);
}

void Gateway::quit_when_drained() {
  if (postgres_->is_drained() && (!mongo_ || mongo_->is_drained()))
    return g_main_loop_quit(loop_.get());
  drain_timer_.after(kDrainCheckInterval);
}

void Gateway::apply_operator_file(const config::pb::Gateway& file) {
  const bool is_json = file.log().format() == config::pb::Log::JSON;
  net::set_log_format(is_json ? net::LogFormat::Json : net::LogFormat::Text);
  classifier_ = make_classifier(file.shapes(), config_.platform.memory_mib);
}

std::optional<std::string> Gateway::restart_reason(const GatewayConfig& config) const {
  if (config.operator_file.gateway.has_mongo() != (mongo_ != nullptr))
    return "MongoDB can be turned on or off only by a restart, because the file descriptors are "
           "divided among the protocols at startup";
  if (config.operator_file.context.postgres_members_configured !=
      config_.operator_file.context.postgres_members_configured)
    return "a change between PostgreSQL members from discovery and from the operators' file "
           "requires a restart";
  return std::nullopt;
}

std::optional<settings::FileError> Gateway::find_cut_inventory(const GatewayConfig& config) const {
  const config::InventoryLayouts& applied = config_.operator_file.inventories;
  for (const auto& [path, layout] : config.operator_file.inventories) {
    const auto previous = applied.find(path);
    if (previous == applied.end())
      continue;
    if (auto error = inventory::find_cut(path, previous->second, layout))
      return error;
  }
  return std::nullopt;
}

std::optional<net::ListenError> Gateway::move_mongo_listener(const GatewayConfig& config) {
  const std::string& address = config.operator_file.gateway.mongo().listen();
  if (!mongo_ || address == config_.operator_file.gateway.mongo().listen())
    return std::nullopt;
  return listen(mongo_->frontend(), address, "MongoDB");
}

void Gateway::begin_reload() {
  if (config_.operator_file_path.empty())
    return reload();
  std::vector<std::string> inventories = config::inventory_paths(config_.operator_file_path);
  if (inventories.empty())
    return reload();
  net::log({"reload_started", {{"inventories", std::to_string(inventories.size())}}});
  inventory_watch_.begin(std::move(inventories), net::now());
  inventory_timer_.after(kInventorySettleTime);
}

void Gateway::await_settled_inventories() {
  switch (inventory_watch_.check(net::now())) {
  case InventoryWatch::State::Changing:
    return inventory_timer_.after(kInventorySettleTime);
  case InventoryWatch::State::Settled:
    return reload();
  case InventoryWatch::State::GivenUp:
    return log_rejected_reload(config_.operator_file_path +
                               ": an inventory goes on changing; write another file and rename it "
                               "to the inventory");
  }
}

void Gateway::reload() {
  // A gateway that is stopping must not listen on a new address.
  if (is_stopping_)
    return log_rejected_reload("this gateway is stopping");
  const auto read = read_gateway_config(config_.platform_config_path, config_.operator_file_path,
                                        &config_.platform.profile.class_indexes);
  if (!read)
    return log_rejected_reload(read.error().to_string());
  const GatewayConfig& config = read.value();
  if (const auto reason = restart_reason(config))
    return log_rejected_reload(config_.operator_file_path + ": " + *reason);
  if (const auto error = find_cut_inventory(config))
    return log_rejected_reload(error->to_string());
  // This is the last step that can reject the reload, because it changes the running process.
  if (const auto error = move_mongo_listener(config))
    return log_rejected_reload(error->message);
  apply_config(config);
}

// An endpoint that is listed again under its name keeps its id, and the router keeps its state;
// pending requests are not affected.
void Gateway::apply_config(const GatewayConfig& config) {
  apply_operator_file(config.operator_file.gateway);
  if (config.platform.restart_only_settings != config_.platform.restart_only_settings)
    net::log({"reload_requires_restart", {{"settings", "platform"}}});
  if (endpoint_watch_)
    endpoint_watch_->change_address(config.platform.discovery_address);
  const auto error = control_plane_->reload_file(config.operator_file);
  config_.operator_file.gateway = config.operator_file.gateway;
  config_.operator_file.inventories = config.operator_file.inventories;
  if (error)
    return net::log({"reload_partial", {{"error", error->message}}});
  net::log({"reload_complete", {{"discovery", config.platform.discovery_address}}});
}

void Gateway::apply_update(const control_plane::ConfigurationUpdate& update) {
  if (update.contracts)
    apply_contracts(*update.contracts);
  if (update.members)
    apply_endpoints(*update.members);
  if (update.limits)
    apply_limits(*update.limits);
}

void Gateway::apply_contracts(const config::pb::Contracts& contracts) {
  auto contract_set = std::make_shared<proxy::ContractSet>(
      config::to_contract_set(contracts, config_.platform.profile.class_indexes));
  contracts_.replace_contracts(std::move(contract_set), net::now());
}

void Gateway::apply_endpoints(const config::pb::Members& endpoints) {
  if (config_.operator_file.context.postgres_members_configured)
    postgres_->broker().update_endpoints(EndpointList::Kind::Full,
                                         config::to_endpoints(endpoints.postgres()));
  if (mongo_)
    mongo_->broker().update_endpoints(EndpointList::Kind::Full,
                                      config::to_endpoints(endpoints.mongo()));
}

void Gateway::apply_limits(const config::pb::Limits& limits) {
  postgres_->apply_limits(limits);
  if (mongo_)
    mongo_->apply_limits(limits);
}

void Gateway::run() {
  const net::Signals signals({SIGHUP, SIGTERM, SIGINT}, [this](int number) {
    if (number == SIGHUP)
      begin_reload();
    else
      stop();
  });
  net::observe_loop();
  g_main_loop_run(loop_.get());
  net::log({"shutdown_complete", {}});
}

}  // namespace gorsebeam::gateway
