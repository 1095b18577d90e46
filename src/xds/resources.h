/// Converts between typed protobuf messages and the values that the version tracker stores for
/// them: type URLs, content hashes and bodies. The functions are pure.
#pragma once

#include "config_versions/configuration.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace gorsebeam::xds {

namespace pb = gorsebeam::config::v1;

/// Returns "type.googleapis.com/" and the full name of the type's message.
[[nodiscard]] std::string type_url(config_versions::ResourceType type);

/// Returns the hash (XXH3, 64 bits) of the deterministic serialization of a message without its
/// fields `generation` and `rolls_back`, which its type must define.
[[nodiscard]] std::uint64_t content_hash(const google::protobuf::Message& message);

/// Return the message in `body`, which must hold a message of the returned type. The body keeps the
/// ownership of the message.
[[nodiscard]] const pb::Contracts& contracts_of(const config_versions::Body& body);
[[nodiscard]] const pb::Members& members_of(const config_versions::Body& body);
[[nodiscard]] const pb::Limits& limits_of(const config_versions::Body& body);

/// Returns a version whose content is `message` and whose source is the operators' file.
template <typename Message>
[[nodiscard]] config_versions::Version make_file_version(Message message) {
  config_versions::Version version;
  version.generation = message.generation();
  version.content_hash = content_hash(message);
  version.body = std::make_shared<const Message>(std::move(message));
  return version;
}

}  // namespace gorsebeam::xds
