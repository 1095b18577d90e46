/// Reads the replication positions and load reports that endpoints send in parameters. Pure but for
/// the clock.
#pragma once

#include "proxy/interfaces.h"

#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// A position in Unix milliseconds; nothing where it cannot be read or is too far ahead of our
/// clock.
std::optional<ReplicationPosition> parse_position(std::string_view text);

/// Reads a report such as "x0=1767225600.123,x1=0". A report that is malformed, or not made yet by
/// its endpoint, leaves `report` as it is.
void read_load_report(std::string_view text, LoadReport& report);

}  // namespace gorsebeam::postgres
