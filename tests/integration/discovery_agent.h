/// A scripted discovery agent, which serves the endpoint list over a watch.
#pragma once

#include "net/listener.h"
#include "net/stream.h"

#include <memory>
#include <string>

namespace test_harness {

class GatewayHarness;

/// Serves one watch at a time: a chunked HTTP response with one JSON object per line.
class DiscoveryAgent : gorsebeam::net::Stream::Events {
public:
  DiscoveryAgent();
  DiscoveryAgent(const DiscoveryAgent&) = delete;
  DiscoveryAgent& operator=(const DiscoveryAgent&) = delete;

  /// Returns one line: the list of group 0 with the current listed status of each endpoint.
  static std::string encode_list(const GatewayHarness& harness, int revision);
  /// Waits until the gateway has connected more than `earlier_connection_count` times.
  void await_reconnection(int earlier_connection_count) const;
  void await_watch_request();
  /// Awaits the watch request and begins a chunked response.
  void accept_watch();
  void send_chunk(const std::string& line);
  void send_list(const GatewayHarness& harness, int revision);
  /// Resets the connection of the watch with a TCP RST.
  void reset_connection();

  std::string received_request;  ///< All bytes received on the current connection.
  std::shared_ptr<gorsebeam::net::Stream> stream;  ///< The connection of the current watch.
  int connection_count = 0;
  gorsebeam::net::Listener listener;

private:
  void received() override;

  void ended(const std::string&) override {}

  int descriptor_ = -1;  ///< The socket of `stream`, which owns it.
};

}  // namespace test_harness
