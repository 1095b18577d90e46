#include "snapshot_codec.h"

#include "xds/resources.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace gorsebeam::snapshot_store {
namespace {

using config_versions::AcceptedVersion;
using config_versions::ResourceType;
using Code = SnapshotError::Code;

constexpr std::string_view kMagic = "gorsebeam state\n";
constexpr std::size_t kChecksumSize = 8;
constexpr std::size_t kHeaderSize = kMagic.size() + kChecksumSize;

std::string checksum(const char* bytes, std::size_t size) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, XXH3_64bits(bytes, size));
  return {reinterpret_cast<const char*>(canonical.digest), sizeof canonical.digest};
}

// Returns the accepted version of one type, nothing if the snapshot does not hold the type, or the
// error if the version is not valid.
template <typename Message>
common::Result<std::optional<AcceptedVersion>, SnapshotError>
validate_part(const state::v1::Part& part, const Message& value,
              const config::ValidationContext& context) {
  if (!part.held())
    return std::optional<AcceptedVersion>();
  std::optional<config::ValidationError> error = config::validate_no_unknown_fields(value);
  if (!error)
    error = config::validate_resource(value, context);
  if (error)
    return SnapshotError{Code::InvalidContent,
                         "the snapshot is not valid with the current configuration: " +
                             value.GetDescriptor()->name() + ": " + error->to_string()};
  AcceptedVersion accepted;
  accepted.running = xds::make_file_version(value);
  accepted.running.version = part.version();
  accepted.running.source = part.source();
  accepted.running.generation = part.generation();
  accepted.running.accepted_at = TimePoint(std::chrono::milliseconds(part.accepted_unix_ms()));
  accepted.newest_generation = std::max(part.newest(), part.generation());
  return std::optional<AcceptedVersion>(std::move(accepted));
}

// Converts an accepted version, without its content, to a part of a snapshot.
state::v1::Part make_part(const AcceptedVersion& accepted) {
  state::v1::Part part;
  part.set_held(true);
  part.set_version(accepted.running.version);
  part.set_source(accepted.running.source);
  part.set_accepted_unix_ms(accepted.running.accepted_at.time_since_epoch() / 1ms);
  part.set_generation(accepted.running.generation);
  part.set_newest(accepted.newest_generation);
  return part;
}

}  // namespace

std::string encode_snapshot(const state::v1::LastGood& snapshot) {
  const std::string bytes = snapshot.SerializeAsString();
  return std::string(kMagic) + checksum(bytes.data(), bytes.size()) + bytes;
}

common::Result<state::v1::LastGood, SnapshotError> decode_snapshot(const std::string& bytes) {
  if (bytes.size() < kHeaderSize || bytes.compare(0, kMagic.size(), kMagic) != 0)
    return SnapshotError{Code::InvalidHeader,
                         "the file is not a gorsebeam snapshot, or its header is damaged"};
  const char* content = bytes.data() + kHeaderSize;
  const std::size_t content_size = bytes.size() - kHeaderSize;
  if (bytes.compare(kMagic.size(), kChecksumSize, checksum(content, content_size)) != 0)
    return SnapshotError{Code::ChecksumMismatch,
                         "the snapshot is damaged: its checksum does not match its content"};
  state::v1::LastGood snapshot;
  if (!snapshot.ParseFromArray(content, static_cast<int>(content_size)))
    return SnapshotError{
        Code::Unparsable,
        "the snapshot is damaged: its content cannot be parsed, although its checksum matches"};
  if (snapshot.schema() > kSnapshotSchema)
    return SnapshotError{Code::UnsupportedSchema,
                         "the snapshot has schema " + std::to_string(snapshot.schema()) +
                             ", but the newest schema that this program reads is " +
                             std::to_string(kSnapshotSchema)};
  return snapshot;
}

state::v1::LastGood make_snapshot(const config_versions::VersionTracker& tracker) {
  const AcceptedVersion& contracts = tracker.accepted(ResourceType::Contracts);
  const AcceptedVersion& members = tracker.accepted(ResourceType::Members);
  const AcceptedVersion& limits = tracker.accepted(ResourceType::Limits);
  state::v1::LastGood snapshot;
  snapshot.set_schema(kSnapshotSchema);
  // `mutable_` marks the parts as present, so that they are written even if they are empty.
  state::v1::Part& contracts_part = *snapshot.mutable_contracts();
  state::v1::Part& members_part = *snapshot.mutable_members();
  state::v1::Part& limits_part = *snapshot.mutable_limits();
  if (!contracts.running.is_from_file()) {
    contracts_part = make_part(contracts);
    *snapshot.mutable_contracts_value() = xds::contracts_of(contracts.running.body);
  }
  if (!members.running.is_from_file()) {
    members_part = make_part(members);
    *snapshot.mutable_members_value() = xds::members_of(members.running.body);
  }
  if (!limits.running.is_from_file()) {
    limits_part = make_part(limits);
    *snapshot.mutable_limits_value() = xds::limits_of(limits.running.body);
  }
  return snapshot;
}

common::Result<config_versions::SnapshotVersions, SnapshotError>
validate_snapshot(const state::v1::LastGood& snapshot, const config::ValidationContext& context) {
  auto contracts = validate_part(snapshot.contracts(), snapshot.contracts_value(), context);
  if (!contracts)
    return contracts.error();
  auto members = validate_part(snapshot.members(), snapshot.members_value(), context);
  if (!members)
    return members.error();
  auto limits = validate_part(snapshot.limits(), snapshot.limits_value(), context);
  if (!limits)
    return limits.error();
  return config_versions::SnapshotVersions{std::move(contracts.value()), std::move(members.value()),
                                           std::move(limits.value())};
}

}  // namespace gorsebeam::snapshot_store
