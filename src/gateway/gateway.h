/// Runs one gateway process: start, reload on SIGHUP, graceful shutdown on SIGTERM and SIGINT.
#pragma once

#include "gateway_config.h"
#include "inventory_watch.h"
#include "protocol_path.h"

#include "control_plane/control_plane_client.h"
#include "discovery/endpoint_watch.h"
#include "net/handles.h"
#include "net/listener.h"
#include "net/timer.h"
#include "proxy/contract_enforcer.h"
#include "sql_classifier/sql_classifier.h"

#include <memory>
#include <optional>
#include <string>

namespace gorsebeam::gateway {

/// All functions run on the event loop's thread.
class Gateway {
public:
  /// Throws settings::FormatError if the process's limit on open files is too low.
  explicit Gateway(GatewayConfig config);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();

  /// Starts to listen; returns an error if a frontend cannot listen.
  [[nodiscard]] std::optional<net::ListenError> start();

  /// Runs until SIGTERM or SIGINT has started the shutdown and either all client connections are
  /// closed or the deadline of the shutdown has passed.
  void run();

private:
  void stop();
  void stop_accepting();
  void quit_when_drained();
  void start_discovery();

  /// Starts a reload, on SIGHUP. Inventories are read once they have stopped changing.
  void begin_reload();
  void await_settled_inventories();

  /// Reads all files again. They are read and validated before anything changes: an invalid file is
  /// logged and changes nothing.
  void reload();
  void apply_config(const GatewayConfig& config);

  /// Why valid settings cannot be applied to the running process; empty if they can.
  [[nodiscard]] std::optional<std::string> restart_reason(const GatewayConfig& config) const;

  /// Why an inventory of `config` may be the beginning of a file that is being rewritten; empty if
  /// none may be.
  [[nodiscard]] std::optional<settings::FileError>
  find_cut_inventory(const GatewayConfig& config) const;

  /// Moves the MongoDB listener if `config` has a new address for it.
  [[nodiscard]] std::optional<net::ListenError> move_mongo_listener(const GatewayConfig& config);

  /// Applies the settings that only the operators' file has: the log's format and the SQL
  /// classifier.
  void apply_operator_file(const config::pb::Gateway& file);

  /// Applies changed contracts, endpoints and limits.
  void apply_update(const control_plane::ConfigurationUpdate& update);
  void apply_contracts(const config::pb::Contracts& contracts);
  void apply_endpoints(const config::pb::Members& endpoints);
  void apply_limits(const config::pb::Limits& limits);

  GatewayConfig config_;
  net::MainLoopHandle loop_;
  proxy::ContractEnforcer contracts_;
  /// Null while statements are not parsed.
  std::shared_ptr<const gorsebeam::sql_classifier::SqlClassifier> classifier_;
  std::unique_ptr<ProtocolPath> postgres_;
  std::unique_ptr<ProtocolPath> mongo_;  ///< Null if MongoDB is not served.
  /// Null if the operators' file lists the PostgreSQL endpoints.
  std::unique_ptr<discovery::EndpointWatch> endpoint_watch_;
  std::unique_ptr<control_plane::ControlPlaneClient> control_plane_;
  InventoryWatch inventory_watch_;
  net::Timer inventory_timer_;
  net::Timer stop_accepting_timer_;
  net::Timer drain_timer_;
  net::Timer shutdown_deadline_timer_;
  bool is_stopping_ = false;
};

}  // namespace gorsebeam::gateway
