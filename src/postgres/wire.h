// The member side of PostgreSQL's protocol.
#pragma once

#include "upstream/wire.h"

namespace gorsebeam::postgres {

std::unique_ptr<upstream::Wire> make_wire();

}  // namespace gorsebeam::postgres
