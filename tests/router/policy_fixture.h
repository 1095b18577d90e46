/// A fixture that holds a router's state with one group of healthy endpoints, for tests of a single
/// policy.
#pragma once

#include "router/router_state.h"
#include "router_settings.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gorsebeam::router {

class PolicyFixture : public testing::Test {
protected:
  static constexpr TimePoint kStart{1000s};
  static constexpr std::size_t kRead = 0;   ///< Idempotent; its maximum staleness is one second.
  static constexpr std::size_t kWrite = 1;  ///< Not idempotent.
  static constexpr std::size_t kKeyed = 2;  ///< Deduplicated in its group for two seconds.

  static Settings default_settings() {
    Settings settings = test_support::make_settings(LoadReportSource::HealthChecks);
    settings.classes = {
        make_class("read", ConsistencyLevel::BoundedStaleness, Idempotency::Idempotent),
        make_class("write", ConsistencyLevel::Write, Idempotency::NotIdempotent),
        make_class("keyed", ConsistencyLevel::Write, Idempotency::IdempotencyKey)};
    settings.clock_resolution = 1ms;
    return settings;
  }

  explicit PolicyFixture(Settings settings = default_settings()) : state_(std::move(settings), 1) {
    state_.event.now = kStart;
    state_.event.actions = &actions_;
    for (const EndpointId id : {1, 2, 3})
      add_endpoint(id);
    state_.endpoints.group(0).primary = 1;
    state_.endpoints.group(0).primary_evidence_at = kStart;
  }

  /// Adds an endpoint that is up, not ejected and current to group 0.
  EndpointState& add_endpoint(EndpointId id) {
    EndpointState& endpoint = state_.endpoints.find_or_create(id);
    endpoint.listing.id = id;
    endpoint.is_ejected = false;
    endpoint.position = position_at(kStart);
    state_.endpoints.group(0).endpoints.push_back(id);
    return endpoint;
  }

  /// Adds an open request that has just arrived, with a deadline in two seconds.
  PendingRequest& add_request(std::size_t class_index) {
    Request request;
    request.id = "request-" + std::to_string(next_request_++);
    request.class_index = class_index;
    request.deadline = state_.event.now + 2s;
    PendingRequest& pending = state_.requests.add(request);
    pending.arrived_at = state_.event.now;
    pending.objective_at = state_.event.now + 300ms;
    pending.give_up_at = state_.event.now + 1900ms;
    return pending;
  }

  /// Adds an attempt that was sent at `sent_at` and has ended.
  static UpstreamAttempt& add_ended_attempt(PendingRequest& request, EndpointId endpoint,
                                            TimePoint sent_at) {
    UpstreamAttempt attempt;
    attempt.endpoint = endpoint;
    attempt.sent_at = sent_at;
    attempt.in_flight = false;
    request.attempts.push_back(attempt);
    return request.attempts.back();
  }

  /// All actions of one type, in order.
  template <typename ActionType>
  [[nodiscard]] std::vector<ActionType> actions_of() const {
    std::vector<ActionType> found;
    for (const Action& action : actions_) {
      if (const auto* one = std::get_if<ActionType>(&action))
        found.push_back(*one);
    }
    return found;
  }

  RouterState state_;
  std::vector<Action> actions_;

private:
  static RequestClass make_class(const char* name, ConsistencyLevel level,
                                 Idempotency idempotency) {
    RequestClass made = test_support::make_request_class(name, level, idempotency);
    made.latency_objective = 300ms;
    made.deadline = 2s;
    made.max_staleness = 1s;
    made.deduplication_window = 2s;
    return made;
  }

  std::uint64_t next_request_ = 0;
};

}  // namespace gorsebeam::router
