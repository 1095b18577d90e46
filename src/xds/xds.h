// The xDS transport protocol, version 3, state of the world: what its messages mean here. Pure:
// bytes in, values out. Source: the published "xDS REST and gRPC protocol"; schema/gorsebeam/xds/v3
// holds its messages.
#pragma once

#include "config/validation.h"
#include "config_versions/version_tracker.h"

#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::xds {

constexpr const char* kPath =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
constexpr int kResourcesMost = 1000;  // in one response

std::string type_url(config_versions::Type type);

// A response as the machine takes it, checked by itself; nothing: no such message, and the stream
// is of no use.
std::optional<config_versions::Offer> read_response(std::string_view bytes,
                                                    const config::ValidationContext& site);

// The bytes of a request. The node is told on the first of a stream.
std::string request(const config_versions::Ask& ask, const std::string& node,
                    const std::string& cluster);

// Hash of what a message says, its numbering left out.
std::uint64_t print_of(const google::protobuf::Message& message);

// A body, as the machine carries it, back as what it is.
const config::pb::Contracts& contracts_of(const config_versions::Body& body);
const config::pb::Members& members_of(const config_versions::Body& body);
const config::pb::Limits& limits_of(const config_versions::Body& body);

template <typename Message>
config_versions::Version version_of(Message message) {  // the file's
  config_versions::Version version;
  version.generation = message.generation();
  version.print = print_of(message);
  version.body = std::make_shared<const Message>(std::move(message));
  return version;
}

}  // namespace gorsebeam::xds
