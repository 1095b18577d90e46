/// Translates an action of the version tracker into the configuration that the gateway applies.
#pragma once

#include "config_versions/actions.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <functional>
#include <optional>

namespace gorsebeam::control_plane {

/// The new content of each resource type that has changed; nothing for a type that has not. The
/// update does not own the messages: they live as long as the ApplyConfiguration action.
struct ConfigurationUpdate {
  template <typename Message>
  using Change = std::optional<std::reference_wrapper<const Message>>;

  Change<config::v1::Contracts> contracts;
  Change<config::v1::Members> members;
  Change<config::v1::Limits> limits;
};

/// Returns references to the changed bodies of `action`, which must hold the message types that
/// `xds::contracts_of`, `xds::members_of` and `xds::limits_of` return.
[[nodiscard]] ConfigurationUpdate
to_configuration_update(const config_versions::ApplyConfiguration& action);

}  // namespace gorsebeam::control_plane
