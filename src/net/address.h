/// Parses numeric socket addresses.
#pragma once

#include "handles.h"

#include <string>

namespace gorsebeam::net {

/// Parses "127.0.0.4:6432"; no names are looked up. Returns null where the text is no numeric
/// address with a port of at least `min_port`.
AddressHandle parse_address(const std::string& text, unsigned min_port = 1);

}  // namespace gorsebeam::net
