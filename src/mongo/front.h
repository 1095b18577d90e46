// The client side of the MongoDB wire protocol.
#pragma once

#include "front/front.h"

#include "broker/contracts.h"

namespace gorsebeam::mongo {

// `terms` outlives the front.
front::Front::Make make_connection(broker::Terms& terms);

}  // namespace gorsebeam::mongo
