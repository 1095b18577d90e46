/// The values that the version tracker uses: resource types, versions, and the messages of a
/// control service after they are decoded and validated one by one.
#pragma once

#include "gorsebeam/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gorsebeam::config_versions {

/// The resource types of the control service, in the order of every array that is indexed by type.
enum class ResourceType : std::size_t { Contracts, Members, Limits };

constexpr std::size_t kResourceTypeCount = 3;
constexpr std::array<ResourceType, kResourceTypeCount> kResourceTypes = {
    ResourceType::Contracts, ResourceType::Members, ResourceType::Limits};

/// "contracts", "members" or "limits".
[[nodiscard]] const char* resource_type_name(ResourceType type);

[[nodiscard]] constexpr std::size_t index_of(ResourceType type) {
  return static_cast<std::size_t>(type);
}

/// The content of one type. Only the embedder interprets it.
using Body = std::shared_ptr<const void>;
using Bodies = std::array<Body, kResourceTypeCount>;

/// The source of a version that was read from the operators' file.
constexpr const char* kFileSource = "file";

/// One version of one type.
struct Version {
  Body body;
  /// The name that the control service gave to the version; empty for one of the operators' file.
  std::string version;
  /// Grows with each change. 0 means unnumbered, which is valid only in the operators' file.
  std::uint64_t generation = 0;
  std::uint64_t content_hash = 0;
  /// `kFileSource`, or the address of the control service.
  std::string source = kFileSource;
  TimePoint accepted_at{};

  [[nodiscard]] bool is_from_file() const { return source == kFileSource; }
};

using FileVersions = std::array<Version, kResourceTypeCount>;

/// The accepted version of one type.
struct AcceptedVersion {
  Version running;
  /// The highest generation that was ever accepted; it exceeds `running.generation` after a
  /// rollback.
  std::uint64_t newest_generation = 0;
};

/// The accepted version of each type.
using AcceptedVersions = std::array<AcceptedVersion, kResourceTypeCount>;

/// The versions of a snapshot; nothing for a type that it does not hold.
using SnapshotVersions = std::array<std::optional<AcceptedVersion>, kResourceTypeCount>;

/// States why bodies are not valid together.
struct ValidationError {
  enum class Code {
    /// The content is invalid with any content of the other types.
    InvalidContent,
    /// The content refers to something that a later version of another type may define.
    UnresolvedReference,
  };

  Code code = Code::InvalidContent;
  std::string message;
};

/// Returns the first error of a set of bodies, or nothing if they are valid together.
using Validator = std::function<std::optional<ValidationError>(const Bodies&)>;

/// States why a response of the control service is rejected; `message` becomes the NACK's
/// error_detail.
struct RejectionError {
  enum class Code {
    UnknownResourceType,
    /// The response is invalid, independent of what runs.
    InvalidResponse,
    /// The response is valid, but not together with what runs.
    InvalidContent,
    MissingGeneration,
    /// The generation is older than the newest accepted one.
    OlderGeneration,
    /// The generation was accepted before and has been rolled back.
    RolledBackGeneration,
    /// The generation was accepted before with other content.
    ConflictingContent,
    /// The rollback names a generation that is older than the newest accepted one.
    OutdatedRollback,
    /// A later response of the type arrived while this one waited for another type.
    Superseded,
    /// No other type defined what the response refers to before the deadline.
    DependencyTimeout,
  };

  Code code = Code::InvalidResponse;
  std::string message;
};

/// One response of the control service, decoded and validated without the other types.
struct DiscoveryResponse {
  /// Nothing if `type_url` names no known type.
  std::optional<ResourceType> type;
  std::string type_url;
  std::string version;
  std::string nonce;
  std::uint64_t generation = 0;
  /// The generation that this one rolls back; 0 if it is no rollback.
  std::uint64_t rolls_back = 0;
  std::uint64_t content_hash = 0;
  Body body;
  /// Why the response cannot be used; nothing if it is valid.
  std::optional<RejectionError> error;
};

/// One request to the control service: a subscription if it has no nonce, otherwise an ACK, or a
/// NACK if it has an error (xDS transport protocol, "ACK and NACK").
struct DiscoveryRequest {
  std::optional<ResourceType> type;
  std::string type_url;
  /// The version that the gateway runs.
  std::string version;
  /// The nonce of the response that is answered.
  std::string nonce;
  std::optional<RejectionError> error;
};

}  // namespace gorsebeam::config_versions
