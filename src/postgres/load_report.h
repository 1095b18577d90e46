/// Reads the replication positions and load reports that endpoints send in parameters. Pure.
#pragma once

#include "proxy/interfaces.h"

#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// A replication position in Unix milliseconds; nothing if it is no number, negative, or too far
/// ahead of `now`.
std::optional<ReplicationPosition> parse_position(std::string_view text, TimePoint now);

/// Reads a report such as "x0=1767225600.123,x1=0". Nothing if it is malformed, or if its endpoint
/// has not made its first report.
std::optional<LoadReport> parse_load_report(std::string_view text, TimePoint now);

}  // namespace gorsebeam::postgres
