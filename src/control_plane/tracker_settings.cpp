#include "tracker_settings.h"

#include "xds/resources.h"

#include <algorithm>
#include <chrono>

namespace gorsebeam::control_plane {
namespace {

config_versions::StreamSettings make_stream_settings(const config::pb::ControlService& service) {
  config_versions::StreamSettings settings;
  settings.addresses.assign(service.address().begin(), service.address().end());
  if (service.reconnect_most_ms() != 0)
    settings.max_reconnect_backoff = std::chrono::milliseconds(service.reconnect_most_ms());
  settings.initial_reconnect_backoff =
      std::min(settings.initial_reconnect_backoff, settings.max_reconnect_backoff);
  if (service.silence_ms() != 0)
    settings.keepalive_interval = std::chrono::milliseconds(service.silence_ms());
  settings.connect_timeout = std::min(settings.connect_timeout, settings.keepalive_interval);
  return settings;
}

}  // namespace

config_versions::TrackerSettings make_tracker_settings(const config::OperatorFile& file,
                                                       std::uint64_t seed) {
  const config::pb::ControlService& service = file.gateway.control_service();
  config_versions::TrackerSettings settings;
  settings.stream = make_stream_settings(service);
  if (service.hold_ms() != 0)
    settings.dependency_timeout = std::chrono::milliseconds(service.hold_ms());
  settings.seed = seed;
  return settings;
}

config_versions::FileVersions make_file_versions(const config::OperatorFile& file) {
  return {xds::make_file_version(file.gateway.contracts()), xds::make_file_version(file.members),
          xds::make_file_version(file.gateway.limits())};
}

}  // namespace gorsebeam::control_plane
