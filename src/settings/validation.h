// Whether the module can run with settings at all; of no file's form.
#pragma once

#include "gorsebeam/router.h"

namespace gorsebeam::settings {

void check(const Settings& settings);  // throws std::invalid_argument naming the field that is off

}  // namespace gorsebeam::settings
