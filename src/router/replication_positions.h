/// Tracks up to which position endpoints have applied the replication log, and decides whether that
/// is enough for a read.
#pragma once

#include "gorsebeam/settings.h"
#include "router/endpoint_table.h"
#include "router/request_table.h"

namespace gorsebeam::router {

/// Records that an endpoint reported at `reported_at` that it has applied the log up to `position`.
/// An older position updates only the time of the last report, as an endpoint never goes back in
/// the log.
void advance_replication_position(EndpointTable& endpoints, EndpointState& endpoint,
                                  ReplicationPosition position, TimePoint reported_at);

/// Whether a misdirected read showed that the endpoint lags, and it has not reported to have caught
/// up since.
[[nodiscard]] bool is_known_stale(const EndpointState& endpoint);

/// The position that an endpoint must have applied to serve the request now; kUnknownPosition if
/// any will do.
[[nodiscard]] ReplicationPosition required_position(const RequestClass& request_class,
                                                    const PendingRequest& request, TimePoint now);

/// Whether the endpoint's position proves that it is current for the request.
[[nodiscard]] bool is_proven_current(const EndpointState& endpoint,
                                     const RequestClass& request_class,
                                     const PendingRequest& request, TimePoint now);

}  // namespace gorsebeam::router
