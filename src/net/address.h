/// Parses numeric socket addresses.
#pragma once

#include "handles.h"

#include <string>

namespace gorsebeam::net {

/// Parses an address such as "127.0.0.4:6432"; names are not resolved. Returns null if the text is
/// not a numeric address with a port of at least `min_port`.
AddressHandle parse_address(const std::string& text, unsigned min_port = 1);

}  // namespace gorsebeam::net
