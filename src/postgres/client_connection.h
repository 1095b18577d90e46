/// Serves PostgreSQL clients: the server side of the protocol, limited to simple queries.
/// Source: PostgreSQL 15 documentation, chapter "Frontend/Backend Protocol" (version 3.0).
#pragma once

#include "frontend/frontend.h"

#include "proxy/contract_enforcer.h"
#include "sql_classifier/sql_classifier.h"

#include <memory>

namespace gorsebeam::postgres {

/// Creates the connections of a frontend for PostgreSQL clients. `contracts` and `classifier` must
/// outlive the frontend. While `classifier` is not null, it classifies each statement, and a
/// statement that is not known to only read is forwarded only if its request class writes.
frontend::Frontend::ConnectionFactory
make_connection_factory(proxy::ContractEnforcer& contracts,
                        const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier);

}  // namespace gorsebeam::postgres
