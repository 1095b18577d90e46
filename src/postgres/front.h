// The client side of PostgreSQL's protocol.
#pragma once

#include "front/front.h"

#include "broker/contracts.h"

namespace gorsebeam::postgres {

// `terms` outlives the front.
front::Front::Make make_connection(broker::Terms& terms);

} // namespace gorsebeam::postgres
