/// Serves PostgreSQL clients: the backend's side of the protocol, simple queries only.
/// Source: PostgreSQL 15 documentation, chapter "Frontend/Backend Protocol" (version 3.0).
#pragma once

#include "frontend/frontend.h"

#include "proxy/contract_enforcer.h"
#include "sql_classifier/sql_classifier.h"

#include <memory>

namespace gorsebeam::postgres {

/// `contracts` and `classifier` outlive the frontend. While `classifier` is not null, statements
/// are parsed: one that is not known to read only is forwarded under a writing class alone.
frontend::Frontend::ConnectionFactory
make_connection_factory(proxy::ContractEnforcer& contracts,
                        const std::shared_ptr<const sql_classifier::SqlClassifier>& classifier);

}  // namespace gorsebeam::postgres
