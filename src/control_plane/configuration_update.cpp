#include "configuration_update.h"

#include "xds/resources.h"

namespace gorsebeam::control_plane {

ConfigurationUpdate to_configuration_update(const config_versions::ApplyConfiguration& action) {
  const auto& [contracts, members, limits] = action.bodies;
  const auto& [contracts_changed, members_changed, limits_changed] = action.changed;
  ConfigurationUpdate update;
  if (contracts_changed)
    update.contracts = xds::contracts_of(contracts);
  if (members_changed)
    update.members = xds::members_of(members);
  if (limits_changed)
    update.limits = xds::limits_of(limits);
  return update;
}

}  // namespace gorsebeam::control_plane
