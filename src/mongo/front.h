// The client side of the MongoDB wire protocol.
#pragma once

#include "front/front.h"

#include "broker/contracts.h"

namespace gorsebeam::mongo {

// `contracts` outlives the front.
front::Front::Make make_connection(const broker::Contracts& contracts);

} // namespace gorsebeam::mongo
