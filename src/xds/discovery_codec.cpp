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

// Parses one resource. Returns an error, which starts with `error_prefix`, if the resource is of
// another type than `type_url` or has a field that is not in this version's schema.
template <typename Message>
common::Result<Message, RejectionError> parse_resource(const google::protobuf::Any& any,
                                                       const std::string& type_url,
                                                       const std::string& error_prefix) {
  if (any.type_url() != type_url)
    return invalid_response(error_prefix + "is of type " + any.type_url() +
                            ", not of the response's");
  Message resource;
  if (!resource.ParseFromString(any.value()))
    return invalid_response(error_prefix + "cannot be read");
  if (const auto unknown = config::validate_no_unknown_fields(resource))
    return invalid_response(error_prefix + unknown->to_string());
  return common::Result<Message, RejectionError>(std::move(resource));
}

// Merges all resources of a response, which must have the same generation, into one message. The
// response must hold at least one resource; the first one is moved, not copied.
template <typename Message>
common::Result<Message, RejectionError> merge_resources(const v3::DiscoveryResponse& response,
                                                        const std::string& type_url) {
  std::optional<Message> merged;
  for (int i = 0; i < response.resources_size(); ++i) {
    const std::string error_prefix = "resource " + std::to_string(i + 1) + ": ";
    auto parsed = parse_resource<Message>(response.resources(i), type_url, error_prefix);
    if (!parsed)
      return parsed.error();
    Message& resource = parsed.value();
    if (!merged) {
      merged = std::move(resource);
      continue;
    }
    if (resource.generation() != merged->generation() ||
        resource.rolls_back() != merged->rolls_back())
      return invalid_response(error_prefix +
                              "is of another generation than the first; a response holds one");
    merged->MergeFrom(resource);
  }
  return std::move(*merged);
}

// Sets the content of `decoded`, or its error if the content is invalid.
template <typename Message>
void decode_resources(const v3::DiscoveryResponse& response,
                      const config::ValidationContext& context, DiscoveryResponse& decoded) {
  auto merged = merge_resources<Message>(response, decoded.type_url);
  if (!merged) {
    decoded.error = merged.error();
    return;
  }
  const auto body = std::make_shared<const Message>(std::move(merged.value()));
  if (const auto error = config::validate_resource(*body, context))
    decoded.error = invalid_response(error->to_string());
  decoded.generation = body->generation();
  decoded.rolls_back = body->rolls_back();
  decoded.content_hash = content_hash(*body);
  decoded.body = body;
}

std::optional<ResourceType> find_type(const std::string& url) {
  for (const ResourceType type : config_versions::kResourceTypes)
    if (url == type_url(type))
      return type;
  return std::nullopt;
}

void decode_resources_of(ResourceType type, const v3::DiscoveryResponse& response,
                         const config::ValidationContext& context, DiscoveryResponse& decoded) {
  switch (type) {
  case ResourceType::Contracts:
    return decode_resources<pb::Contracts>(response, context, decoded);
  case ResourceType::Members:
    return decode_resources<pb::Members>(response, context, decoded);
  case ResourceType::Limits:
    return decode_resources<pb::Limits>(response, context, decoded);
  }
}

}  // namespace

common::Result<DiscoveryResponse, DecodeError>
decode_response(std::string_view bytes, const config::ValidationContext& context) {
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
    decode_resources_of(*decoded.type, response, context, decoded);
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
