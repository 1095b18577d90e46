/// Tracks how far endpoints have applied the replication log, for reads that need current data.
#pragma once

#include "gorsebeam/settings.h"
#include "router/endpoint_table.h"
#include "router/request_table.h"

namespace gorsebeam::router {

/// Records that an endpoint reported at `reported_at` that it has applied the log up to `position`.
/// A position never decreases, so a report remains valid.
void advance_replication_position(EndpointTable& endpoints, EndpointState& endpoint,
                                  ReplicationPosition position, TimePoint reported_at);

/// Whether a misdirected read showed that the endpoint lags, and no position has refuted it since.
[[nodiscard]] bool is_known_stale(const EndpointState& endpoint);

/// The position that an endpoint must have applied to serve the request now; kUnknownPosition: any.
[[nodiscard]] ReplicationPosition required_position(const RequestClass& request_class,
                                                    const PendingRequest& request, TimePoint now);

/// Whether the endpoint's position proves that it is current for the request.
[[nodiscard]] bool is_proven_current(const EndpointState& endpoint,
                                     const RequestClass& request_class,
                                     const PendingRequest& request, TimePoint now);

}  // namespace gorsebeam::router
