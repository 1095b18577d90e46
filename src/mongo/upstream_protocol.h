// The member side of the MongoDB wire protocol.
#pragma once

#include "connection_pool/upstream_protocol.h"

namespace gorsebeam::mongo {

std::unique_ptr<connection_pool::UpstreamProtocol> make_wire();

}  // namespace gorsebeam::mongo
