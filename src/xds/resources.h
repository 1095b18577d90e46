/// Converts between typed messages and what the version tracker stores of them: type URLs, content
/// hashes and bodies. Pure.
#pragma once

#include "config_versions/configuration.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace gorsebeam::xds {

namespace pb = gorsebeam::config::v1;

/// "type.googleapis.com/" and the message's full name.
[[nodiscard]] std::string type_url(config_versions::ResourceType type);

/// Returns the hash (XXH3, 64 bits) of the deterministic serialization of a message without its
/// fields `generation` and `rolls_back`, which it must have.
[[nodiscard]] std::uint64_t content_hash(const google::protobuf::Message& message);

/// Return the message that `body` holds, which must be of that type. The body owns it.
[[nodiscard]] const pb::Contracts& contracts_of(const config_versions::Body& body);
[[nodiscard]] const pb::Members& members_of(const config_versions::Body& body);
[[nodiscard]] const pb::Limits& limits_of(const config_versions::Body& body);

/// Returns the version of the operators' file that holds `message`.
template <typename Message>
[[nodiscard]] config_versions::Version make_file_version(Message message) {
  config_versions::Version version;
  version.generation = message.generation();
  version.content_hash = content_hash(message);
  version.body = std::make_shared<const Message>(std::move(message));
  return version;
}

}  // namespace gorsebeam::xds
