/// Defines the values that the version tracker uses: resource types, versions, and the messages
/// exchanged with a control service, each decoded and validated without regard to the others.
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

/// Returns "contracts", "members" or "limits".
[[nodiscard]] const char* resource_type_name(ResourceType type);

[[nodiscard]] constexpr std::size_t index_of(ResourceType type) {
  return static_cast<std::size_t>(type);
}

/// The content of one resource type. Only the tracker's caller and its `Validator` interpret it.
using Body = std::shared_ptr<const void>;
using Bodies = std::array<Body, kResourceTypeCount>;

/// The source of a version that was read from the operators' file.
constexpr const char* kFileSource = "file";

/// One version of one resource type.
struct Version {
  Body body;
  /// The name that the control service gave to the version; empty for a version of the operators'
  /// file.
  std::string version;
  /// The number of the version, which grows with each change. 0 means unnumbered, which is valid
  /// only in the operators' file.
  std::uint64_t generation = 0;
  std::uint64_t content_hash = 0;
  /// `kFileSource`, or the address of the control service.
  std::string source = kFileSource;
  TimePoint accepted_at{};

  [[nodiscard]] bool is_from_file() const { return source == kFileSource; }
};

using FileVersions = std::array<Version, kResourceTypeCount>;

/// The accepted version of one resource type.
struct AcceptedVersion {
  Version running;
  /// The highest generation that was ever accepted. It exceeds `running.generation` after a
  /// rollback.
  std::uint64_t newest_generation = 0;
};

/// The accepted version of each resource type.
using AcceptedVersions = std::array<AcceptedVersion, kResourceTypeCount>;

/// The versions of a snapshot; nothing for a type that the snapshot does not hold.
using SnapshotVersions = std::array<std::optional<AcceptedVersion>, kResourceTypeCount>;

/// States why the bodies of different types are not valid together.
struct ValidationError {
  enum class Code {
    /// The content is invalid, whatever the content of the other types is.
    InvalidContent,
    /// The content refers to a name that a later version of another type may define.
    UnresolvedReference,
  };

  Code code = Code::InvalidContent;
  std::string message;
};

/// Returns the first error of a set of bodies, or nothing if they are valid together.
using Validator = std::function<std::optional<ValidationError>(const Bodies&)>;

/// States why a response of the control service is rejected. `message` is sent in the error_detail
/// of the NACK.
struct RejectionError {
  enum class Code {
    UnknownResourceType,
    /// The response is invalid, whatever versions are running.
    InvalidResponse,
    /// The response is valid by itself, but not together with the running versions.
    InvalidContent,
    MissingGeneration,
    /// The generation is older than the newest accepted generation.
    OlderGeneration,
    /// The generation was accepted before and has been rolled back.
    RolledBackGeneration,
    /// The generation was accepted before with other content.
    ConflictingContent,
    /// The response rolls back a generation that is older than the newest accepted generation.
    OutdatedRollback,
    /// A later response of the same type arrived while this one waited for another type.
    Superseded,
    /// No version of another type defined what the response refers to before the deadline.
    DependencyTimeout,
  };

  Code code = Code::InvalidResponse;
  std::string message;
};

/// One response of the control service, decoded and validated without regard to other types.
struct DiscoveryResponse {
  /// Nothing if `type_url` names no known type.
  std::optional<ResourceType> type;
  std::string type_url;
  std::string version;
  std::string nonce;
  std::uint64_t generation = 0;
  /// The generation that the response rolls back; 0 if the response is no rollback.
  std::uint64_t rolls_back = 0;
  std::uint64_t content_hash = 0;
  Body body;
  /// The reason why the response is rejected; nothing if it is valid by itself.
  std::optional<RejectionError> error;
};

/// One request to the control service: a subscription if it has no nonce, otherwise an ACK, or a
/// NACK if it has an error (xDS transport protocol, "ACK and NACK").
struct DiscoveryRequest {
  std::optional<ResourceType> type;
  std::string type_url;
  /// In an ACK, the version that it acknowledges. In a subscription or a NACK, the version of the
  /// type that was acknowledged last, or empty if there is none; a version of the operators' file,
  /// which has no name, may have replaced it since.
  std::string version;
  /// The nonce of the response that the request acknowledges or rejects.
  std::string nonce;
  std::optional<RejectionError> error;
};

}  // namespace gorsebeam::config_versions
