/// Fake PostgreSQL endpoints, which form one replica group and which all gateways connect to.
#pragma once

#include "endpoint_capacity.h"
#include "soak_clock.h"
#include "soak_context.h"

#include "integration/discovery_messages.h"
#include "integration/listed_status.h"
#include "net/listener.h"

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fault_soak {

class FakeEndpointGroup;

/// One fake endpoint. It listens at a separate address for each gateway, so that it knows which
/// gateway a connection belongs to. The context and the group must outlive it.
class FakeEndpoint {
public:
  FakeEndpoint(SoakContext& context, FakeEndpointGroup& group, int index);
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;
  ~FakeEndpoint();

  [[nodiscard]] int index() const { return index_; }

  /// The endpoint's entry in the list that the gateway's discovery agent sends.
  [[nodiscard]] test_harness::ListedEndpoint listed_for(int gateway) const;

  /// The start that lists contain, in Unix time; 0: long ago.
  [[nodiscard]] std::int64_t listed_start_ms() const { return listed_start_ms_; }

  /// The endpoint's process starts now, and is cold.
  void start_process();

  /// From now on, lists contain the last start.
  void list_start() { listed_start_ms_ = started_at_ms_; }

  void close_connections();
  /// The endpoint, if it is a replica, applies nothing for `duration`.
  void stop_replication(Millis now, Millis duration);

  /// The endpoint has applied everything, as an elected primary has.
  void resume_replication() { replication_resumes_at_ = 0; }

  /// How old the endpoint's data is.
  [[nodiscard]] Millis replication_lag(Millis now) const;
  /// Ends each attempt of the request whose connection the gateway has closed.
  void end_closed_attempts(const std::string& request_id);

  test_harness::ListedStatus listed_status = test_harness::ListedStatus::Up;
  bool is_primary = false;
  Millis unresponsive_until = 0;     ///< Until then, the endpoint responds to nothing.
  Millis slow_handshakes_until = 0;  ///< Until then, it completes handshakes late.

private:
  struct Connection;

  /// Takes the worker that is free first, for one request that arrives at `now` and is given up
  /// after `timeout`. Returns when the worker has served the request; empty if the queue is full or
  /// the request would begin too late.
  [[nodiscard]] std::optional<Millis> occupy_worker(Millis now, Millis timeout);

  SoakContext& context_;
  FakeEndpointGroup& group_;
  const int index_;
  std::vector<std::unique_ptr<gorsebeam::net::Listener>> listeners_;  ///< Indexed by gateway.
  std::list<std::shared_ptr<Connection>> connections_;
  std::array<Millis, kWorkers> worker_free_at_{};
  std::int64_t started_at_ms_ = 0;  ///< The last start, in Unix time; 0: long ago.
  Millis started_at_ = 0;           ///< The same on the soak's clock; 0: long ago.
  Millis replication_stopped_at_ = 0;
  Millis replication_resumes_at_ = 0;
  std::int64_t listed_start_ms_ = 0;  ///< The start that lists contain.
};

/// All endpoints of the run, which form one replica group.
class FakeEndpointGroup {
public:
  explicit FakeEndpointGroup(SoakContext& context);
  FakeEndpointGroup(const FakeEndpointGroup&) = delete;
  FakeEndpointGroup& operator=(const FakeEndpointGroup&) = delete;

  [[nodiscard]] const std::vector<std::unique_ptr<FakeEndpoint>>& endpoints() const {
    return endpoints_;
  }

  /// The list that the gateway's discovery agent sends.
  [[nodiscard]] std::vector<test_harness::ListedEndpoint> list_for(int gateway) const;
  /// The number of endpoints that are listed as up.
  [[nodiscard]] int up_count() const;
  /// Makes the first endpoint that is listed as up the primary, and all others replicas.
  void elect_primary();
  /// Ends each attempt of the request whose connection the gateway has closed. It is called before
  /// a further attempt of the request is recorded, so that the oracle does not count both as in
  /// flight.
  void end_closed_attempts(const std::string& request_id);

private:
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
};

}  // namespace fault_soak
