/// The client side of the MongoDB wire protocol, which the gateway uses with MongoDB endpoints.
/// Source: MongoDB wire protocol specification.
#pragma once

#include "connection_pool/upstream_protocol.h"

namespace gorsebeam::mongo {

std::unique_ptr<connection_pool::UpstreamProtocol> make_upstream_protocol();

}  // namespace gorsebeam::mongo
