/// Translates the log events of the version tracker into records of the operators' log. Pure.
#pragma once

#include "config_versions/actions.h"
#include "logging/log_record.h"

#include <string>

namespace gorsebeam::control_plane {

/// `address` is that of the control service.
[[nodiscard]] logging::LogRecord to_record(const config_versions::StreamLost& event,
                                           const std::string& address);
[[nodiscard]] logging::LogRecord to_record(const config_versions::StreamRestored& event,
                                           const std::string& address);

/// An empty field of the response is left out.
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionReceived& event);
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionAccepted& event);
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionRejected& event);
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionPending& event);

}  // namespace gorsebeam::control_plane
