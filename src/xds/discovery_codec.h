/// Reads and writes the messages of the xDS transport protocol, version 3, state of the world.
/// Pure: bytes in, values out. Source: "xDS REST and gRPC protocol", Envoy documentation; the
/// messages are those of schema/gorsebeam/xds/v3.
#pragma once

#include "common/result.h"
#include "config/validation.h"
#include "config_versions/configuration.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsebeam::xds {

/// The gRPC method of the aggregated discovery service.
constexpr const char* kAggregatedStreamPath =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";

/// Number of resources that one response may hold.
constexpr int kMaxResources = 1000;

/// Bytes of the type URL, the version and the nonce of a response that are stored; the rest is cut
/// off.
constexpr std::size_t kMaxIdentifierBytes = 200;

/// Bytes of an error that are sent in a NACK; the rest is cut off.
constexpr std::size_t kMaxErrorDetailBytes = 2000;

/// Identifies the gateway in the first request of each type on a stream.
struct NodeIdentity {
  std::string id;
  std::string cluster;
};

/// States why bytes are not a response at all; the stream must be closed.
struct DecodeError {
  enum class Code { NotADiscoveryResponse };

  Code code = Code::NotADiscoveryResponse;
};

/// Decodes a response and validates its resources against `context`, without those of other types.
/// A response with invalid content is a value with its `error` set, as it must be answered by a
/// NACK.
[[nodiscard]] common::Result<config_versions::DiscoveryResponse, DecodeError>
decode_response(std::string_view bytes, const config::ValidationContext& context);

/// Encodes a request. Only a subscription, which is the first request of a type, holds the node.
[[nodiscard]] std::string encode_request(const config_versions::DiscoveryRequest& request,
                                         const NodeIdentity& node);

}  // namespace gorsebeam::xds
