/// The rules that hold for everything the gateway sends, repeats, closes and answers, checked a
/// second time at the moment of doing it, from what the broker itself has seen.
///
/// The router decides; the guard knows nothing of its reasons. Where the two differ the guard wins:
/// what it denies is not done, and counted as a violation, which is a defect of the gateway. Pure,
/// runs on one thread, holds one entry an endpoint of the list.
#pragma once

#include "gorsebeam/router.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace gorsebeam::proxy {

enum class Violation {
  EndpointDraining,  ///< A send to an endpoint that was listed as draining or removed.
  EndpointUnknown,   ///< A send to an endpoint that no list in force names.
  SecondInFlight,    ///< An attempt beside another one of the same request.
  AttemptAfterEnd,   ///< An attempt of a request that is answered, or whose client has left.
  RetryNotAllowed,   ///< An attempt after one that may have run, where its class forbids that.
  AttemptsExceeded,  ///< An attempt beyond the number that the settings allow.
  UnsafeRejection,   ///< "Safe to send again" of a request that may have run and must not.
  ClosedUnanswered,  ///< The gateway closes a connection with a request that it has not answered.
};

constexpr std::size_t kViolationKinds = 8;

/// As log fields name it, such as "endpoint_draining".
[[nodiscard]] const char* name_of(Violation violation);

/// What was done for a request so far.
struct RequestHistory {
  std::size_t class_index = 0;
  GroupId group = 0;
  bool is_open = false;  ///< Neither answered, nor has its client left.
  std::uint32_t written_attempts = 0;
  std::uint32_t in_flight = 0;  ///< Written, and their end is not known.
  std::optional<TimePoint>
      may_have_run_since;  ///< When the first attempt that may have run was written.
};

class InvariantGuard {
public:
  /// `settings` is borrowed and outlives the guard.
  explicit InvariantGuard(const Settings& settings) : settings_(settings) {}

  /// The list names an endpoint, or a change of it. Holds from now on.
  void record_listed(EndpointId endpoint, GroupId group, EndpointStatus status);

  /// No list names the endpoint any more.
  void record_unlisted(EndpointId endpoint) { endpoints_.erase(endpoint); }

  /// Whether anything new may be sent to the endpoint.
  [[nodiscard]] std::optional<Violation> check_endpoint(EndpointId endpoint) const;

  /// Whether an attempt of the request may be written to the endpoint now.
  [[nodiscard]] std::optional<Violation> check_attempt(const RequestHistory& request,
                                                       EndpointId endpoint, TimePoint now) const;

  /// Whether the request may be rejected, which promises that it is safe to send again.
  [[nodiscard]] std::optional<Violation> check_rejection(const RequestHistory& request) const;

  void count(Violation violation) { ++counts_[static_cast<std::size_t>(violation)]; }

  [[nodiscard]] std::uint64_t count_of(Violation violation) const {
    return counts_[static_cast<std::size_t>(violation)];
  }

private:
  struct ListedEndpointState {
    GroupId group = 0;
    bool is_leaving = false;
  };

  [[nodiscard]] bool is_safe_to_retry(const RequestHistory& request, TimePoint now) const;

  const Settings& settings_;
  std::map<EndpointId, ListedEndpointState> endpoints_;
  std::array<std::uint64_t, kViolationKinds> counts_{};
};

}  // namespace gorsebeam::proxy
