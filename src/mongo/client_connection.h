/// Serves MongoDB clients: the server's side of the wire protocol, as a router (mongos) has it.
/// Source: MongoDB wire protocol specification.
#pragma once

#include "frontend/frontend.h"

#include "proxy/contract_enforcer.h"

namespace gorsebeam::mongo {

/// `contracts` outlives the frontend.
frontend::Frontend::ConnectionFactory make_connection_factory(proxy::ContractEnforcer& contracts);

}  // namespace gorsebeam::mongo
