/// Converts validated protobuf messages to the types that the proxy uses, and back. The functions
/// are pure.
#pragma once

#include "validation.h"

#include "proxy/contract_enforcer.h"
#include "proxy/listed_endpoint.h"

#include <vector>

namespace gorsebeam::config {

/// Converts validated contracts. Each class that `contracts` names must be in `classes`.
[[nodiscard]] proxy::ContractSet to_contract_set(const pb::Contracts& contracts,
                                                 const ClassIndexes& classes);

[[nodiscard]] std::vector<proxy::ListedEndpoint>
to_endpoints(const google::protobuf::RepeatedPtrField<pb::Member>& members);

void append_members(const std::vector<proxy::ListedEndpoint>& endpoints,
                    google::protobuf::RepeatedPtrField<pb::Member>& members);

}  // namespace gorsebeam::config
