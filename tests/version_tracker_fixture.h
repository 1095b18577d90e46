/// Builders for the tests of the version tracker. In these tests each body is a number, so that a
/// test can easily compare running content.
#pragma once

#include "config_versions/version_tracker.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gorsebeam::config_versions {

inline Body make_body(int value) {
  return std::make_shared<const int>(value);
}

inline int value_of(const Body& body) {
  return *static_cast<const int*>(body.get());
}

/// Validates that the number of the contracts is at most that of the members. It stands for a
/// reference from contracts to members.
inline std::optional<ValidationError> validate_reference(const Bodies& bodies) {
  const int contracts = value_of(bodies[index_of(ResourceType::Contracts)]);
  if (contracts <= value_of(bodies[index_of(ResourceType::Members)]))
    return std::nullopt;
  return ValidationError{ValidationError::Code::UnresolvedReference,
                         "group " + std::to_string(contracts) + " has no member"};
}

inline FileVersions make_file_versions(int contracts = 0, int members = 0) {
  FileVersions file;
  const std::array<int, kResourceTypeCount> values = {contracts, members, 0};
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    file[i].body = make_body(values[i]);
    file[i].content_hash = 1000U + static_cast<std::uint64_t>(values[i]);
  }
  return file;
}

/// Makes a response with a unique nonce.
inline DiscoveryResponse make_response(ResourceType type, std::uint64_t generation, int content,
                                       std::uint64_t rolls_back = 0) {
  static int nonce = 0;
  ++nonce;
  DiscoveryResponse response;
  response.type = type;
  response.type_url = resource_type_name(type);
  response.nonce = std::to_string(nonce);
  response.version = "v" + std::to_string(generation);
  response.generation = generation;
  response.rolls_back = rolls_back;
  response.content_hash = static_cast<std::uint64_t>(content);
  response.body = make_body(content);
  return response;
}

/// Makes a response that is invalid by itself, whatever the other types are.
inline DiscoveryResponse make_invalid_response(ResourceType type, std::uint64_t generation,
                                               int content, const std::string& error) {
  DiscoveryResponse response = make_response(type, generation, content);
  response.error = RejectionError{RejectionError::Code::InvalidResponse, error};
  return response;
}

}  // namespace gorsebeam::config_versions
