#include "resources.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

namespace gorsebeam::xds {
namespace {

using config_versions::ResourceType;

template <typename Message>
std::string type_url_of() {
  return "type.googleapis.com/" + Message::descriptor()->full_name();
}

// Protobuf writes the entries of a map field in no defined order. Deterministic serialization sorts
// them, so that equal messages have equal bytes.
std::string serialize_deterministically(const google::protobuf::Message& message) {
  std::string bytes;
  {
    // The destructors of the streams trim `bytes` to its final size.
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded);
  }
  return bytes;
}

}  // namespace

std::string type_url(ResourceType type) {
  switch (type) {
  case ResourceType::Contracts:
    return type_url_of<pb::Contracts>();
  case ResourceType::Members:
    return type_url_of<pb::Members>();
  case ResourceType::Limits:
    return type_url_of<pb::Limits>();
  }
  return "";
}

std::uint64_t content_hash(const google::protobuf::Message& message) {
  const std::unique_ptr<google::protobuf::Message> content(message.New());
  content->CopyFrom(message);
  for (const char* field : {"generation", "rolls_back"})
    content->GetReflection()->ClearField(content.get(),
                                         content->GetDescriptor()->FindFieldByName(field));
  const std::string bytes = serialize_deterministically(*content);
  return XXH3_64bits(bytes.data(), bytes.size());
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
