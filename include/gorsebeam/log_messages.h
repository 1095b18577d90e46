/// Log messages of a router as typed values. The embedding program renders them as text.
#pragma once

#include "gorsebeam/time.h"
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

/// What shows that an endpoint's process started a short time ago.
enum class SlowStartReason {
  ListedStart,     ///< The endpoint list contains its start.
  AssumedRestart,  ///< It did not answer, or broke connections, for long enough to have restarted.
};

/// An endpoint is in slow start from now on.
struct SlowStartBegan {
  EndpointId endpoint = 0;
  SlowStartReason reason = SlowStartReason::ListedStart;
  Duration age{};       ///< Since its process started.
  double capacity = 1;  ///< The fraction of its full capacity that it has now.
};

/// What an endpoint in slow start was sent.
struct SlowStartCounts {
  int attempts = 0;  ///< All attempts, including recovery attempts.
  int recovery_attempts = 0;
  int health_checks = 0;
  /// How often an attempt was not admitted. A waiting request counts each time it is considered.
  int not_admitted = 0;
};

/// What an endpoint in slow start was sent within one overload window.
struct SlowStartWindow {
  EndpointId endpoint = 0;
  double capacity = 1;  ///< As in `SlowStartBegan`.
  SlowStartCounts counts;
};

/// An endpoint's slow start is over.
struct SlowStartEnded {
  EndpointId endpoint = 0;
  SlowStartCounts counts;  ///< Of the whole slow start.
};

/// One message for the log.
using LogMessage = std::variant<PrimaryElected, PrimaryDemoted, PrimarySuspected, EndpointEjected,
                                EndpointReadmitted, EndpointDraining, EndpointRemoved,
                                EndpointMoved, SlowStartBegan, SlowStartWindow, SlowStartEnded>;

}  // namespace gorsebeam
