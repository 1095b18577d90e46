/// Parses numeric socket addresses.
#pragma once

#include "handles.h"

#include <string>

namespace gorsebeam::net {

/// Parses a numeric address with a port, such as "127.0.0.4:6432"; host names are not resolved.
/// Returns null if `text` is no such address or its port is below `min_port`.
AddressHandle parse_address(const std::string& text, unsigned min_port = 1);

}  // namespace gorsebeam::net
