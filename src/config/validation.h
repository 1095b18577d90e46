/// Validates an operator's configuration, whether it comes from a file, a control service or a
/// snapshot. The functions are pure. Each returns the first error that it finds, or nothing if the
/// message is valid.
#pragma once

#include "validation_error.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace gorsebeam::config {

namespace pb = gorsebeam::config::v1;

/// Index of each request class in the platform's settings, by the class's name.
using ClassIndexes = std::map<std::string, std::size_t>;

/// What messages are validated against. Messages of a control service are validated against the
/// context that the gateway started with; a reloaded operators' file has a context of its own.
struct ValidationContext {
  ClassIndexes classes;  ///< The classes that contracts may name.
  /// The operator lists PostgreSQL's endpoints as members; otherwise they come from discovery.
  bool postgres_members_configured = false;
  bool mongo_enabled = false;  ///< The gateway has a MongoDB frontend.
};

constexpr std::size_t kMaxTeams = 10'000;
constexpr std::size_t kMaxMembers = 100'000;
constexpr std::size_t kMaxNameBytes = 128;

/// Validates a resource; there is an overload for each resource type that a control service sends.
[[nodiscard]] std::optional<ValidationError> validate_resource(const pb::Contracts& contracts,
                                                               const ValidationContext& context);
[[nodiscard]] std::optional<ValidationError> validate_resource(const pb::Members& members,
                                                               const ValidationContext& context);
[[nodiscard]] std::optional<ValidationError> validate_resource(const pb::Limits& limits,
                                                               const ValidationContext& context);

/// Each group that a contract names must have a member. Nothing is validated if PostgreSQL's
/// endpoints come from discovery, as their groups are not known then.
[[nodiscard]] std::optional<ValidationError>
validate_group_references(const pb::Contracts& contracts, const pb::Members& members,
                          const ValidationContext& context);

/// Rejects a message with a field that is not in this version's schema, as the gateway would
/// silently ignore the field.
[[nodiscard]] std::optional<ValidationError>
validate_no_unknown_fields(const google::protobuf::Message& message);

[[nodiscard]] std::optional<ValidationError>
validate_control_service(const pb::ControlService& service);

}  // namespace gorsebeam::config
