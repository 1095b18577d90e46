/// Log messages of a router, as typed events. The embedding program renders them as text.
#pragma once

#include "gorsebeam/types.h"

#include <variant>

namespace gorsebeam {

/// Evidence shows that an endpoint is its group's primary.
struct PrimaryElected {
  GroupId group = 0;
  EndpointId endpoint = 0;
};

/// An endpoint that was its group's primary says that it is a replica.
struct PrimaryDemoted {
  GroupId group = 0;
  EndpointId endpoint = 0;
};

/// A group's primary failed to answer or to be reached; its writes wait for evidence.
struct PrimarySuspected {
  GroupId group = 0;
  EndpointId endpoint = 0;
};

/// Why an endpoint was ejected.
enum class EjectionReason { ConsecutiveTimeouts, ConnectionFailure, ErrorRatio };

/// An endpoint gets no reads until it answers a recovery attempt or a health check.
struct EndpointEjected {
  EndpointId endpoint = 0;
  EjectionReason reason = EjectionReason::ConsecutiveTimeouts;
};

/// An ejected endpoint answered.
struct EndpointReadmitted {
  EndpointId endpoint = 0;
};

/// The endpoint list says that an endpoint that was up is draining.
struct EndpointDraining {
  EndpointId endpoint = 0;
};

/// The endpoint list says that an endpoint that was up was removed, or no longer holds it.
struct EndpointRemoved {
  EndpointId endpoint = 0;
};

/// One message for the operators' log.
using LogMessage = std::variant<PrimaryElected, PrimaryDemoted, PrimarySuspected, EndpointEjected,
                                EndpointReadmitted, EndpointDraining, EndpointRemoved>;

}  // namespace gorsebeam
