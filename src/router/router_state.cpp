#include "router/router_state.h"

#include "router/settings_validation.h"

#include <utility>

namespace gorsebeam::router {
namespace {

Settings checked(Settings settings) {
  validate_settings(settings);
  return settings;
}

}  // namespace

RouterState::RouterState(Settings unchecked_settings, std::uint64_t seed_of_router)
    : settings(checked(std::move(unchecked_settings))), seed(seed_of_router),
      classes(settings.classes), capacities(settings, endpoints), roles(event, endpoints),
      outliers(event, settings, endpoints, roles), health_checks(event, settings, endpoints),
      sessions(settings), timers(seed, settings.clock_resolution) {}

DecayingLoad& RouterState::pool_of(const EndpointState& endpoint) {
  return loads.pool(endpoint.listing.zone, endpoints.role_of(endpoint), event.now);
}

DecayingLoad& RouterState::load_of(EndpointState& endpoint) const {
  return endpoint.load.decay(event.now);
}

}  // namespace gorsebeam::router
