/// Validates the router's settings, independent of the file from which they were read.
#pragma once

#include "gorsebeam/settings.h"

namespace gorsebeam::router {

/// Throws std::invalid_argument, whose message names the first invalid field, if the router cannot
/// run with the settings.
void validate_settings(const Settings& settings);

}  // namespace gorsebeam::router
