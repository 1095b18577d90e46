// The client side of PostgreSQL's protocol.
#pragma once

#include "front/front.h"

#include "broker/contracts.h"

namespace gorsebeam::postgres {

// `contracts` outlives the front.
front::Front::Make make_connection(const broker::Contracts& contracts);

} // namespace gorsebeam::postgres
