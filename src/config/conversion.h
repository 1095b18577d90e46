/// Converts validated messages to the types that the proxy works with, and back. Pure.
#pragma once

#include "validation.h"

#include "proxy/contract_enforcer.h"
#include "proxy/request_broker.h"

#include <vector>

namespace gorsebeam::config {

/// Each class that `contracts` name must be in `classes`.
[[nodiscard]] proxy::ContractSet to_contract_set(const pb::Contracts& contracts,
                                                 const ClassIndexes& classes);

[[nodiscard]] std::vector<proxy::ListedEndpoint>
to_endpoints(const google::protobuf::RepeatedPtrField<pb::Member>& members);

void append_members(const std::vector<proxy::ListedEndpoint>& endpoints,
                    google::protobuf::RepeatedPtrField<pb::Member>& members);

}  // namespace gorsebeam::config
