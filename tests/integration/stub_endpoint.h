/// A database endpoint on loopback that responds as the test's script says.
#pragma once

#include "listed_status.h"
#include "protocol.h"

#include "net/listener.h"

#include <list>
#include <memory>
#include <string>

namespace test_harness {

class GatewayHarness;

enum class EndpointRole { Replica, Primary };

/// Listens on an ephemeral port. The harness that it refers to must outlive it.
class StubEndpoint {
public:
  StubEndpoint(GatewayHarness& harness, std::string name, EndpointRole listed_role,
               EndpointRole actual_role);
  StubEndpoint(const StubEndpoint&) = delete;
  StubEndpoint& operator=(const StubEndpoint&) = delete;

  [[nodiscard]] std::size_t paused_handshake_count() const;
  /// Sends the paused handshake replies; no handshake is paused from then on.
  void resume_handshakes();
  [[nodiscard]] int open_connection_count() const;

  /// The number of connections since the start, closed ones included.
  [[nodiscard]] int accepted_connection_count() const {
    return static_cast<int>(connections_.size());
  }

  /// Waits until the gateway has closed all connections, which shows that it has applied a list
  /// without the endpoint.
  void await_connections_closed() const;
  /// Sends `response` to each request that has no response yet.
  void respond_to_open_attempts(ScriptedResponse response = ScriptedResponse::Succeed);
  /// Sends `bytes` on each open connection; they respond to no request.
  void send_unsolicited(const std::string& bytes);
  /// Closes the open connections and keeps listening.
  void close_connections();
  /// Closes the open connections and refuses new ones.
  void shut_down();

  std::string name;
  std::string address;
  ListedStatus listed_status = ListedStatus::Up;
  bool listed_as_primary;
  ReplicationStatus replication;
  int request_count = 0;
  int health_check_count = 0;       ///< Does not include the handshakes of new connections.
  std::size_t min_value_bytes = 0;  ///< Values are padded to this length.
  bool pauses_handshakes = false;   ///< While set, no new connection gets a handshake reply.
  /// The endpoint closes a connection that has been idle for this time, at the next message on it;
  /// 0: never.
  int idle_close_ms = 0;
  int idle_close_count = 0;

private:
  struct Connection;

  void accept(gorsebeam::net::SocketHandle socket);

  GatewayHarness& harness_;
  gorsebeam::net::Listener listener_;
  std::list<std::shared_ptr<Connection>> connections_;
};

}  // namespace test_harness
