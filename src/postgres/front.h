// The client side of PostgreSQL's protocol.
#pragma once

#include "front/front.h"

#include <map>

namespace gorsebeam::postgres {

// `classes` outlives the front: the settings' classes by name.
front::Front::Make make_connection(const std::map<std::string, std::size_t>& classes);

} // namespace gorsebeam::postgres
