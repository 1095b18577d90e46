/// The one way in for what an operator configures: the file at the start, the file read again, and
/// what a control service sends all go through the version tracker, and what it applies is handed
/// to the gateway. Carries between the tracker, the gRPC channel, the snapshot file and the log;
/// without a control service nothing is connected or written.
#pragma once

#include "config/operator_file.h"
#include "config_versions/version_tracker.h"
#include "grpc/channel.h"
#include "net/timer.h"
#include "snapshot_store/async_snapshot_writer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::control_plane {

/// All runs on the main loop's thread.
class ControlPlaneClient : grpc::Channel::Events {
public:
  /// Receives what is in force from now on; null for a type that has not changed.
  using ApplyCallback = std::function<void(const config::pb::Contracts*, const config::pb::Members*,
                                           const config::pb::Limits*)>;

  /// `seed` spreads the reconnections of many gateways.
  ControlPlaneClient(const config::OperatorFile& file, std::uint64_t seed, ApplyCallback apply);

  /// Restores the snapshot, applies what there is and connects.
  void start();

  /// Disconnects; no version is applied from now on.
  void stop();

  /// Takes over the operators' file, read again. Changes nothing on an error.
  [[nodiscard]] std::optional<config_versions::ValidationError>
  reload_file(const config::OperatorFile& file);

private:
  void on_connected() override;
  void on_bytes_received() override;
  void on_message(std::string_view bytes) override;
  void on_disconnected(const grpc::ChannelError& error) override;
  void on_timer();

  [[nodiscard]] std::optional<config_versions::ValidationError>
  validate(const config_versions::Bodies& bodies) const;
  [[nodiscard]] bool uses_snapshots() const;
  void load_snapshot();
  void write_snapshot();
  [[nodiscard]] std::string describe_pushed_versions() const;

  void execute_actions();
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

  config::ValidationContext site_;
  config::pb::Gateway file_;
  std::uint64_t seed_;
  ApplyCallback apply_;
  config_versions::VersionTracker tracker_;
  config_versions::Actions actions_;
  bool executing_ = false;
  bool stopped_ = false;
  grpc::Channel channel_;
  snapshot_store::AsyncSnapshotWriter snapshot_writer_;
  net::Timer timer_;
};

}  // namespace gorsebeam::control_plane
