/// Decodes and encodes the messages of the xDS transport protocol, version 3, "state of the world"
/// variant. The functions are pure. Source: "xDS REST and gRPC protocol", Envoy documentation; the
/// messages are those of schema/gorsebeam/xds/v3.
#pragma once

#include "common/result.h"
#include "config/validation.h"
#include "config_versions/configuration.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsebeam::xds {

/// The path of the gRPC method of the aggregated discovery service.
constexpr const char* kAggregatedStreamPath =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";

/// Largest number of resources that one response may hold.
constexpr int kMaxResources = 1000;

/// Largest stored size of the type URL, the version and the nonce of a response; longer values are
/// truncated.
constexpr std::size_t kMaxIdentifierBytes = 200;

/// Largest size of the error message in a NACK; longer messages are truncated.
constexpr std::size_t kMaxErrorDetailBytes = 2000;

/// Identifies the gateway to the control service, in the first request of each type on a stream.
struct NodeIdentity {
  std::string id;
  std::string cluster;
};

/// States why bytes cannot be decoded as a response. The stream must be closed then, as there is no
/// nonce to reject.
struct DecodeError {
  enum class Code { NotADiscoveryResponse };

  Code code = Code::NotADiscoveryResponse;
};

/// Decodes a response and validates its resources in `context`, without regard to other types. For
/// a response with invalid content it returns a value whose `error` is set, as the response must be
/// answered by a NACK.
[[nodiscard]] common::Result<config_versions::DiscoveryResponse, DecodeError>
decode_response(std::string_view bytes, const config::ValidationContext& context);

/// Encodes a request. Only a subscription, which is the first request of a type on a stream,
/// contains `node`.
[[nodiscard]] std::string encode_request(const config_versions::DiscoveryRequest& request,
                                         const NodeIdentity& node);

}  // namespace gorsebeam::xds
