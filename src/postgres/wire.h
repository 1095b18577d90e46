// The member side of PostgreSQL's protocol.
#pragma once

#include "upstream/wire.h"

namespace sandhold::postgres {

std::unique_ptr<upstream::Wire> make_wire();

} // namespace sandhold::postgres
