/// Validates what an operator configures, whether a file, a control service or a snapshot holds it.
/// The functions are pure. Each returns the first error that it finds, or nothing.
#pragma once

#include "validation_error.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace gorsebeam::config {

namespace pb = gorsebeam::config::v1;

/// Index of each request class of the platform's settings by its name.
using ClassIndexes = std::map<std::string, std::size_t>;

/// Facts that hold as long as the process runs, against which messages are validated.
struct ValidationContext {
  ClassIndexes classes;
  /// PostgreSQL's endpoints are listed by the operator and do not come from discovery.
  bool postgres_members_configured = false;
  bool mongo_enabled = false;  ///< the MongoDB frontend is on
};

constexpr std::size_t kMaxTeams = 10'000;
constexpr std::size_t kMaxMembers = 100'000;
constexpr std::size_t kMaxNameBytes = 128;

/// One overload for each type of resource that a control service sends.
[[nodiscard]] std::optional<ValidationError> validate_resource(const pb::Contracts& contracts,
                                                               const ValidationContext& context);
[[nodiscard]] std::optional<ValidationError> validate_resource(const pb::Members& members,
                                                               const ValidationContext& context);
[[nodiscard]] std::optional<ValidationError> validate_resource(const pb::Limits& limits,
                                                               const ValidationContext& context);

/// Each group that a contract names must have an endpoint. Where discovery supplies PostgreSQL's
/// endpoints, groups cannot be validated and there is no error.
[[nodiscard]] std::optional<ValidationError>
validate_group_references(const pb::Contracts& contracts, const pb::Members& members,
                          const ValidationContext& context);

/// Rejects fields that this version does not know, as it would not do what they ask for.
[[nodiscard]] std::optional<ValidationError>
validate_no_unknown_fields(const google::protobuf::Message& message);

[[nodiscard]] std::optional<ValidationError>
validate_control_service(const pb::ControlService& service);

}  // namespace gorsebeam::config
