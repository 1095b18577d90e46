// The client side of PostgreSQL's protocol.
#pragma once

#include "frontend/frontend.h"

#include "proxy/contract_enforcer.h"
#include "sql_classifier/sql_classifier.h"

#include <memory>

namespace gorsebeam::postgres {

// `terms` and `shapes` outlive the front. Where `shapes` holds something, statements are parsed:
// what is not known to read only goes out under a writing class alone.
frontend::Frontend::ConnectionFactory
make_connection(proxy::ContractEnforcer& terms,
                const std::shared_ptr<const sql_classifier::SqlClassifier>& shapes);

}  // namespace gorsebeam::postgres
