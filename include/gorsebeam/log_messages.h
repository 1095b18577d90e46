/// Log messages of a router as typed values. The embedding program renders them as text.
#pragma once

#include "gorsebeam/types.h"

#include <variant>

namespace gorsebeam {

/// Evidence shows that an endpoint is its group's primary.
struct PrimaryElected {
  GroupId group = 0;
  EndpointId endpoint = 0;
};

/// An endpoint that was its group's primary reports that it is a replica, or refuses a write.
struct PrimaryDemoted {
  GroupId group = 0;
  EndpointId endpoint = 0;
};

/// A group's primary did not answer, could not be reached, or is draining or removed. The group's
/// writes wait for evidence of its primary.
struct PrimarySuspected {
  GroupId group = 0;
  EndpointId endpoint = 0;
};

/// Why an endpoint was ejected.
enum class EjectionReason { ConsecutiveTimeouts, ConnectionFailure, ErrorRatio };

/// An endpoint was ejected: it gets no reads but recovery attempts until it answers one of these.
/// After a connection failure, any other answer or a health check readmits it too.
struct EndpointEjected {
  EndpointId endpoint = 0;
  EjectionReason reason = EjectionReason::ConsecutiveTimeouts;
};

/// An ejected endpoint answered.
struct EndpointReadmitted {
  EndpointId endpoint = 0;
};

/// The endpoint list marks an endpoint that was up as draining.
struct EndpointDraining {
  EndpointId endpoint = 0;
};

/// The endpoint list marks an endpoint that was up as removed, or no longer contains it.
struct EndpointRemoved {
  EndpointId endpoint = 0;
};

/// The endpoint list names another group for an endpoint than before.
struct EndpointMoved {
  EndpointId endpoint = 0;
  GroupId from = 0;
  GroupId to = 0;
};

/// One message for the log.
using LogMessage =
    std::variant<PrimaryElected, PrimaryDemoted, PrimarySuspected, EndpointEjected,
                 EndpointReadmitted, EndpointDraining, EndpointRemoved, EndpointMoved>;

}  // namespace gorsebeam
