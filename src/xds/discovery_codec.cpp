#include "discovery_codec.h"

#include "resources.h"

#include "gorsebeam/xds/v3/discovery.pb.h"

#include <memory>
#include <optional>
#include <utility>

namespace gorsebeam::xds {
namespace {

using config_versions::DiscoveryResponse;
using config_versions::RejectionError;
using config_versions::ResourceType;

constexpr int kInvalidArgument = 3;  // google.rpc.Code

RejectionError invalid_response(std::string message) {
  return {RejectionError::Code::InvalidResponse, std::move(message)};
}

// Reads resource `index` of the response into `resource`, and checks all that can be checked
// without the others.
template <typename Message>
std::optional<std::string> parse_resource(const google::protobuf::Any& any,
                                          const std::string& type_url, Message& resource) {
  if (any.type_url() != type_url)
    return "is of type " + any.type_url() + ", not of the response's";
  if (!resource.ParseFromString(any.value()))
    return "cannot be read";
  if (const auto unknown = config::validate_no_unknown_fields(resource))
    return unknown->to_string();
  return std::nullopt;
}

// Merges all resources of a type into one set, which has one generation.
template <typename Message>
std::optional<RejectionError> merge_resources(const v3::DiscoveryResponse& response,
                                              DiscoveryResponse& decoded, Message& merged) {
  for (int i = 0; i < response.resources_size(); ++i) {
    const std::string place = "resource " + std::to_string(i + 1) + ": ";
    const bool is_first = i == 0;
    Message later;
    Message& resource = is_first ? merged : later;  // a set in one resource is not copied
    if (const auto error = parse_resource(response.resources(i), decoded.type_url, resource))
      return invalid_response(place + *error);
    if (is_first) {
      decoded.generation = resource.generation();
      decoded.rolls_back = resource.rolls_back();
      continue;
    }
    if (resource.generation() != decoded.generation || resource.rolls_back() != decoded.rolls_back)
      return invalid_response(place +
                              "is of another generation than the first; a response holds one");
    merged.MergeFrom(resource);
  }
  return std::nullopt;
}

template <typename Message>
void decode_resources(const v3::DiscoveryResponse& response, const config::ValidationContext& site,
                      DiscoveryResponse& decoded) {
  auto merged = std::make_shared<Message>();
  decoded.error = merge_resources(response, decoded, *merged);
  if (decoded.error)
    return;
  if (const auto fault = config::validate_resource(*merged, site))
    decoded.error = invalid_response(fault->to_string());
  decoded.content_hash = content_hash(*merged);
  decoded.body = std::move(merged);
}

std::optional<ResourceType> find_type(const std::string& url) {
  for (const ResourceType type : config_versions::kResourceTypes)
    if (url == type_url(type))
      return type;
  return std::nullopt;
}

void decode_resources_of(ResourceType type, const v3::DiscoveryResponse& response,
                         const config::ValidationContext& site, DiscoveryResponse& decoded) {
  switch (type) {
  case ResourceType::Contracts:
    return decode_resources<pb::Contracts>(response, site, decoded);
  case ResourceType::Members:
    return decode_resources<pb::Members>(response, site, decoded);
  case ResourceType::Limits:
    return decode_resources<pb::Limits>(response, site, decoded);
  }
}

}  // namespace

common::Result<DiscoveryResponse, DecodeError>
decode_response(std::string_view bytes, const config::ValidationContext& site) {
  v3::DiscoveryResponse response;
  if (!response.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return DecodeError{};
  DiscoveryResponse decoded;
  decoded.type_url = response.type_url().substr(0, kMaxIdentifierBytes);
  decoded.version = response.version_info().substr(0, kMaxIdentifierBytes);
  decoded.nonce = response.nonce().substr(0, kMaxIdentifierBytes);
  decoded.type = find_type(decoded.type_url);
  if (!decoded.type)
    return decoded;
  if (response.resources_size() > kMaxResources)
    decoded.error = invalid_response("it holds more than 1000 resources");
  else if (response.resources().empty())
    decoded.error = invalid_response("it holds no resource; one that is empty on purpose says so");
  else
    decode_resources_of(*decoded.type, response, site, decoded);
  return decoded;
}

std::string encode_request(const config_versions::DiscoveryRequest& request,
                           const NodeIdentity& node) {
  v3::DiscoveryRequest message;
  message.set_type_url(request.type ? type_url(*request.type) : request.type_url);
  message.set_version_info(request.version);
  message.set_response_nonce(request.nonce);
  if (request.nonce.empty()) {
    message.mutable_node()->set_id(node.id);
    message.mutable_node()->set_cluster(node.cluster);
    message.mutable_node()->set_user_agent_name("gorsebeam");
  }
  if (request.error) {
    message.mutable_error_detail()->set_code(kInvalidArgument);
    message.mutable_error_detail()->set_message(
        request.error->message.substr(0, kMaxErrorDetailBytes));
  }
  return message.SerializeAsString();
}

}  // namespace gorsebeam::xds
