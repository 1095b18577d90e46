/// The built program between test clients and stub endpoints on loopback, which run in the test's
/// process, and the invariants that hold for every request.
#pragma once

#include "discovery_agent.h"
#include "event_wait.h"
#include "gateway_process.h"
#include "protocol.h"
#include "stub_endpoint.h"
#include "test_client.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace test_harness {

/// The settings of the platform's configuration in which tests differ.
struct PlatformSettings {
  int connect_timeout_ms = 250;  ///< For connections to endpoints.
  /// How long a group drops duplicates of a write with an idempotency key.
  int deduplication_window_ms = 2000;
  int keepalive_ms = 30'000;        ///< The idle time after which endpoints close connections.
  std::string token_mode = "kept";  ///< See PlatformConfig.
  std::string added_class;          ///< The name of a further class of reads; empty: none.
  int latency_objective_ms = 2000;  ///< Of each class, whose deadline is one second longer.
  std::string listen_address = "127.0.0.1:0";
};

/// Runs the built program with stub endpoints and records each attempt that they see.
class GatewayHarness {
public:
  /// One attempt of a request as an endpoint saw it.
  struct Attempt {
    Request request;
    StubEndpoint* endpoint;
    bool in_flight;
    bool may_have_run;
  };

  /// Creates `endpoint_count` endpoints of group 0, named `m0`, `m1` and so on. The first one is
  /// listed as the primary; the one at `primary_index` is the actual primary. `operator_text` goes
  /// into the operators' file.
  GatewayHarness(const Protocol& wire_protocol, std::size_t endpoint_count,
                 std::size_t primary_index, const std::string& operator_text = "");
  GatewayHarness(const GatewayHarness&) = delete;
  GatewayHarness& operator=(const GatewayHarness&) = delete;
  ~GatewayHarness();

  void start();
  /// A client that has sent its handshake.
  std::unique_ptr<TestClient> connect_client();
  /// A client that has sent nothing.
  std::unique_ptr<TestClient> connect_silent_client();

  /// Writes the operators' file: the listener's own lines, then `operator_text`.
  void write_operator_file(const std::string& operator_text);
  /// The inventory with the endpoints' listed status.
  [[nodiscard]] std::string inventory_text() const;
  /// Writes the inventory's file in place; a running program does not read it before its next
  /// reload.
  void write_inventory(const std::string& text) const;
  /// Replaces the inventory by one with the endpoints' listed status, lets a running program reload
  /// it and waits until it has.
  void publish_inventory();
  /// Writes a configuration with `settings`, which takes effect at the next start.
  void set_platform_settings(const PlatformSettings& settings);
  /// From the next start on, the endpoint list comes from `agent_address` and not from a file.
  void use_discovery(const std::string& agent_address);
  /// Writes a configuration with `agent_address`, for the next start or reload.
  void write_discovery_address(const std::string& agent_address) const;
  /// Writes a configuration with `agent_address`, reloads it and waits for `log_text`.
  void reload(const std::string& agent_address, const std::string& log_text);

  /// Where clients connect.
  [[nodiscard]] const std::string& address() const { return address_; }

  /// Makes new clients connect to the address that the program logged last.
  void update_address();
  /// Closes all connections to the endpoints; new ones get no handshake reply until
  /// resume_handshakes().
  void pause_handshakes();
  /// Waits until a handshake is paused at an endpoint, and returns the endpoint.
  [[nodiscard]] StubEndpoint& await_paused_handshake() const;
  void resume_handshakes();
  void set_listed_status(ListedStatus status);
  /// Pads the value of each further response to at least `bytes`. Does not apply to
  /// StubEndpoint::respond_to_open_attempts().
  void set_min_value_bytes(std::size_t bytes);
  [[nodiscard]] int attempt_count(const std::string& request_id) const;
  [[nodiscard]] int attempt_count_with_prefix(const std::string& id_prefix) const;
  /// Waits until an endpoint has seen the first attempt of the request.
  void await_first_attempt(const std::string& request_id) const;
  /// Asserts that there were as many responses as requests, that each attempt belongs to a request
  /// that a client sent, that each request had one idempotency key and at most kMaxAttempts
  /// attempts, and that no request was retried that may have run and must not run twice. The stub
  /// endpoints check at each arrival that no two attempts of a request are in flight at once.
  void expect_invariants() const;
  /// As expect_invariants(), and the program still runs.
  void expect_invariants_and_running() const;

  const Protocol& protocol;
  std::vector<std::unique_ptr<StubEndpoint>> endpoints;
  /// One for each next attempt; later attempts succeed. A write at a replica takes none: it is
  /// always rejected.
  std::deque<ScriptedResponse> script;
  GatewayProcess gateway;
  /// The host in the address of the MongoDB listener, which the operators' file names.
  std::string listen_host = "127.0.0.1";
  std::vector<Attempt> attempts;
  std::map<std::string, int> sent_requests;  ///< How often each request id was sent.
  int response_count = 0;                    ///< Final responses that clients received.

private:
  [[nodiscard]] const char* protocol_label() const;

  std::string folder_;
  std::string address_;
  PlatformSettings settings_;
};

/// A read of class `any`.
Request read_request(const std::string& id, int timeout_ms = 2000);
/// A read of class `session`, which sees the earlier writes of its session.
Request session_read(const std::string& id);
/// A read of a class that the configuration does not have; it fails without an attempt.
Request unknown_class_request(const std::string& id);
/// A write of class `save`, which may be retried under its idempotency key.
Request keyed_write(const std::string& id);
/// A write of class `once`, which must not be retried once it may have run.
Request single_shot_write(const std::string& id, int timeout_ms = 2500);
/// Sends `count` reads one after another and asserts that each is served.
void expect_reads_served(TestClient& client, const std::string& id_prefix, int count);

/// Waits until the gateway has read what other clients sent before, by sending it requests that
/// fail without an attempt, one after another.
void await_gateway_loop_iterations(TestClient& client, const std::string& id_prefix);
/// Asserts that `text` contains `part`.
void expect_contains(const std::string& text, const std::string& part);

/// The present Unix time in milliseconds, rounded up as the commit of a write is.
std::int64_t unix_ms_now();

std::string make_temporary_folder();
/// Writes the platform's configuration and returns its path.
std::string write_platform_config(const std::string& folder, const std::string& discovery_address,
                                  const PlatformSettings& settings = {});

}  // namespace test_harness
