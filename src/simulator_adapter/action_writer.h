/// Writes the router's actions as lines of the simulator's protocol.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gorsebeam::simulator_adapter {

/// Appends a line of JSON to `reply` for each action, in order. `router_id` is the simulator's
/// number for the router that the actions come from.
void write_actions(const std::vector<Action>& actions, std::int64_t router_id, std::string& reply);

}  // namespace gorsebeam::simulator_adapter
