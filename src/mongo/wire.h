// The member side of the MongoDB wire protocol.
#pragma once

#include "upstream/wire.h"

namespace gorsebeam::mongo {

std::unique_ptr<upstream::Wire> make_wire();

}  // namespace gorsebeam::mongo
