/// Checks each send, retry and rejection against invariants, from what the broker has observed.
///
/// The guard is a second check that does not depend on the router's reasons. The gateway does not
/// do what the guard forbids, even if the router decided it. A decision that the guard forbids
/// counts as a violation, which is a defect of the gateway. Performs no I/O; runs on one thread;
/// holds one entry for each endpoint of the list.
#pragma once

#include "gorsebeam/router.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace gorsebeam::proxy {

enum class Violation {
  EndpointDraining,  ///< A send to an endpoint that is listed as draining or removed.
  EndpointUnknown,   ///< A send to an endpoint that is not listed, or not in the request's group.
  SecondInFlight,    ///< An attempt while another one of the request is in flight.
  AttemptAfterEnd,   ///< An attempt of a request that is not open any more.
  RetryNotAllowed,   ///< An attempt after one that may have run, where its class forbids that.
  AttemptsExceeded,  ///< An attempt beyond the number that the settings allow.
  UnsafeRejection,   ///< A rejection of a request that may have run and must not run again.
  ClosedUnanswered,  ///< The gateway closed a connection with a request that has no answer.
};

constexpr std::size_t kViolationKinds = 8;

/// The name of the violation in the log, such as "endpoint_draining".
[[nodiscard]] const char* name_of(Violation violation);

/// What has been done for a request so far.
struct RequestHistory {
  std::size_t class_index = 0;
  GroupId group = 0;
  bool is_open = false;  ///< No final answer was given, and the client has not disconnected.
  std::uint32_t written_attempts = 0;
  std::uint32_t in_flight = 0;  ///< The number of attempts that are written and have not ended.
  /// When the first attempt that may have run was written; empty if none may have run.
  std::optional<TimePoint> may_have_run_since;
};

class InvariantGuard {
public:
  /// `settings` is borrowed and outlives the guard.
  explicit InvariantGuard(const Settings& settings) : settings_(settings) {}

  /// Records that the endpoint list names an endpoint with `status`.
  void record_listed(EndpointId endpoint, GroupId group, EndpointStatus status);

  /// Records that the endpoint list does not name the endpoint any more.
  void record_unlisted(EndpointId endpoint) { endpoints_.erase(endpoint); }

  /// Returns why no request or health check may be sent to the endpoint; empty if one may be sent.
  [[nodiscard]] std::optional<Violation> check_endpoint(EndpointId endpoint) const;

  /// Returns why no attempt of the request may be written to the endpoint at `now`; empty if one
  /// may be written.
  [[nodiscard]] std::optional<Violation> check_attempt(const RequestHistory& request,
                                                       EndpointId endpoint, TimePoint now) const;

  /// Returns why the request must not be rejected; empty if it may be. A rejection promises the
  /// client that the request is safe to send again.
  [[nodiscard]] std::optional<Violation> check_rejection(const RequestHistory& request) const;

  void count(Violation violation) { ++counts_[static_cast<std::size_t>(violation)]; }

  [[nodiscard]] std::uint64_t count_of(Violation violation) const {
    return counts_[static_cast<std::size_t>(violation)];
  }

private:
  struct ListedEndpointState {
    GroupId group = 0;
    /// The listed status. If removed endpoints may serve, a removal does not change it.
    EndpointStatus status = EndpointStatus::Up;
  };

  [[nodiscard]] bool is_safe_to_retry(const RequestHistory& request, TimePoint now) const;

  const Settings& settings_;
  std::map<EndpointId, ListedEndpointState> endpoints_;
  std::array<std::uint64_t, kViolationKinds> counts_{};
};

}  // namespace gorsebeam::proxy
