/// Serves MongoDB clients over the wire protocol. To drivers the gateway is a router (mongos).
/// Source: MongoDB wire protocol specification.
#pragma once

#include "frontend/frontend.h"

#include "proxy/contract_enforcer.h"

namespace gorsebeam::mongo {

/// Creates the connections of a frontend for MongoDB clients. `contracts` must outlive the
/// frontend.
frontend::Frontend::ConnectionFactory make_connection_factory(proxy::ContractEnforcer& contracts);

}  // namespace gorsebeam::mongo
