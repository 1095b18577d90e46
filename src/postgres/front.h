// The client side of PostgreSQL's protocol.
#pragma once

#include "front/front.h"

#include "broker/contracts.h"
#include "shapes/sql.h"

#include <memory>

namespace gorsebeam::postgres {

// `terms` and `shapes` outlive the front. Where `shapes` holds something, statements are parsed:
// what is not known to read only goes out under a writing class alone.
front::Front::Make make_connection(broker::Terms& terms,
                                   const std::shared_ptr<const shapes::Sql>& shapes);

}  // namespace gorsebeam::postgres
