#include "discovery_agent.h"

#include "discovery_messages.h"
#include "event_wait.h"
#include "tcp_reset.h"
#include "test_harness.h"

#include <utility>
#include <vector>

namespace test_harness {

using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

DiscoveryAgent::DiscoveryAgent()
    : listener([this](SocketHandle socket) {
        received_request.clear();
        ++connection_count;
        descriptor_ = g_socket_get_fd(socket.get());
        stream = Stream::adopt(std::move(socket), *this);
      }) {
  const auto error = listener.listen("127.0.0.1:0");
  require(!error, error ? "the discovery agent cannot listen on 127.0.0.1:0: " + error->message
                        : std::string());
}

void DiscoveryAgent::received() {
  received_request.append(stream->input().view());
  stream->input().consume(stream->input().size());
}

void DiscoveryAgent::send_chunk(const std::string& line) {
  stream->write({encode_chunk(line)});
}

std::string DiscoveryAgent::encode_list(const GatewayHarness& harness, int revision) {
  std::vector<ListedEndpoint> list;
  for (const auto& endpoint : harness.endpoints) {
    ListedEndpoint listed;
    listed.number = static_cast<std::size_t>(endpoint->name.back() - '0');
    listed.address = endpoint->address;
    listed.status = endpoint->listed_status;
    listed.is_primary = endpoint->listed_as_primary;
    list.push_back(listed);
  }
  return encode_endpoint_list(revision, list);
}

void DiscoveryAgent::send_list(const GatewayHarness& harness, int revision) {
  const std::string line = encode_list(harness, revision);
  // A line may be split into several chunks.
  send_chunk(line.substr(0, 40));
  send_chunk(line.substr(40));
}

void DiscoveryAgent::await_reconnection(int earlier_connection_count) const {
  wait_until(
      [&] {
        return connection_count > earlier_connection_count;
      },
      "the gateway to connect to the discovery agent again");
}

void DiscoveryAgent::await_watch_request() {
  wait_until(
      [this] {
        return received_request.find("\r\n\r\n") != std::string::npos;
      },
      "the request that opens a watch");
}

void DiscoveryAgent::accept_watch() {
  await_watch_request();
  stream->write({kWatchResponseHead});
}

void DiscoveryAgent::reset_connection() {
  reset_on_close(descriptor_);
  stream->close();
}

}  // namespace test_harness
