/// Checks of the router's settings that hold whatever file they come from.
#pragma once

#include "gorsebeam/settings.h"

namespace gorsebeam::router {

/// Throws std::invalid_argument that names the first field with which the router cannot run.
void validate_settings(const Settings& settings);

}  // namespace gorsebeam::router
