/// Reads and writes the messages of the xDS transport protocol, version 3, state of the world.
/// Pure: bytes in, values out. Source: "xDS REST and gRPC protocol", Envoy documentation; the
/// messages are those of schema/gorsebeam/xds/v3.
#pragma once

#include "common/result.h"
#include "config/validation.h"
#include "config_versions/configuration.h"

#include <string>
#include <string_view>

namespace gorsebeam::xds {

/// The gRPC method of the aggregated discovery service.
constexpr const char* kAggregatedStreamPath =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";

/// Resources of one response; one with more is rejected.
constexpr int kMaxResources = 1000;

/// Bytes of a type URL, version or nonce that are kept of a response.
constexpr std::size_t kMaxIdentifierBytes = 200;

/// Bytes of an error that are sent back in a NACK.
constexpr std::size_t kMaxErrorDetailBytes = 2000;

/// How the gateway names itself on the first request of each type on a stream.
struct NodeIdentity {
  std::string id;
  std::string cluster;
};

/// States why bytes are no response at all; the stream is of no further use.
struct DecodeError {
  enum class Code { NotADiscoveryResponse };

  Code code = Code::NotADiscoveryResponse;
};

/// Decodes a response and checks its resources by themselves, against `site`. A response whose
/// content is wrong is a value, with its `error` set, as it must be answered by a NACK.
[[nodiscard]] common::Result<config_versions::DiscoveryResponse, DecodeError>
decode_response(std::string_view bytes, const config::ValidationContext& site);

/// Encodes a request. The node is sent with subscriptions alone, which start a stream.
[[nodiscard]] std::string encode_request(const config_versions::DiscoveryRequest& request,
                                         const NodeIdentity& node);

}  // namespace gorsebeam::xds
