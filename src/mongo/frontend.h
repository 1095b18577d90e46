/// Serves MongoDB clients: the server's side of the wire protocol, as a router would.
/// Source: MongoDB wire protocol specification.
#pragma once

#include "frontend/frontend.h"

#include "proxy/contract_enforcer.h"

namespace gorsebeam::mongo {

/// `contracts` outlives the frontend.
frontend::Frontend::ConnectionFactory make_connection(proxy::ContractEnforcer& contracts);

}  // namespace gorsebeam::mongo
