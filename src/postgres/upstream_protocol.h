/// The client side of the PostgreSQL protocol, which the gateway uses with PostgreSQL endpoints.
/// Sends only simple queries.
/// Source: PostgreSQL 15 documentation, chapter "Frontend/Backend Protocol" (version 3.0).
#pragma once

#include "connection_pool/upstream_protocol.h"

namespace gorsebeam::postgres {

std::unique_ptr<connection_pool::UpstreamProtocol> make_upstream_protocol();

}  // namespace gorsebeam::postgres
