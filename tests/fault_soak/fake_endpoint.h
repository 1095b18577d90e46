/// A fake PostgreSQL endpoint that all gateways connect to, and the group of them.
#pragma once

#include "soak_clock.h"
#include "soak_context.h"

#include "integration/discovery_messages.h"
#include "integration/listed_status.h"
#include "net/listener.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace fault_soak {

class FakeEndpointGroup;

/// Listens at one address for each gateway. The context and the group must outlive it.
class FakeEndpoint {
public:
  FakeEndpoint(SoakContext& context, FakeEndpointGroup& group, int index);
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;
  ~FakeEndpoint();

  [[nodiscard]] int index() const { return index_; }

  /// As the gateway's agent lists it.
  [[nodiscard]] test_harness::ListedEndpoint listed_for(int gateway) const;

  void close_connections();
  /// Ends the attempts of the request whose connection the gateway has closed.
  void end_closed_attempts(const std::string& request_id);

  test_harness::ListedStatus listed_status = test_harness::ListedStatus::Up;
  std::int64_t started_at_ms = 0;  ///< Unix time; 0: long ago.
  bool is_primary = false;
  Millis unresponsive_until = 0;     ///< Responds to nothing before.
  Millis slow_handshakes_until = 0;  ///< Completes handshakes late before.

private:
  struct Connection;

  SoakContext& context_;
  FakeEndpointGroup& group_;
  const int index_;
  std::vector<std::unique_ptr<gorsebeam::net::Listener>> listeners_;  ///< By gateway.
  std::list<std::shared_ptr<Connection>> connections_;
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

  /// The endpoints that the gateway's agent lists.
  [[nodiscard]] std::vector<test_harness::ListedEndpoint> list_for(int gateway) const;
  /// How many endpoints are listed as up.
  [[nodiscard]] int up_count() const;
  /// Makes the first endpoint that is up the primary.
  void elect_primary();
  /// Ends the attempts of the request whose connections the gateway has closed, before another
  /// attempt of it counts.
  void end_closed_attempts(const std::string& request_id);

private:
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
};

}  // namespace fault_soak
