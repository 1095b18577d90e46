/// The environment's stand-in endpoints and clients, and what it keeps of each gateway. Internal to
/// it.
#pragma once

#include "fault_soak_environment.h"

#include <stdexcept>
#include <utility>

namespace fault_soak {

/// The wire that clients and endpoints speak.
[[nodiscard]] inline const test_harness::Protocol& protocol() {
  return test_harness::postgres();
}

/// One connection of a gateway to an endpoint.
struct FaultSoakEnvironment::EndpointConnection : gorsebeam::net::Stream::Events,
                                                  std::enable_shared_from_this<EndpointConnection> {
  EndpointConnection(FaultSoakEnvironment& the_environment, FakeEndpoint& owner, int gateway_index,
                     gorsebeam::net::SocketHandle socket)
      : environment(the_environment), endpoint(owner), gateway(gateway_index),
        stream(gorsebeam::net::Stream::adopt(std::move(socket), *this)) {}

  void received() override;

  void ended(const std::string&) override { end_attempt(Effect::MayHaveRun); }

  bool handle_message();
  void serve(const test_harness::Request& request);
  void respond(const test_harness::Request& request);
  void end_attempt(Effect effect);

  void close() {
    end_attempt(Effect::MayHaveRun);
    stream->close();
  }

  FaultSoakEnvironment& environment;
  FakeEndpoint& endpoint;
  const int gateway;
  std::shared_ptr<gorsebeam::net::Stream> stream;
  std::string input;
  std::string request_id;  ///< In flight; empty: none.
  bool is_handshake_complete = false;
};

struct FaultSoakEnvironment::FakeEndpoint {
  FakeEndpoint(FaultSoakEnvironment& the_environment, int number)
      : environment(the_environment), index(number) {
    for (int gateway = 0; gateway < environment.settings_.gateways; ++gateway) {
      listeners.push_back(std::make_unique<gorsebeam::net::Listener>(
          [this, gateway](gorsebeam::net::SocketHandle socket) {
            connections.push_back(std::make_shared<EndpointConnection>(environment, *this, gateway,
                                                                       std::move(socket)));
          }));
      if (const auto error = listeners.back()->listen("127.0.0.1:0"))
        throw std::runtime_error("an endpoint cannot listen: " + error->message);
    }
  }

  void close_connections() {
    const auto all = connections;
    for (const auto& connection : all)
      connection->close();
    connections.clear();
  }

  void forget_closed() {
    connections.remove_if([](const auto& connection) {
      return !connection->stream->open();
    });
  }

  FaultSoakEnvironment& environment;
  const int index;
  std::vector<std::unique_ptr<gorsebeam::net::Listener>> listeners;  ///< By gateway.
  std::list<std::shared_ptr<EndpointConnection>> connections;
  std::string phase = "ready";
  std::int64_t started_at_ms = 0;
  bool is_primary = false;
  Millis hangs_until = 0;
  Millis delays_handshakes_until = 0;
};

/// Sends one request after the other, and meets its connection's end.
struct FaultSoakEnvironment::FakeClient : gorsebeam::net::Stream::Events {
  FakeClient(FaultSoakEnvironment& the_environment, Gateway& its_gateway);

  void connect();
  void send_next();
  void send(const std::string& id);
  void disconnect();
  void received() override;
  void ended(const std::string&) override;

  FaultSoakEnvironment& environment;
  Gateway& gateway;
  std::shared_ptr<gorsebeam::net::Stream> stream;
  std::string input;
  std::string request_id;  ///< Sent and not answered; empty: none.
  test_harness::Request request;
  Millis deadline = 0;
  bool is_idle = false;  ///< Of a crowd: sends nothing.
};

struct FaultSoakEnvironment::Gateway {
  int index = 0;
  std::unique_ptr<FakeDiscoveryAgent> agent;
  std::unique_ptr<GatewayProcess> process;
  std::vector<std::unique_ptr<FakeClient>> clients;
  std::vector<std::string> notified_phases;  ///< By endpoint, as the oracle has them.
  bool is_stopped = false;                   ///< By SIGSTOP.
  bool is_ending = false;                    ///< By SIGTERM or SIGKILL.
};

}  // namespace fault_soak
