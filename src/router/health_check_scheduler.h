/// Decides when health checks are sent. Limits their rate per endpoint and, by a budget, in total.
#pragma once

#include "gorsebeam/settings.h"
#include "router/endpoint_table.h"
#include "router/event_context.h"

#include <cstddef>

namespace gorsebeam::router {

/// The shortest time between two health checks of one endpoint, where the caller of
/// `HealthCheckScheduler::check` gives no other.
constexpr Duration kHealthCheckGap = 100ms;

/// Whether a health check counts against the budget.
enum class HealthCheckBudget {
  Limited,  ///< Only sent while the budget has room for it.
  Exempt,   ///< Sent in any case.
};

/// Sends health checks out of a budget that grows with this router's own requests, which bounds
/// their cost.
class HealthCheckScheduler {
public:
  HealthCheckScheduler(const EventContext& event, const Settings& settings,
                       EndpointTable& endpoints)
      : event_(event), settings_(settings), endpoints_(endpoints) {}

  /// Adds a request's share to the budget. If `read_needs_own_check`, no other read will use the
  /// result of a health check for this read, and the share is the value that the check has for this
  /// read alone, divided by its cost, and at most 1. That value rises with `primary_saturation`,
  /// which is in [0, 1].
  void accrue_budget(bool read_needs_own_check, double primary_saturation);

  /// Sends a health check if one is allowed, none is in flight and the last is at least `gap` ago.
  /// Returns whether it was sent.
  bool check(EndpointState& endpoint, Duration gap = kHealthCheckGap,
             HealthCheckBudget budget = HealthCheckBudget::Limited);

  /// Checks the ejected endpoints of a read's group until they answer, and refreshes the positions
  /// of the others before they are too old for the read's staleness bound.
  void refresh_group(const ReplicaGroup& group, const RequestClass& request_class);

  /// Checks an endpoint that is new in a list of `list_size` entries. The endpoints of a long list
  /// are only checked once their group is read, as a new router must not check all of them at once.
  void check_new_endpoint(EndpointState& endpoint, std::size_t list_size);

private:
  void refresh_position(EndpointState& endpoint, const ReplicaGroup& group,
                        const RequestClass& request_class);

  const EventContext& event_;
  const Settings& settings_;
  EndpointTable& endpoints_;
  double budget_ = kMaxBudget;

  // The health checks that may be sent at once: one for each endpoint of a group, and a few more.
  static constexpr double kMaxBudget = 10;
};

}  // namespace gorsebeam::router
