/// Connects the version tracker to its environment: passes the operators' file, the messages of the
/// control service and the time to the tracker, and executes the tracker's actions on the gRPC
/// channel, the snapshot, the log and the gateway. Without a configured control service it opens no
/// connection, and neither reads nor writes a snapshot.
#pragma once

#include "configuration_update.h"
#include "snapshot_manager.h"

#include "config/operator_file.h"
#include "config_versions/version_tracker.h"
#include "grpc/channel.h"
#include "net/timer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace gorsebeam::control_plane {

/// All functions and callbacks run on the event loop's thread.
class ControlPlaneClient : grpc::Channel::Events {
public:
  /// Applies changed content, which is already validated.
  using ApplyCallback = std::function<void(const ConfigurationUpdate&)>;

  /// `seed` determines the random reconnection delays; it should differ between gateways, so that
  /// they do not reconnect at the same time.
  ControlPlaneClient(const config::OperatorFile& file, std::uint64_t seed, ApplyCallback apply);

  /// Restores the snapshot, applies the resulting versions and connects to the control service.
  void start();

  /// Disconnects from the control service. No version is applied afterwards.
  void stop();

  /// Applies the operators' file after it was read again. If its content is not valid together with
  /// the running versions, changes nothing and returns the error.
  [[nodiscard]] std::optional<config_versions::ValidationError>
  reload_file(const config::OperatorFile& file);

private:
  enum class State { Active, Stopped };

  void on_connected() override;
  void on_bytes_received() override;
  void on_message(std::string_view bytes) override;
  void on_disconnected(const grpc::ChannelError& error) override;
  void on_timer();

  [[nodiscard]] std::optional<config_versions::ValidationError>
  validate(const config_versions::Bodies& bodies) const;
  [[nodiscard]] bool uses_snapshots() const;

  void execute_actions();
  void execute_all(const config_versions::Actions& actions);
  void execute(const config_versions::OpenStream& action);
  void execute(const config_versions::CloseStream& action);
  void execute(const config_versions::SendPing& action);
  void execute(const config_versions::DiscoveryRequest& request);
  void execute(const config_versions::ApplyConfiguration& action);
  void execute(const config_versions::WriteSnapshot& action);
  void execute(const config_versions::StreamLost& event);
  void execute(const config_versions::StreamRestored& event);
  static void execute(const config_versions::VersionReceived& event);
  static void execute(const config_versions::VersionAccepted& event);
  static void execute(const config_versions::VersionRejected& event);
  static void execute(const config_versions::VersionPending& event);

  config::ValidationContext validation_context_;
  config::pb::Gateway gateway_config_;
  std::uint64_t seed_;
  ApplyCallback apply_callback_;
  State state_ = State::Active;
  config_versions::VersionTracker tracker_;
  /// Actions that the tracker has requested and that have not been executed yet.
  config_versions::Actions actions_;
  /// Set while `execute_actions` runs, because an action may cause events that call it again.
  bool is_executing_ = false;
  grpc::Channel channel_;
  SnapshotManager snapshots_;
  net::Timer timer_;
};

}  // namespace gorsebeam::control_plane
