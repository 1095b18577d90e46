// The member side of PostgreSQL's protocol.
#pragma once

#include "connection_pool/upstream_protocol.h"

namespace gorsebeam::postgres {

std::unique_ptr<connection_pool::UpstreamProtocol> make_wire();

}  // namespace gorsebeam::postgres
