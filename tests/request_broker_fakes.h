/// Fakes of the request broker's peers, and settings for it.
#pragma once

#include "proxy/request_broker.h"

#include "router_settings.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace gorsebeam::proxy::test_support {

/// Keeps the attempts and health checks that the broker starts.
class FakeUpstream : public Upstream {
public:
  struct StartedAttempt {
    AttemptId attempt;
    EndpointId endpoint;
  };

  void add_endpoint(EndpointId, const std::string&) override {}

  void remove_endpoint(EndpointId) override {}

  void start_attempt(AttemptId attempt, EndpointId endpoint, ClientCall&, TimePoint) override {
    if (throws_at_start)
      throw std::out_of_range("map::at");
    attempts.push_back({attempt, endpoint});
  }

  void start_health_check(EndpointId endpoint) override { health_checks.push_back(endpoint); }

  void read_pending() override {
    if (throws_at_read)
      throw std::runtime_error("unreadable");
  }

  void cancel_attempt(AttemptId) override {}

  void detach_call(AttemptId) override {}

  bool throws_at_start = false;
  bool throws_at_read = false;
  std::vector<StartedAttempt> attempts;
  std::vector<EndpointId> health_checks;
};

/// Counts the final answers that it gets.
struct FakeCall : ClientCall {
  [[nodiscard]] bool may_have_disconnected() const override { return false; }

  ByteSpans body(Duration) override { return {}; }

  void respond(const ByteSpans&) override { ++served; }

  void reject(Duration) override { ++rejected; }

  void fail() override {
    ++failed;
    if (throws_at_fail)
      throw std::runtime_error("a connection that cannot be written to");
  }

  int served = 0;
  int rejected = 0;
  int failed = 0;
  bool throws_at_fail = false;
};

/// One class of idempotent reads, with a deadline of 2 s.
inline Settings make_broker_settings() {
  Settings settings = gorsebeam::test_support::make_settings(LoadReportSource::HealthChecks);
  settings.classes = {gorsebeam::test_support::make_request_class("any", ConsistencyLevel::Eventual,
                                                                  Idempotency::Idempotent)};
  settings.classes[0].latency_objective = 1s;
  settings.classes[0].deadline = 2s;
  return settings;
}

/// A source of the endpoint list whose reading throws while `is_readable` is false.
struct UnreadableList : EndpointListSource {
  void read_pending() override {
    ++reads;
    if (!is_readable)
      throw std::runtime_error("unreadable");
  }

  int reads = 0;
  bool is_readable = false;
};

/// A list of one replica.
inline std::vector<ListedEndpoint> list_of_one_replica(const std::string& name) {
  ListedEndpoint replica;
  replica.name = name;
  replica.address = "127.0.0.1:1";
  return {replica};
}

}  // namespace gorsebeam::proxy::test_support
