/// What the gateway puts in force when configuration versions change.
#pragma once

#include "config_versions/actions.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <functional>
#include <optional>

namespace gorsebeam::control_plane {

/// The new content of each type that has changed; nothing for a type that has not. The messages are
/// borrowed: they live as long as the ApplyConfiguration action.
struct ConfigurationUpdate {
  template <typename Message>
  using Change = std::optional<std::reference_wrapper<const Message>>;

  Change<config::v1::Contracts> contracts;
  Change<config::v1::Members> members;
  Change<config::v1::Limits> limits;
};

/// Names the bodies of an action, which must be those of `xds::contracts_of`, `members_of` and
/// `limits_of`.
[[nodiscard]] ConfigurationUpdate
to_configuration_update(const config_versions::ApplyConfiguration& action);

}  // namespace gorsebeam::control_plane
