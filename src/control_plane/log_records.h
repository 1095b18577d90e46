/// Translates the log events of the version tracker into records of the operators' log. The
/// functions are pure.
#pragma once

#include "config_versions/actions.h"
#include "logging/log_record.h"

#include <string>

namespace gorsebeam::control_plane {

/// `address` is the address of the control service.
[[nodiscard]] logging::LogRecord to_record(const config_versions::StreamLost& event,
                                           const std::string& address);
[[nodiscard]] logging::LogRecord to_record(const config_versions::StreamRestored& event,
                                           const std::string& address);

/// Returns a record without the fields of the response that are empty.
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionReceived& event);
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionAccepted& event);
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionRejected& event);
[[nodiscard]] logging::LogRecord to_record(const config_versions::VersionPending& event);

}  // namespace gorsebeam::control_plane
