#include "snapshot_manager.h"

#include "net/log.h"
#include "snapshot_store/snapshot_codec.h"
#include "snapshot_store/snapshot_file.h"

#include <optional>
#include <utility>

namespace gorsebeam::control_plane {
namespace {

using snapshot_store::SnapshotError;

void log_write_error(const std::optional<SnapshotError>& error) {
  if (error)
    net::log({"snapshot_write_failed", {{"error", error->message}}});
}

void log_rejection(const std::string& error) {
  net::log({"snapshot_rejected", {{"error", error}}});
}

/// Returns the versions that a control service sent, such as "contracts version c3, limits version
/// l1".
std::string describe_pushed_versions(const config_versions::VersionTracker& tracker) {
  std::string text;
  for (const config_versions::ResourceType type : config_versions::kResourceTypes) {
    const config_versions::Version& running = tracker.accepted(type).running;
    if (running.is_from_file())
      continue;
    if (!text.empty())
      text += ", ";
    text += config_versions::resource_type_name(type);
    text += " version " + running.version;
  }
  return text;
}

}  // namespace

SnapshotManager::SnapshotManager() : writer_(&log_write_error) {}

void SnapshotManager::restore(const std::string& folder, const config::ValidationContext& context,
                              config_versions::VersionTracker& tracker) {
  const auto snapshot = snapshot_store::load_snapshot(folder);
  if (!snapshot) {
    if (snapshot.error().code != SnapshotError::Code::NotFound)
      log_rejection(snapshot.error().message);
    return;
  }
  auto versions = snapshot_store::validate_snapshot(snapshot.value(), context);
  if (!versions)
    return log_rejection(versions.error().message);
  if (const auto error = tracker.restore_snapshot(std::move(versions.value())))
    return log_rejection(error->message);
  net::log({"snapshot_restored", {{"versions", describe_pushed_versions(tracker)}}});
}

void SnapshotManager::write(const std::string& folder,
                            const config_versions::VersionTracker& tracker) {
  const state::v1::LastGood snapshot = snapshot_store::make_snapshot(tracker);
  if (snapshot.contracts().held() || snapshot.members().held() || snapshot.limits().held())
    writer_.write(folder, snapshot_store::encode_snapshot(snapshot));
}

}  // namespace gorsebeam::control_plane
