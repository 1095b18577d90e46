#include "xds.h"

#include "gorsebeam/xds/v3/discovery.pb.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

#include <algorithm>

namespace gorsebeam::xds {
namespace {

namespace pb = config::pb;
using config_versions::Type;
constexpr const char* kTypeRoot = "type.googleapis.com/";
constexpr std::size_t kErrorMost = 2000;  // bytes of a reason sent back
constexpr int kInvalidArgument = 3;       // google.rpc.Code

template <typename Message>
std::string url_of() {
  return kTypeRoot + Message::descriptor()->full_name();
}

// All resources of a type are one set: merged, checked, and numbered alike.
template <typename Message>
void read_set(const v3::DiscoveryResponse& response, const config::ValidationContext& site,
              config_versions::Offer& offer) {
  auto merged = std::make_shared<Message>();
  if (response.resources().empty())
    offer.fault = "it holds no resource; one that is empty on purpose says so";
  for (int i = 0; i < response.resources_size() && offer.fault.empty(); ++i) {
    const std::string place = "resource " + std::to_string(i + 1) + ": ";
    Message later;
    Message& one = i == 0 ? *merged : later;  // a set in one resource is not copied
    if (response.resources(i).type_url() != offer.type_url)
      offer.fault =
          place + "is of type " + response.resources(i).type_url() + ", not of the response's";
    else if (!one.ParseFromString(response.resources(i).value()))
      offer.fault = place + "cannot be read";
    else if (const auto unknown = config::validate_no_unknown_fields(one))
      offer.fault = place + unknown->to_string();
    else if (i > 0 &&
             (one.generation() != offer.generation || one.rolls_back() != offer.rolls_back))
      offer.fault = place + "is of another generation than the first; a response holds one";
    else {
      offer.generation = one.generation(), offer.rolls_back = one.rolls_back();
      if (i > 0)
        merged->MergeFrom(one);
    }
  }
  if (!offer.fault.empty())
    return;
  merged->set_generation(offer.generation);
  merged->set_rolls_back(offer.rolls_back);
  if (const auto fault = config::validate_resource(*merged, site))
    offer.fault = fault->to_string();
  offer.print = print_of(*merged);
  offer.body = std::move(merged);
}

}  // namespace

std::string type_url(Type type) {
  switch (type) {
  case Type::Contracts:
    return url_of<pb::Contracts>();
  case Type::Members:
    return url_of<pb::Members>();
  default:
    return url_of<pb::Limits>();
  }
}

std::uint64_t print_of(const google::protobuf::Message& message) {
  std::unique_ptr<google::protobuf::Message> content(message.New());
  content->CopyFrom(message);
  for (const char* field : {"generation", "rolls_back"})
    content->GetReflection()->ClearField(content.get(),
                                         content->GetDescriptor()->FindFieldByName(field));
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    content->SerializeToCodedStream(&coded);
  }
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::optional<config_versions::Offer> read_response(std::string_view bytes,
                                                    const config::ValidationContext& site) {
  v3::DiscoveryResponse response;
  if (!response.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  config_versions::Offer offer;
  offer.type_url = response.type_url().substr(0, 200);
  offer.version = response.version_info().substr(0, 200);
  offer.nonce = response.nonce().substr(0, 200);
  for (const Type type : {Type::Contracts, Type::Members, Type::Limits})
    if (offer.type_url == type_url(type))
      offer.type = type;
  if (!offer.type)
    return offer;
  if (response.resources_size() > kResourcesMost) {
    offer.fault = "it holds more than 1000 resources";
    return offer;
  }
  switch (*offer.type) {
  case Type::Contracts:
    read_set<pb::Contracts>(response, site, offer);
    break;
  case Type::Members:
    read_set<pb::Members>(response, site, offer);
    break;
  case Type::Limits:
    read_set<pb::Limits>(response, site, offer);
    break;
  }
  return offer;
}

std::string request(const config_versions::Ask& ask, const std::string& node,
                    const std::string& cluster) {
  v3::DiscoveryRequest request;
  request.set_type_url(ask.type ? type_url(*ask.type) : ask.type_url);
  request.set_version_info(ask.version);
  request.set_response_nonce(ask.nonce);
  if (ask.nonce.empty()) {
    request.mutable_node()->set_id(node);
    request.mutable_node()->set_cluster(cluster);
    request.mutable_node()->set_user_agent_name("gorsebeam");
  }
  if (!ask.error.empty()) {
    request.mutable_error_detail()->set_code(kInvalidArgument);
    request.mutable_error_detail()->set_message(ask.error.substr(0, kErrorMost));
  }
  return request.SerializeAsString();
}

const pb::Contracts& contracts_of(const config_versions::Body& body) {
  return *static_cast<const pb::Contracts*>(body.get());
}

const pb::Members& members_of(const config_versions::Body& body) {
  return *static_cast<const pb::Members*>(body.get());
}

const pb::Limits& limits_of(const config_versions::Body& body) {
  return *static_cast<const pb::Limits*>(body.get());
}

}  // namespace gorsebeam::xds
