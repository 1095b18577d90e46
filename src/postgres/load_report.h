/// Reads the replication positions and load reports that endpoints send as texts. Does no I/O and
/// reads no clock.
#pragma once

#include "proxy/interfaces.h"

#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// Reads a replication position in Unix milliseconds. Returns nothing if `text` is no number, is
/// negative, or is further ahead of `now` than clocks may differ.
std::optional<ReplicationPosition> parse_position(std::string_view text, TimePoint now);

/// Reads a report such as "x0=1767225600.123,x1=0": x0 is the replication position, and x1 is 1 on
/// a primary. Returns nothing if the report is malformed, if its x0 is negative or further ahead of
/// `now` than clocks may differ, or if its x0 is 0, as then the endpoint has not made its first
/// report.
std::optional<LoadReport> parse_load_report(std::string_view text, TimePoint now);

}  // namespace gorsebeam::postgres
