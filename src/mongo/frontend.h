// The client side of the MongoDB wire protocol.
#pragma once

#include "frontend/frontend.h"

#include "proxy/contract_enforcer.h"

namespace gorsebeam::mongo {

// `terms` outlives the front.
frontend::Frontend::ConnectionFactory make_connection(proxy::ContractEnforcer& terms);

}  // namespace gorsebeam::mongo
